//! The task that performs the I/O of one database's supervisor.

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
use crate::failover::reports::Urgency;
use crate::shared::Shared;

/// The maximum number of peers that a home asks for a second opinion on an instance.
const OPINION_PEERS: usize = 2;

/// The timeout of one step of a promotion or a rejoin on an instance.
const STEP_TIMEOUT: Span = Span::from_millis(300);

/// The timeout of a call to a peer agent. A request for an opinion adds it to the ping timeout,
/// because the peer pings the instance before it replies.
const PEER_CALL_TIMEOUT: Span = Span::from_millis(300);

/// The longest time between two inputs to a supervisor; `Input::Tick` is sent after it.
const MAX_TICK_INTERVAL: Span = Span::from_millis(100);

/// `MonitorTask` is the state shared by the tasks of one monitor.
struct MonitorTask {
    shared: Arc<Shared>,
    database: Database,
    id: DatabaseId,
    admins: Vec<Option<Admin>>,
    inputs: UnboundedSender<Input>,
}

/// Runs the supervisor of a database. It never returns; dropping the `Monitor` aborts it.
pub async fn run(
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
    let mut supervisor = supervisor.with_leaving(leaving_instances(&database));
    let task = Arc::new(MonitorTask { shared, database, id, admins, inputs });
    let mut input = Input::Tick;
    loop {
        let now = task.shared.now();
        for action in supervisor.handle(now, input) {
            task.perform(action);
        }
        task.record_reachability(&supervisor, input);
        let due = supervisor.next_due().max(now).min(now + MAX_TICK_INTERVAL);
        input = tokio::select! {
            next = received.recv() => next.unwrap_or(Input::Tick),
            () = task.shared.timers.sleep_until(due) => Input::Tick,
        };
    }
}

impl MonitorTask {
    fn perform(self: &Arc<Self>, action: Action) {
        let task = Arc::clone(self);
        match action {
            Action::Ping(ordinal) => drop(tokio::spawn(async move { task.ping(ordinal).await })),
            Action::AskOpinion(ordinal) => self.ask_opinions(ordinal),
            Action::Run { ordinal, step, term } => {
                tokio::spawn(async move { task.run_step(ordinal, step, term).await });
            }
            Action::Record(record) => self.record(record),
        }
    }

    async fn ping(&self, ordinal: u8) {
        let limit = self.shared.settings.times.ping_limit.duration();
        let asked = self.shared.now();
        let Some(admin) = self.admin(ordinal) else { return self.send(Input::Missed(ordinal)) };
        match admin.status(limit).await {
            Ok(status) => {
                self.record_status(ordinal, status, asked);
                self.send(Input::Answered(ordinal, status));
            }
            Err(_) => self.send(Input::Missed(ordinal)),
        }
    }

    async fn run_step(&self, ordinal: u8, step: Step, term: Term) {
        let limit = STEP_TIMEOUT.duration();
        let asked = self.shared.now();
        let Some(admin) = self.admin(ordinal) else { return };
        let answer = match step {
            Step::Fence => admin.fence(term, limit).await,
            Step::Promote => admin.promote(term, limit).await,
            Step::Follow => admin.follow(term, limit).await,
        };
        let result = match answer {
            Ok(status) => {
                self.record_status(ordinal, status, asked);
                StepResult::Done(status)
            }
            Err(Error::WrongTerm) => StepResult::Refused,
            Err(_) => StepResult::Failed,
        };
        self.send(Input::StepFinished { ordinal, step, term, result });
    }

    /// Asks up to `OPINION_PEERS` VMs in other zones for their opinion on an instance. A call that
    /// fails counts as `FailoverReply::Unknown`.
    fn ask_opinions(self: &Arc<Self>, ordinal: u8) {
        for peer in self.opinion_peers(ordinal) {
            let task = Arc::clone(self);
            tokio::spawn(async move {
                let instance = InstanceId { database: task.id, ordinal };
                let request = Request::Failover(FailoverRequest::Opinion { instance });
                let limit = task.shared.settings.times.ping_limit + PEER_CALL_TIMEOUT;
                let answer = task.shared.peers.call(peer.agent, &request, limit).await;
                let reply = match answer {
                    Ok(Reply::Failover(reply)) => reply,
                    _ => FailoverReply::Unknown,
                };
                task.send(Input::Opinion(ordinal, reply));
            });
        }
    }

    /// Returns the members to ask: alive and in another zone, homes of the database first, the
    /// rest in an order that differs between instances.
    fn opinion_peers(&self, ordinal: u8) -> Vec<Member> {
        let homes = home_owners(&self.shared, self.id);
        let zone = &self.shared.settings.zone;
        let members = self.shared.with_node(|node, now| node.members(now)).unwrap_or_default();
        let in_other_zone = |member: &Member| member.place.zone != *zone;
        let mut candidates: Vec<Member> = members
            .into_iter()
            .filter(|member| member.state == MemberState::Alive && in_other_zone(member))
            .collect();
        let key = hash::combine(self.id.0, u64::from(ordinal));
        candidates.sort_by_key(|member| {
            (!homes.contains(&Some(member.vm)), hash::combine(key, member.vm.0))
        });
        candidates.truncate(OPINION_PEERS);
        candidates
    }

    fn record(self: &Arc<Self>, record: Record) {
        let mut fields = vec![Field::text("database", &self.database.name)];
        let instance =
            record.ordinal.and_then(|ordinal| self.database.instances.get(usize::from(ordinal)));
        fields.extend(instance.map(|instance| Field::text("instance", &instance.name)));
        fields.push(Field::number("term", record.term.0));
        if !record.reason.is_empty() {
            fields.push(Field::text("reason", record.reason));
        }
        self.shared.record(record.event, &fields);
        if let (Event::PrimaryPromoted, Some(ordinal)) = (record.event, record.ordinal) {
            self.announce_promotion(ordinal, record.term);
        }
    }

    /// Notifies the other home of a promotion, so that it pings the new primary immediately.
    fn announce_promotion(self: &Arc<Self>, ordinal: u8, term: Term) {
        let own = VmId::from_name(&self.shared.settings.name);
        let others = home_owners(&self.shared, self.id).into_iter().flatten();
        for other in others.filter(|vm| *vm != own) {
            let task = Arc::clone(self);
            tokio::spawn(async move {
                let member = task.shared.with_node(|node, _| node.roster().member(other).cloned());
                let Some(member) = member.flatten() else { return };
                let instance = InstanceId { database: task.id, ordinal };
                let request = Request::Failover(FailoverRequest::Promoted { instance, term });
                // Best effort: without this request the home detects the promotion by its pings.
                let _ = task.shared.peers.call(member.agent, &request, PEER_CALL_TIMEOUT).await;
            });
        }
    }

    /// Records whether the instance that the input refers to is reachable.
    fn record_reachability(&self, supervisor: &Supervisor, input: Input) {
        let (Input::Answered(ordinal, _)
        | Input::Missed(ordinal)
        | Input::StepFinished { ordinal, .. }) = input
        else {
            return;
        };
        let reports = &self.shared.monitors.reports;
        let instance = InstanceId { database: self.id, ordinal };
        let urgency = match supervisor.instance(ordinal) {
            Some((_, Reachability::Up)) => reports.mark_reachable(instance),
            _ => reports.mark_unreachable(instance),
        };
        self.notify_if_immediate(urgency);
    }

    fn record_status(&self, ordinal: u8, status: InstanceStatus, asked: Time) {
        let instance = InstanceId { database: self.id, ordinal };
        self.notify_if_immediate(
            self.shared.monitors.reports.update_status(instance, status, asked),
        );
    }

    fn notify_if_immediate(&self, urgency: Urgency) {
        if urgency == Urgency::Immediate {
            self.shared.notify();
        }
    }

    fn admin(&self, ordinal: u8) -> Option<&Admin> {
        self.admins.get(usize::from(ordinal))?.as_ref()
    }

    fn send(&self, input: Input) {
        // Sending fails only if the monitor has ended in the meantime.
        let _ = self.inputs.send(input);
    }
}

/// Returns the ordinals of the instances marked as leaving, which must not stay primary.
///
/// Returns none unless writes are acknowledged only after replication to a majority: a planned
/// promotion could otherwise lose acknowledged writes.
fn leaving_instances(database: &Database) -> Vec<u8> {
    let replicated = database.acknowledge == Acknowledge::Replicated;
    let instances = database.instances.iter().enumerate();
    let leaving = instances.filter(|(_, instance)| replicated && instance.leaving);
    leaving.map(|(ordinal, _)| ordinal as u8).collect()
}
