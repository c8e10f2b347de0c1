//! The I/O of one database's supervisor.

use std::sync::Arc;

use oleander_config::model::Acknowledge;
use oleander_config::model::Database;
use oleander_core::events::Event;
use oleander_core::hash;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::VmId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::detector::Reachability;
use oleander_failover::messages::Action;
use oleander_failover::messages::FailoverReply;
use oleander_failover::messages::FailoverRequest;
use oleander_failover::messages::Input;
use oleander_failover::messages::Rank;
use oleander_failover::messages::Record;
use oleander_failover::messages::Step;
use oleander_failover::messages::StepResult;
use oleander_failover::supervisor::Supervisor;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::Field;
use oleander_upstream::errors::Error;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;

use crate::failover::home_owners;
use crate::failover::reports::News;
use crate::shared::Shared;

/// The number of peers that are asked for their opinion on an instance.
const WITNESSES: usize = 2;

/// The time within which an instance must answer a step of a promotion.
const STEP_LIMIT: Span = Span::from_millis(300);

/// The time that an opinion takes on its way, beside the witness's own ping.
const OPINION_SLACK: Span = Span::from_millis(300);

/// The longest time between two rounds of a supervisor.
const ROUND: Span = Span::from_millis(100);

/// `Watch` is what the tasks of one guard share.
struct Watch {
    shared: Arc<Shared>,
    database: Database,
    id: DatabaseId,
    admins: Vec<Option<Admin>>,
    inputs: UnboundedSender<Input>,
}

/// Runs the supervisor of a database until the guard is dropped.
pub async fn watch(
    shared: Arc<Shared>,
    database: Database,
    rank: Rank,
    inputs: UnboundedSender<Input>,
    mut received: UnboundedReceiver<Input>,
) {
    let id = DatabaseId::from_name(&database.name);
    let admin = |address: &str| Admin::new(address, &PoolOptions::default()).ok();
    let admins = database.instances.iter().map(|instance| admin(&instance.address)).collect();
    let phase = hash::combine(id.0, VmId::from_name(&shared.settings.name).0);
    let options = shared.settings.failover_options();
    let size = database.instances.len() as u8;
    let supervisor = Supervisor::new(size, rank, options, shared.now(), phase);
    let mut supervisor = supervisor.with_leaving(leaving(&database));
    let watch = Arc::new(Watch { shared, database, id, admins, inputs });
    let mut input = Input::Tick;
    loop {
        let now = watch.shared.now();
        for action in supervisor.handle(now, input) {
            watch.perform(action);
        }
        watch.note_reach(&supervisor, input);
        let due = supervisor.next_due().max(now).min(now + ROUND);
        input = tokio::select! {
            next = received.recv() => next.unwrap_or(Input::Tick),
            () = watch.shared.timers.sleep_until(due) => Input::Tick,
        };
    }
}

impl Watch {
    fn perform(self: &Arc<Self>, action: Action) {
        let watch = Arc::clone(self);
        match action {
            Action::Ping(ordinal) => drop(tokio::spawn(async move { watch.ping(ordinal).await })),
            Action::AskOpinion(ordinal) => self.ask_opinions(ordinal),
            Action::Run { ordinal, step, term } => {
                tokio::spawn(async move { watch.step(ordinal, step, term).await });
            }
            Action::Record(record) => self.record(record),
        }
    }

    async fn ping(&self, ordinal: u8) {
        let limit = self.shared.settings.times.ping_limit.duration();
        let asked = self.shared.now();
        let Some(admin) = self.admin(ordinal) else { return self.tell(Input::Missed(ordinal)) };
        match admin.status(limit).await {
            Ok(status) => {
                self.note_status(ordinal, status, asked);
                self.tell(Input::Answered(ordinal, status));
            }
            Err(_) => self.tell(Input::Missed(ordinal)),
        }
    }

    async fn step(&self, ordinal: u8, step: Step, term: Term) {
        let limit = STEP_LIMIT.duration();
        let asked = self.shared.now();
        let Some(admin) = self.admin(ordinal) else { return };
        let answer = match step {
            Step::Fence => admin.fence(term, limit).await,
            Step::Promote => admin.promote(term, limit).await,
            Step::Follow => admin.follow(term, limit).await,
        };
        let result = match answer {
            Ok(status) => {
                self.note_status(ordinal, status, asked);
                StepResult::Done(status)
            }
            Err(Error::WrongTerm) => StepResult::Refused,
            Err(_) => StepResult::Failed,
        };
        self.tell(Input::StepFinished { ordinal, step, term, result });
    }

    /// Asks VMs of other zones, the other home before all others.
    fn ask_opinions(self: &Arc<Self>, ordinal: u8) {
        for witness in self.witnesses(ordinal) {
            let watch = Arc::clone(self);
            tokio::spawn(async move {
                let instance = InstanceId { database: watch.id, ordinal };
                let request = Request::Failover(FailoverRequest::Opinion { instance });
                let limit = watch.shared.settings.times.ping_limit + OPINION_SLACK;
                let answer = watch.shared.peers.call(witness.agent, &request, limit).await;
                let reply = match answer {
                    Ok(Reply::Failover(reply)) => reply,
                    _ => FailoverReply::Unknown,
                };
                watch.tell(Input::Opinion(ordinal, reply));
            });
        }
    }

    fn witnesses(&self, ordinal: u8) -> Vec<Member> {
        let homes = home_owners(&self.shared, self.id);
        let zone = &self.shared.settings.zone;
        let members = self.shared.with_node(|node, now| node.members(now)).unwrap_or_default();
        let apart = |member: &Member| member.place.zone != *zone;
        let mut able: Vec<Member> = members
            .into_iter()
            .filter(|member| member.state == MemberState::Alive && apart(member))
            .collect();
        let key = hash::combine(self.id.0, u64::from(ordinal));
        able.sort_by_key(|member| {
            (!homes.contains(&Some(member.vm)), hash::combine(key, member.vm.0))
        });
        able.truncate(WITNESSES);
        able
    }

    fn record(self: &Arc<Self>, record: Record) {
        let mut fields = vec![Field::text("database", &self.database.name)];
        let instance = record.ordinal.and_then(|at| self.database.instances.get(usize::from(at)));
        fields.extend(instance.map(|instance| Field::text("instance", &instance.name)));
        fields.push(Field::number("term", record.term.0));
        if !record.reason.is_empty() {
            fields.push(Field::text("reason", record.reason));
        }
        self.shared.record(record.event, &fields);
        if let (Event::PrimaryPromoted, Some(ordinal)) = (record.event, record.ordinal) {
            self.announce(ordinal, record.term);
        }
    }

    /// Tells the other home, so that it looks at the new primary at once.
    fn announce(self: &Arc<Self>, ordinal: u8, term: Term) {
        let own = VmId::from_name(&self.shared.settings.name);
        let others = home_owners(&self.shared, self.id).into_iter().flatten();
        for other in others.filter(|vm| *vm != own) {
            let watch = Arc::clone(self);
            tokio::spawn(async move {
                let member = watch.shared.with_node(|node, _| node.roster().member(other).cloned());
                let Some(member) = member.flatten() else { return };
                let instance = InstanceId { database: watch.id, ordinal };
                let request = Request::Failover(FailoverRequest::Promoted { instance, term });
                // A home that misses the news finds out by its own pings.
                let _ = watch.shared.peers.call(member.agent, &request, OPINION_SLACK).await;
            });
        }
    }

    /// Notes whether the instance that the input speaks of answers.
    fn note_reach(&self, supervisor: &Supervisor, input: Input) {
        let (Input::Answered(ordinal, _)
        | Input::Missed(ordinal)
        | Input::StepFinished { ordinal, .. }) = input
        else {
            return;
        };
        let reports = &self.shared.guards.reports;
        let instance = InstanceId { database: self.id, ordinal };
        let news = match supervisor.instance(ordinal) {
            Some((_, Reachability::Up)) => reports.note_up(instance),
            _ => reports.note_down(instance),
        };
        self.publish(news);
    }

    fn note_status(&self, ordinal: u8, status: InstanceStatus, asked: Time) {
        let instance = InstanceId { database: self.id, ordinal };
        self.publish(self.shared.guards.reports.note(instance, status, asked));
    }

    fn publish(&self, news: News) {
        if news == News::Urgent {
            self.shared.notify();
        }
    }

    fn admin(&self, ordinal: u8) -> Option<&Admin> {
        self.admins.get(usize::from(ordinal))?.as_ref()
    }

    fn tell(&self, input: Input) {
        // The guard may have ended meanwhile.
        let _ = self.inputs.send(input);
    }
}

/// Gets the instances from which the primary is to be moved away.
///
/// A planned change keeps all acknowledged writes only where a majority holds them.
fn leaving(database: &Database) -> Vec<u8> {
    let replicated = database.acknowledge == Acknowledge::Replicated;
    let instances = database.instances.iter().enumerate();
    let leaving = instances.filter(|(_, instance)| replicated && instance.leaving);
    leaving.map(|(ordinal, _)| ordinal as u8).collect()
}
