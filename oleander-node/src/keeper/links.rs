//! The keeper's connections to the instances of its database: one idle connection each is reused.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Verdict;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::InstanceCommand;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Message;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::Upstreams;

use crate::fleet::Fleet;

/// The workspace name under which the keeper connects; no real workspace can have it.
const KEEPER_NAME: &str = "oleander-keeper";

/// The time within which an instance must answer, including the opening of a connection: a few
/// round trips between regions.
const ANSWER_TIMEOUT: Span = Span::from_millis(500);

/// The number of attempts while an instance answers that it is busy.
const BUSY_ATTEMPTS: u32 = 4;

/// The pause before the next attempt at a busy instance: about the run time of one statement.
const BUSY_PAUSE: Span = Span::from_millis(40);

/// `IdleLinks` are idle connections, each with the `life` of the instance that it was opened to.
type IdleLinks = HashMap<InstanceKey, (u64, Box<dyn Link>)>;

/// `Links` keeps at most one idle connection to each instance of a database.
pub struct Links {
    fleet: Arc<Fleet>,
    upstreams: Arc<dyn Upstreams>,
    idle: Mutex<IdleLinks>,
}

impl Links {
    /// Creates an empty table; connections are opened on demand.
    pub fn new(fleet: Arc<Fleet>, upstreams: Arc<dyn Upstreams>) -> Self {
        Self { fleet, upstreams, idle: Mutex::default() }
    }

    /// Probes an instance: asks whether it is the primary. Returns the time before the probe was
    /// sent and the result.
    pub async fn probe(&self, key: InstanceKey) -> (Time, ProbeResult) {
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
        (asked, result)
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

    async fn exchange(
        &self,
        key: InstanceKey,
        messages: &[Message<'_>],
    ) -> Result<Vec<Reply>, LinkError> {
        let exchanging = async {
            let (life, mut link) = self.take(key).await?;
            let replies = link.exchange(messages).await?;
            self.lock().insert(key, (life, link));
            Ok(replies)
        };
        let answered = self.fleet.timers.within(ANSWER_TIMEOUT, exchanging).await;
        answered.unwrap_or(Err(LinkError::Lost("no answer in time")))
    }

    async fn take(&self, key: InstanceKey) -> Result<(u64, Box<dyn Link>), LinkError> {
        let view = self.fleet.view();
        let Some(instance) = view.instances.get(&key) else {
            return Err(LinkError::Connect("the directory does not name the instance"));
        };
        let entry = &instance.entry;
        let idle = self.lock().remove(&key);
        if let Some((life, mut link)) = idle
            && life == entry.life
            && link.is_open()
        {
            return Ok((life, link));
        }
        let target = Target {
            address: entry.address,
            database: entry.database.clone(),
            instance: entry.instance.clone(),
        };
        Ok((entry.life, self.upstreams.open(&target, KEEPER_NAME).await?))
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
