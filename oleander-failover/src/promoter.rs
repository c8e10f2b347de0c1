//! One promotion: fences a majority, then promotes the most advanced fenced instance.

use oleander_core::terms::InstanceStatus;
use oleander_core::terms::Term;
use oleander_core::time::Time;
use smallvec::SmallVec;

use crate::majority;
use crate::messages::Step;
use crate::messages::StepResult;
use crate::options::Options;

/// `Promoter` is the state of one promotion.
#[derive(Clone, Debug)]
pub struct Promoter {
    term: Term,
    size: usize,
    started: Time,
    /// The instances that have confirmed the fence at the term, each with its status.
    fenced: SmallVec<[(u8, InstanceStatus); 3]>,
    /// The number of answered or failed fence steps at the term.
    replies: usize,
    /// The time at which a majority was fenced; `None` before.
    majority_at: Option<Time>,
    stage: Stage,
    /// The ordinals of the instances that are about to shut down.
    leaving: SmallVec<[u8; 3]>,
    /// `true` once a term has been skipped; see `choose`.
    has_skipped: bool,
}

/// `Progress` is the next operation that a promotion needs, or its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The promotion waits for answers or for time to pass.
    Waiting,
    /// A majority has just been fenced.
    Fenced,
    /// All instances have to be fenced again, at the promoter's new term.
    FenceAgain,
    /// The instance with this ordinal has to be promoted.
    Promote(u8),
    /// The instance with this ordinal is primary and has this status.
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
    /// Starts a promotion at `term` in a group of `size` instances, which the caller has to fence
    /// at that term.
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
            has_skipped: false,
        }
    }

    /// Excludes these instances from the choice if the others alone are a fenced majority.
    pub fn avoiding(mut self, leaving: &[u8]) -> Self {
        self.leaving = SmallVec::from_slice(leaving);
        self
    }

    /// Returns the term of the promotion, which grows if a term is skipped.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the ordinals of the instances that have confirmed the fence at the term.
    pub fn fenced(&self) -> impl Iterator<Item = u8> {
        self.fenced.iter().map(|(ordinal, _)| *ordinal)
    }

    /// Handles the result of a step at the promotion's term.
    pub fn step_finished(
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
                StepResult::Refused => {
                    Progress::Abandoned("another home fenced the chosen instance")
                }
                StepResult::Failed => Progress::Abandoned("the chosen instance did not answer"),
            },
            _ => Progress::Waiting,
        }
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Time, options: &Options) -> Progress {
        if options.promotion_limit <= now.since(self.started) {
            return Progress::Abandoned("the promotion took too long");
        }
        self.choose(now, options)
    }

    /// Returns the time at which `tick` is needed next.
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

    /// Chooses the most advanced instance once all instances have answered or the time to gather
    /// answers has passed.
    ///
    /// A term that directly follows another guarantees that its history up to its start is that of
    /// the other. If the most advanced log ends in an older term, a primary of the term in between
    /// may have been missed, so the fenced term is left without a primary and the next one is used.
    fn choose(&mut self, now: Time, options: &Options) -> Progress {
        let Some(majority_at) = self.majority_at else { return Progress::Waiting };
        let is_gathered =
            self.replies == self.size || options.gather_limit <= now.since(majority_at);
        if self.stage != Stage::Fencing || !is_gathered {
            return Progress::Waiting;
        }
        let Some((chosen, status)) = self.most_advanced() else { return Progress::Waiting };
        if !self.has_skipped && status.point.term.0 + 1 != self.term.0 {
            return self.skip_term();
        }
        self.stage = Stage::Promoting(chosen);
        Progress::Promote(chosen)
    }

    /// Returns the most advanced fenced instance; `None` if none is fenced.
    ///
    /// Any fenced majority holds all acknowledged writes, so instances that are about to shut down
    /// are excluded if the others are a majority.
    fn most_advanced(&self) -> Option<(u8, InstanceStatus)> {
        let stays = |ordinal: u8| !self.leaving.contains(&ordinal);
        let staying = self.fenced.iter().filter(|(ordinal, _)| stays(*ordinal)).count();
        let is_majority = majority(self.size) <= staying;
        let eligible = self.fenced.iter().filter(|(ordinal, _)| !is_majority || stays(*ordinal));
        // The lowest ordinal among equals, so that concurrent promoters choose the same one.
        eligible.max_by_key(|(ordinal, status)| (status.point, u8::MAX - ordinal)).copied()
    }

    fn skip_term(&mut self) -> Progress {
        self.term = Term(self.term.0 + 1);
        self.has_skipped = true;
        self.fenced.clear();
        self.replies = 0;
        self.majority_at = None;
        Progress::FenceAgain
    }
}
