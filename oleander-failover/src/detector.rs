//! What one home knows of one instance.

use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::messages::FailoverReply;
use crate::options::Options;

/// `Reachability` is whether an instance answers this home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// Too little has been heard to tell.
    Unknown,
    /// The instance answers.
    Up,
    /// The instance has missed the set number of pings in a row.
    Down,
}

/// `Detector` paces the pings of one instance and counts its misses.
#[derive(Clone, Copy, Debug)]
pub struct Detector {
    status: Option<InstanceStatus>,
    answered: Option<Time>,
    misses: u32,
    first: Time,
    sent: Option<Time>,
    pinged: bool,
    opinion: Option<(Time, FailoverReply)>,
    asked: Option<Time>,
    down_since: Option<Time>,
}

/// `Turn` is a change of an instance's reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// The instance became unreachable.
    Lost,
    /// The instance became reachable again.
    Back,
}

impl Detector {
    /// Makes a detector that pings first at `first`.
    pub fn new(first: Time) -> Self {
        Self {
            status: None,
            answered: None,
            misses: 0,
            first,
            sent: None,
            pinged: false,
            opinion: None,
            asked: None,
            down_since: None,
        }
    }

    /// Returns `true` if a ping is to be sent now, `interval` after the last one.
    pub fn ping_due(&mut self, now: Time, interval: Span) -> bool {
        if self.pinged || now < self.next_ping(interval) {
            return false;
        }
        self.pinged = true;
        self.sent = Some(now);
        true
    }

    /// Makes the next ping due now.
    pub fn hurry(&mut self, now: Time) {
        self.first = now;
        self.sent = None;
    }

    /// Gets the time of the next ping.
    pub fn next_ping(&self, interval: Span) -> Time {
        self.sent.map_or(self.first, |sent| sent + interval)
    }

    /// Returns `true` if one more miss makes the instance unreachable, or it is so already.
    pub fn is_doubtful(&self, options: &Options) -> bool {
        options.misses <= self.misses + 1
    }

    /// Returns `true` if the last ping was missed.
    pub fn is_missing(&self) -> bool {
        0 < self.misses
    }

    /// Takes in an answered ping.
    pub fn answered(&mut self, now: Time, status: InstanceStatus) -> Option<Turn> {
        self.pinged = false;
        self.heard(now, status)
    }

    /// Takes in a status from another answer of the instance itself.
    pub fn heard(&mut self, now: Time, status: InstanceStatus) -> Option<Turn> {
        self.misses = 0;
        self.answered = Some(now);
        self.learn(status);
        self.opinion = None;
        self.down_since.take().map(|_| Turn::Back)
    }

    /// Takes in a missed ping.
    pub fn missed(&mut self, now: Time, options: &Options) -> Option<Turn> {
        self.pinged = false;
        self.misses += 1;
        if self.misses < options.misses || self.down_since.is_some() {
            return None;
        }
        self.down_since = Some(now);
        Some(Turn::Lost)
    }

    /// Takes in a status that came otherwise; an older one is ignored.
    pub fn learn(&mut self, status: InstanceStatus) {
        if self.status.is_none_or(|known| known.fence <= status.fence) {
            self.status = Some(status);
        }
    }

    /// Takes in an opinion.
    pub fn advised(&mut self, now: Time, reply: FailoverReply) {
        if let FailoverReply::Reachable(status) = reply {
            self.learn(status);
        }
        // That one peer cannot reach it either outweighs that another can.
        let decided = matches!(self.opinion, Some((_, FailoverReply::Unreachable)));
        if matches!(reply, FailoverReply::Unreachable) || !decided {
            self.opinion = Some((now, reply));
        }
    }

    /// Returns `true` if opinions are to be asked for now.
    pub fn opinion_due(&mut self, now: Time, options: &Options) -> bool {
        let waiting = self.asked.is_some_and(|asked| now.since(asked) < options.opinion_interval);
        if waiting || self.confirmed_down(now, options) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Returns `true` if a peer has lately confirmed that the instance does not answer.
    pub fn confirmed_down(&self, now: Time, options: &Options) -> bool {
        self.fresh_opinion(now, options.opinion_age)
            .is_some_and(|reply| reply == FailoverReply::Unreachable)
    }

    /// Returns `true` if a peer has lately reached the instance and none has failed to.
    pub fn reached_by_peer(&self, now: Time, options: &Options) -> bool {
        self.fresh_opinion(now, options.opinion_age)
            .is_some_and(|reply| matches!(reply, FailoverReply::Reachable(_)))
    }

    /// Gets whether the instance answers this home.
    pub fn reach(&self, options: &Options) -> Reachability {
        if options.misses <= self.misses {
            return Reachability::Down;
        }
        if self.answered.is_some() { Reachability::Up } else { Reachability::Unknown }
    }

    /// Gets the last known status.
    pub fn status(&self) -> Option<InstanceStatus> {
        self.status
    }

    fn fresh_opinion(&self, now: Time, age: Span) -> Option<FailoverReply> {
        self.opinion.filter(|(given, _)| now.since(*given) <= age).map(|(_, reply)| reply)
    }
}
