//! Failure detection: the state that one home keeps of one instance.

use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::FailoverReply;
use crate::options::Options;

/// `Reachability` tells whether an instance answers this home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// The instance has not answered yet and has not missed enough pings to count as down.
    Unknown,
    /// The instance has answered and has not missed the set number of pings since.
    Up,
    /// The instance has missed the set number of pings in a row.
    Down,
}

/// `Detector` schedules the pings of one instance and counts the missed ones.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    status: Option<InstanceStatus>,
    last_answer: Option<Time>,
    /// The number of pings missed in a row.
    misses: u32,
    /// The time of the next ping while `last_ping` is `None`.
    first_ping: Time,
    last_ping: Option<Time>,
    awaiting_answer: bool,
    /// The opinion of the peers, with the time at which it arrived.
    opinion: Option<(Time, FailoverReply)>,
    /// The time at which opinions were last asked for.
    opinion_asked: Option<Time>,
    /// The time since which the instance counts as unreachable; `None` while it does not.
    down_since: Option<Time>,
}

/// `Transition` is a change of an instance's reachability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The instance became unreachable.
    Lost,
    /// The instance became reachable again.
    Recovered,
}

impl Detector {
    /// Creates a detector whose first ping is due at `first_ping`.
    pub fn new(first_ping: Time) -> Self {
        Self {
            status: None,
            last_answer: None,
            misses: 0,
            first_ping,
            last_ping: None,
            awaiting_answer: false,
            opinion: None,
            opinion_asked: None,
            down_since: None,
        }
    }

    /// Returns `true` if a ping is due, `interval` after the last one, and marks it as sent.
    pub fn ping_due(&mut self, now: Time, interval: Span) -> bool {
        if self.awaiting_answer || now < self.next_ping(interval) {
            return false;
        }
        self.awaiting_answer = true;
        self.last_ping = Some(now);
        true
    }

    /// Makes the next ping due now, or once the pending one is answered or missed.
    pub fn ping_now(&mut self, now: Time) {
        self.first_ping = now;
        self.last_ping = None;
    }

    /// Returns the time of the next ping.
    pub fn next_ping(&self, interval: Span) -> Time {
        self.last_ping.map_or(self.first_ping, |sent| sent + interval)
    }

    /// Returns `true` if the instance is unreachable or one more missed ping makes it so.
    pub fn is_nearly_down(&self, options: &Options) -> bool {
        options.misses <= self.misses + 1
    }

    /// Returns `true` if the last ping was missed.
    pub fn has_missed(&self) -> bool {
        0 < self.misses
    }

    /// Records an answered ping. Returns `Recovered` if the instance was unreachable.
    pub fn ping_answered(&mut self, now: Time, status: InstanceStatus) -> Option<Transition> {
        self.awaiting_answer = false;
        self.status_received(now, status)
    }

    /// Records a status that the instance sent with any answer. Returns `Recovered` if it was
    /// unreachable.
    pub fn status_received(&mut self, now: Time, status: InstanceStatus) -> Option<Transition> {
        self.misses = 0;
        self.last_answer = Some(now);
        self.update_status(status);
        self.opinion = None;
        self.down_since.take().map(|_| Transition::Recovered)
    }

    /// Records a missed ping. Returns `Lost` if it makes the instance unreachable.
    pub fn ping_missed(&mut self, now: Time, options: &Options) -> Option<Transition> {
        self.awaiting_answer = false;
        self.misses += 1;
        if self.misses < options.misses || self.down_since.is_some() {
            return None;
        }
        self.down_since = Some(now);
        Some(Transition::Lost)
    }

    /// Records a status from any source; one with a lower fence than the last is ignored.
    pub fn update_status(&mut self, status: InstanceStatus) {
        if self.status.is_none_or(|known| known.fence <= status.fence) {
            self.status = Some(status);
        }
    }

    /// Records a peer's opinion on the instance.
    pub fn add_opinion(&mut self, now: Time, reply: FailoverReply) {
        if let FailoverReply::Reachable(status) = reply {
            self.update_status(status);
        }
        // A peer that cannot reach the instance outweighs one that can.
        let is_unreachable = matches!(self.opinion, Some((_, FailoverReply::Unreachable)));
        if matches!(reply, FailoverReply::Unreachable) || !is_unreachable {
            self.opinion = Some((now, reply));
        }
    }

    /// Returns `true` if opinions are to be asked for now, and marks them as asked for.
    pub fn opinion_due(&mut self, now: Time, options: &Options) -> bool {
        let waiting =
            self.opinion_asked.is_some_and(|asked| now.since(asked) < options.opinion_interval);
        if waiting || self.confirmed_down(now, options) {
            return false;
        }
        self.opinion_asked = Some(now);
        true
    }

    /// Returns `true` if a peer has confirmed within `opinion_age` that the instance does not
    /// answer.
    pub fn confirmed_down(&self, now: Time, options: &Options) -> bool {
        self.recent_opinion(now, options.opinion_age)
            .is_some_and(|reply| reply == FailoverReply::Unreachable)
    }

    /// Returns `true` if a peer has reached the instance within `opinion_age` and none has failed
    /// to.
    pub fn reached_by_peer(&self, now: Time, options: &Options) -> bool {
        self.recent_opinion(now, options.opinion_age)
            .is_some_and(|reply| matches!(reply, FailoverReply::Reachable(_)))
    }

    /// Returns whether the instance answers this home.
    pub fn reachability(&self, options: &Options) -> Reachability {
        if options.misses <= self.misses {
            return Reachability::Down;
        }
        if self.last_answer.is_some() { Reachability::Up } else { Reachability::Unknown }
    }

    /// Returns the last known status; `None` if there was none yet.
    pub fn status(&self) -> Option<InstanceStatus> {
        self.status
    }

    fn recent_opinion(&self, now: Time, age: Span) -> Option<FailoverReply> {
        self.opinion.filter(|(given, _)| now.since(*given) <= age).map(|(_, reply)| reply)
    }
}
