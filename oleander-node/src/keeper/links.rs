//! The keeper's connections to the instances of its database: one idle connection each is reused.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::InstanceKey;
use oleander_core::line::Name;
use oleander_core::line::Word;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Verdict;
use oleander_failover::keeper::messages::MemberAnswer;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::InstanceCommand;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Message;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::RowMeter;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::TransactionState;
use oleander_ports::upstream::Upstreams;

use super::members::Listing;
use crate::fleet::Fleet;

/// The workspace name under which the keeper connects; no real workspace can have it.
const KEEPER_NAME: Word<'static> = match Word::new("oleander-keeper") {
    Ok(name) => name,
    Err(_) => panic!("the name is a word"),
};

/// The time within which an instance must answer, including the opening of a connection: a few
/// round trips between regions.
const ANSWER_TIMEOUT: Span = Span::from_millis(500);

/// The number of attempts while an instance answers that it is busy.
const BUSY_ATTEMPTS: u32 = 4;

/// The pause before the next attempt at a busy instance: about the run time of one statement.
const BUSY_PAUSE: Span = Span::from_millis(40);

/// `IdleLinks` are idle connections, each with the `life` of the instance that it was opened to.
type IdleLinks = HashMap<InstanceKey, (u64, Box<dyn Link>)>;

/// `ProbeAnswer` is the outcome of a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    /// The time before the probe was sent.
    pub asked: Time,
    /// The role of the instance; the point of a primary has the term that it leads.
    pub result: ProbeResult,
    /// The last point of the log of a primary, as it stood when it answered.
    pub reached: Option<LogPoint>,
}

/// `Links` keeps at most one idle connection to each instance of a database.
pub struct Links {
    fleet: Arc<Fleet>,
    upstreams: Arc<dyn Upstreams>,
    /// The name of the database.
    database: Name,
    idle: Mutex<IdleLinks>,
    /// Where the instances were listed last that the directory no longer names.
    unlisted: Mutex<HashMap<InstanceKey, Listing>>,
    /// The terms that instances lead, each with the `life` of the instance. Their log positions
    /// show a new term only from the first commit on.
    leading: Mutex<HashMap<InstanceKey, (u64, Term)>>,
}

impl Links {
    /// Creates an empty table; connections are opened on demand.
    pub fn new(fleet: Arc<Fleet>, upstreams: Arc<dyn Upstreams>, database: Name) -> Self {
        let (idle, unlisted, leading) = (Mutex::default(), Mutex::default(), Mutex::default());
        Self { fleet, upstreams, database, idle, unlisted, leading }
    }

    /// Sets where the instances were listed last that the directory no longer names.
    pub fn set_unlisted(&self, unlisted: HashMap<InstanceKey, Listing>) {
        *self.unlisted.lock().unwrap_or_else(PoisonError::into_inner) = unlisted;
    }

    /// Probes an instance: asks whether it is the primary, and for its term unless it is known.
    pub async fn probe(&self, key: InstanceKey) -> ProbeAnswer {
        let asked = self.fleet.now();
        // Only a primary opens a read-write transaction, and opening one takes no slot.
        let messages = [
            Message::internal(InstanceCommand::Begin { read_only: false }),
            Message::internal(InstanceCommand::Rollback),
        ];
        let result = match self.exchange(key, &messages).await {
            Ok(replies) => probe_result(&replies),
            Err(LinkError::Refused(failure)) => match failure.kind {
                FailureKind::Busy | FailureKind::TooManyConnections => ProbeResult::Inconclusive,
                _ => ProbeResult::NoAnswer,
            },
            Err(LinkError::NotListening) => ProbeResult::NotRunning,
            Err(_) => ProbeResult::NoAnswer,
        };
        let ProbeResult::Primary(reached) = result else {
            if result == ProbeResult::Replica {
                self.forget_term(key);
            }
            return ProbeAnswer { asked, result, reached: None };
        };
        let result = match self.leading_term(key).await {
            Some(term) => ProbeResult::Primary(LogPoint { term, ..reached }),
            None => ProbeResult::Inconclusive,
        };
        ProbeAnswer { asked, result, reached: Some(reached) }
    }

    /// Asks a member what it has received.
    pub async fn check_member(&self, key: InstanceKey) -> MemberAnswer {
        let message = Message::internal(InstanceCommand::Status);
        match self.exchange(key, &[message]).await {
            Ok(replies) => {
                let received =
                    replies.first().and_then(|reply| self.upstreams.received_point(reply));
                received.map_or(MemberAnswer::NoAnswer, MemberAnswer::Received)
            }
            Err(LinkError::NotListening) => MemberAnswer::NotRunning,
            Err(LinkError::Refused(failure)) if failure.kind == FailureKind::WrongInstance => {
                MemberAnswer::Replaced
            }
            Err(_) => MemberAnswer::NoAnswer,
        }
    }

    /// Notes the term that the record of a settled primary tells, which need not be asked for.
    pub fn note_term(&self, key: InstanceKey, term: Term) {
        let Some(listing) = self.listing(key) else { return };
        self.lock_leading().insert(key, (listing.life, term));
    }

    /// Forgets the term that an instance leads; called when it is about to lead another one.
    pub fn forget_term(&self, key: InstanceKey) {
        self.lock_leading().remove(&key);
    }

    /// Returns the term that a primary leads; `None` if it does not tell it.
    async fn leading_term(&self, key: InstanceKey) -> Option<Term> {
        let life = self.listing(key)?.life;
        let known = self.lock_leading().get(&key).copied();
        if let Some((_, term)) = known.filter(|(known, _)| *known == life) {
            return Some(term);
        }
        let message = Message::internal(InstanceCommand::Status);
        let reply = self.exchange(key, &[message]).await.ok()?.into_iter().next()?;
        let term = self.upstreams.leading_term(&reply)?;
        self.lock_leading().insert(key, (life, term));
        Some(term)
    }

    /// Stops a replica from receiving the log up to `term`. Returns the last point that it has
    /// received, or `None` if it did not confirm.
    pub async fn stop_replication(&self, key: InstanceKey, term: Term) -> Option<LogPoint> {
        for _ in 0..BUSY_ATTEMPTS {
            let message = Message::internal(InstanceCommand::StopReceiving(term));
            let reply = self.exchange(key, &[message]).await.ok()?.into_iter().next()?;
            match &reply.outcome {
                Ok(_) => return self.upstreams.received_point(&reply),
                Err(failure) if failure.kind == FailureKind::Busy => {
                    self.fleet.timers.sleep(BUSY_PAUSE).await;
                }
                Err(_) => return None,
            }
        }
        None
    }

    /// Lets a replica receive the log again. Returns `true` if it answered or the order cannot have
    /// reached it, so that no such order can take effect later.
    pub async fn resume_replication(&self, key: InstanceKey) -> bool {
        for _ in 0..BUSY_ATTEMPTS {
            let message = Message::internal(InstanceCommand::ResumeReceiving);
            let replies = match self.exchange(key, &[message]).await {
                Ok(replies) => replies,
                Err(error) => return error.verdict() == Verdict::NotRun,
            };
            let is_busy = |reply: &Reply| matches!(&reply.outcome, Err(failure) if failure.kind == FailureKind::Busy);
            if !replies.iter().any(is_busy) {
                return true;
            }
            self.fleet.timers.sleep(BUSY_PAUSE).await;
        }
        true
    }

    /// Tells an instance to step down if it acts as the primary of a term before `term`. Returns
    /// `true` if it has executed the order.
    pub async fn step_down(&self, key: InstanceKey, term: Term) -> bool {
        let message = Message::internal(InstanceCommand::StepDown(term));
        let Ok(replies) = self.exchange(key, &[message]).await else { return false };
        replies.first().is_some_and(|reply| reply.outcome.is_ok())
    }

    async fn exchange(
        &self,
        key: InstanceKey,
        messages: &[Message<'_>],
    ) -> Result<Vec<Reply>, LinkError> {
        let exchanging = async {
            let (life, mut link) = self.take(key).await?;
            let mut meter = RowMeter::new(self.fleet.answers().clone());
            let replies = link.exchange(messages, &mut meter).await?;
            // A link with an open transaction is closed, which rolls it back.
            if replies.last().is_some_and(|reply| reply.state == TransactionState::Idle) {
                self.lock().insert(key, (life, link));
            }
            Ok(replies)
        };
        let answered = self.fleet.timers.within(ANSWER_TIMEOUT, exchanging).await;
        answered.unwrap_or(Err(LinkError::Lost("no answer in time")))
    }

    async fn take(&self, key: InstanceKey) -> Result<(u64, Box<dyn Link>), LinkError> {
        let Some(Listing { instance, life, address }) = self.listing(key) else {
            return Err(LinkError::Connect("the instance is not known"));
        };
        let idle = self.lock().remove(&key);
        if let Some((opened_to, mut link)) = idle
            && opened_to == life
            && link.is_open()
        {
            return Ok((life, link));
        }
        // The name may come from a record of the store, which nothing has checked.
        let Ok(instance) = Name::new(instance) else {
            return Err(LinkError::Connect("the name of the instance cannot be sent"));
        };
        let target = Target { address, database: self.database.clone(), instance };
        Ok((life, self.upstreams.open(&target, KEEPER_NAME).await?))
    }

    /// Returns where an instance is listed, or was listed last.
    fn listing(&self, key: InstanceKey) -> Option<Listing> {
        if let Some(instance) = self.fleet.view().instances.get(&key) {
            return Some(Listing::from(&instance.entry));
        }
        self.unlisted.lock().unwrap_or_else(PoisonError::into_inner).get(&key).cloned()
    }

    fn lock_leading(&self) -> MutexGuard<'_, HashMap<InstanceKey, (u64, Term)>> {
        self.leading.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, IdleLinks> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn probe_result(replies: &[Reply]) -> ProbeResult {
    let Some(first) = replies.first() else { return ProbeResult::NoAnswer };
    match &first.outcome {
        Ok(_) => first.point.map_or(ProbeResult::Inconclusive, ProbeResult::Primary),
        Err(failure) if failure.kind == FailureKind::NotPrimary => ProbeResult::Replica,
        Err(_) => ProbeResult::Inconclusive,
    }
}
