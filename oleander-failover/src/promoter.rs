//! One promotion: fencing a majority, then promoting the furthest instance.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::majority;
use crate::messages::Step;
use crate::messages::StepResult;
use crate::options::Options;

/// `Promoter` runs one promotion at one term.
#[derive(Clone, Debug)]
pub struct Promoter {
    term: Term,
    size: usize,
    started: Time,
    fenced: SmallVec<[(u8, InstanceStatus); 3]>,
    replies: usize,
    majority_at: Option<Time>,
    stage: Stage,
    leaving: SmallVec<[u8; 3]>,
    /// `true` once a term has been left out; see `choose`.
    skipped: bool,
}

/// `Progress` is what a promotion asks for next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing yet.
    Waiting,
    /// A majority has just been fenced.
    Fenced,
    /// All instances are to be fenced again, at the promoter's new term.
    FenceAgain,
    /// The instance is to be promoted.
    Promote(u8),
    /// The instance is primary.
    Finished(u8, InstanceStatus),
    /// The promotion has failed, for this reason.
    Abandoned(&'static str),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Fencing,
    Promoting(u8),
}

impl Promoter {
    /// Starts a promotion at `term` in a group of `size`; all instances are to be fenced at it.
    pub fn new(term: Term, size: usize, now: Time) -> Self {
        Self {
            term,
            size,
            started: now,
            fenced: SmallVec::new(),
            replies: 0,
            majority_at: None,
            stage: Stage::Fencing,
            leaving: SmallVec::new(),
            skipped: false,
        }
    }

    /// Passes over these instances if the others alone make a fenced majority.
    pub fn avoiding(mut self, leaving: &[u8]) -> Self {
        self.leaving = SmallVec::from_slice(leaving);
        self
    }

    /// Gets the term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Gets the instances that are known to be fenced at the term.
    pub fn fenced(&self) -> impl Iterator<Item = u8> {
        self.fenced.iter().map(|(ordinal, _)| *ordinal)
    }

    /// Takes in the result of a step at the promotion's term.
    pub fn stepped(
        &mut self,
        now: Time,
        ordinal: u8,
        step: Step,
        result: StepResult,
        options: &Options,
    ) -> Progress {
        match (step, self.stage) {
            (Step::Fence, Stage::Fencing) => self.fence_answered(now, ordinal, result, options),
            (Step::Promote, Stage::Promoting(chosen)) if chosen == ordinal => match result {
                StepResult::Done(status) => Progress::Finished(ordinal, status),
                StepResult::Refused => Progress::Abandoned("a rival fenced the chosen instance"),
                StepResult::Failed => Progress::Abandoned("the chosen instance did not answer"),
            },
            _ => Progress::Waiting,
        }
    }

    /// Takes in that time has passed.
    pub fn tick(&mut self, now: Time, options: &Options) -> Progress {
        if options.promotion_limit <= now.since(self.started) {
            return Progress::Abandoned("it took too long");
        }
        self.choose(now, options)
    }

    /// Gets the time at which `tick` has something to do.
    pub fn next_due(&self, options: &Options) -> Time {
        let limit = self.started + options.promotion_limit;
        match (self.stage, self.majority_at) {
            (Stage::Fencing, Some(at)) => limit.min(at + options.gather_limit),
            _ => limit,
        }
    }

    fn fence_answered(
        &mut self,
        now: Time,
        ordinal: u8,
        result: StepResult,
        options: &Options,
    ) -> Progress {
        self.replies += 1;
        if let StepResult::Done(status) = result {
            self.fenced.push((ordinal, status));
        }
        let needed = majority(self.size);
        let missing = needed.saturating_sub(self.fenced.len());
        if self.size - self.replies < missing {
            return Progress::Abandoned("no majority could be fenced");
        }
        if 0 < missing {
            return Progress::Waiting;
        }
        if self.majority_at.is_none() {
            self.majority_at = Some(now);
            if self.replies < self.size {
                return Progress::Fenced;
            }
        }
        self.choose(now, options)
    }

    /// Chooses the furthest instance once all have answered or had time to.
    ///
    /// A term that follows directly on another promises that its history is that
    /// of the other up to its start. Where the furthest log ends in an older
    /// term, a primary of the term between may have been missed, so the fenced
    /// term stays without a primary and the next one is taken.
    fn choose(&mut self, now: Time, options: &Options) -> Progress {
        let Some(majority_at) = self.majority_at else { return Progress::Waiting };
        let gathered = self.replies == self.size || options.gather_limit <= now.since(majority_at);
        if self.stage != Stage::Fencing || !gathered {
            return Progress::Waiting;
        }
        let Some((chosen, status)) = self.furthest() else { return Progress::Waiting };
        if !self.skipped && status.point.term.0 + 1 != self.term.0 {
            return self.skip_term();
        }
        self.stage = Stage::Promoting(chosen);
        Progress::Promote(chosen)
    }

    /// Gets the furthest fenced instance.
    ///
    /// Any fenced majority holds all acknowledged writes, so instances that
    /// leave may be passed over where the others are such a majority.
    fn furthest(&self) -> Option<(u8, InstanceStatus)> {
        let stays = |ordinal: u8| !self.leaving.contains(&ordinal);
        let staying = self.fenced.iter().filter(|(ordinal, _)| stays(*ordinal)).count();
        let enough = majority(self.size) <= staying;
        let able = self.fenced.iter().filter(|(ordinal, _)| !enough || stays(*ordinal));
        // Among equals the lowest ordinal, so that rivals choose alike.
        able.max_by_key(|(ordinal, status)| (status.point, u8::MAX - ordinal)).copied()
    }

    fn skip_term(&mut self) -> Progress {
        self.term = Term(self.term.0 + 1);
        self.skipped = true;
        self.fenced.clear();
        self.replies = 0;
        self.majority_at = None;
        Progress::FenceAgain
    }
}
