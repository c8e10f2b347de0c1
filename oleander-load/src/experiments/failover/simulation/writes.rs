//! The load of writes, and their acknowledgement.

use oleander_config::model::Acknowledge;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_failover::acks::Settled;
use oleander_failover::acks::WriteId;
use oleander_standin::group::log::Change;
use oleander_standin::group::log::ChangeKind;

use crate::experiments::failover::network::INSTANCES;
use crate::experiments::failover::simulation::Event;
use crate::experiments::failover::simulation::Simulation;
use crate::experiments::failover::simulation::setup::InjectedBug;
use crate::experiments::failover::simulation::setup::Write;

/// The time between two writes.
const WRITE_INTERVAL: Span = Span::from_millis(20);

/// The time after which a caller abandons a write.
const WRITE_DEADLINE: Span = Span::from_secs(2);

/// The wait before a write that has not run is sent again.
const RETRY_INTERVAL: Span = Span::from_millis(50);

impl Simulation {
    pub(super) fn next_write(&mut self) {
        let id = WriteId(self.writes.len() as u64);
        self.writes.push(Write { sent: self.now, acknowledged: None, attempts: 0 });
        self.attempt(id);
        self.defer(WRITE_INTERVAL, Event::NextWrite);
    }

    /// Sends a write through the first running home that knows a primary.
    pub(super) fn attempt(&mut self, id: WriteId) {
        let write = &mut self.writes[id.0 as usize];
        if WRITE_DEADLINE <= self.now.since(write.sent) {
            return;
        }
        let mut homes = (0..2).filter(|vm| self.network.is_running(*vm));
        let target = homes.find_map(|vm| {
            self.supervisors[vm].primary().map(|(ordinal, _)| (vm, usize::from(ordinal)))
        });
        let Some((vm, ordinal)) = target else {
            // Nothing was sent, so the write can be tried again.
            return self.defer(RETRY_INTERVAL, Event::Attempt(id));
        };
        write.attempts += 1;
        match self.network.instance_delay(vm, ordinal, &mut self.random) {
            Some(delay) => self.defer(delay, Event::WriteArrives { vm, ordinal, id }),
            None => self.handle_lost_answer(id),
        }
    }

    pub(super) fn write_arrives(&mut self, vm: usize, ordinal: usize, id: WriteId) {
        let change = Change {
            workspace: String::new(),
            key: String::new(),
            value: String::new(),
            kind: ChangeKind::Append,
            transaction: id.0,
        };
        let now = self.instant();
        let term = self.group.instances[ordinal].term;
        let written = self.group.write(ordinal, term, &[change], now);
        let point = self.group.instances[ordinal].status().point;
        let event = match written {
            Ok(()) => Event::WriteAnswered { vm, ordinal, id, point },
            Err(_) => Event::WriteRefused(id),
        };
        match self.network.instance_delay(vm, ordinal, &mut self.random) {
            Some(delay) => self.defer(delay, event),
            None => self.handle_lost_answer(id),
        }
    }

    /// Abandons a write whose answer was lost, since it may have run. With
    /// `InjectedBug::BlindRetry` it is sent again.
    fn handle_lost_answer(&mut self, id: WriteId) {
        if self.setup.bug == InjectedBug::BlindRetry {
            self.defer(RETRY_INTERVAL, Event::Attempt(id));
        }
    }

    pub(super) fn write_answered(
        &mut self,
        vm: usize,
        ordinal: usize,
        id: WriteId,
        point: LogPoint,
    ) {
        let early = self.setup.bug == InjectedBug::EarlyAck;
        if self.setup.acknowledge == Acknowledge::Primary || early {
            self.acknowledge(id);
            return;
        }
        let idle = self.trackers[vm].is_idle();
        let settled = self.trackers[vm].add(self.now, id, ordinal as u8, point);
        self.pending.insert(id, vm);
        self.settle(&settled);
        if idle && let Some(due) = self.trackers[vm].next_poll() {
            self.queue.schedule(due, Event::Poll(vm));
        }
    }

    pub(super) fn poll(&mut self, vm: usize) {
        self.drop_expired(vm);
        let Some(due) = self.trackers[vm].next_poll() else { return };
        if self.now < due {
            self.queue.schedule(due, Event::Poll(vm));
            return;
        }
        self.trackers[vm].polled(self.now);
        let primary = self.supervisors[vm].primary().map(|(ordinal, _)| usize::from(ordinal));
        for ordinal in (0..INSTANCES).filter(|ordinal| Some(*ordinal) != primary) {
            if let Some(delay) = self.network.instance_delay(vm, ordinal, &mut self.random) {
                self.defer(delay, Event::PollArrives { vm, ordinal });
            }
        }
        if let Some(due) = self.trackers[vm].next_poll() {
            self.queue.schedule(due, Event::Poll(vm));
        }
    }

    pub(super) fn poll_arrives(&mut self, vm: usize, ordinal: usize) {
        let status = self.group.status(ordinal, self.instant());
        if let Some(delay) = self.network.instance_delay(vm, ordinal, &mut self.random) {
            self.defer(delay, Event::Polled { vm, ordinal, status });
        }
    }

    fn drop_expired(&mut self, vm: usize) {
        let late: Vec<WriteId> = self
            .pending
            .iter()
            .filter(|(id, home)| {
                **home == vm && WRITE_DEADLINE <= self.now.since(self.writes[id.0 as usize].sent)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.pending.remove(&id);
            self.trackers[vm].forget(id);
        }
    }

    pub(super) fn settle(&mut self, settled: &[Settled]) {
        for settled in settled {
            match settled {
                Settled::Acknowledged(id) => self.acknowledge(*id),
                Settled::Unconfirmed(id) => {
                    self.pending.remove(id);
                }
            }
        }
    }

    fn acknowledge(&mut self, id: WriteId) {
        self.pending.remove(&id);
        if self.acknowledged.insert(id) {
            self.writes[id.0 as usize].acknowledged = Some(self.now);
        }
    }

    /// Sends a refused write again, since it has not run.
    pub(super) fn write_refused(&mut self, id: WriteId) {
        self.defer(RETRY_INTERVAL, Event::Attempt(id));
    }
}
