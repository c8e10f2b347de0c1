//! Detection of a lost primary, and the start of a promotion.

use oleander_core::events::Event;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::detector::Reachability;
use crate::majority;
use crate::messages::Action;
use crate::messages::Rank;
use crate::options::Witness;
use crate::promoter::Promoter;
use crate::supervisor::Actions;
use crate::supervisor::Supervisor;
use crate::supervisor::is_primary_at;
use crate::supervisor::log_event;

/// `PrimaryLoss` is the reason to assume that a database has no primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PrimaryLoss {
    /// No reachable instance is primary, and some instances are unreachable.
    Unreachable,
    /// All instances answer and none is primary.
    NoPrimary,
}

impl Supervisor {
    /// Returns `true` if the primary is about to shut down and the reachable instances that stay
    /// are a majority.
    pub(crate) fn should_hand_over(&self, now: Time, primary_ordinal: u8) -> bool {
        let staying = self.reachable().filter(|(ordinal, _)| !self.leaving.contains(ordinal));
        // Only the first home makes a planned change of primary.
        self.rank == Rank::First
            && self.leaving.contains(&primary_ordinal)
            && self.retry_at <= now
            && majority(self.instances.len()) <= staying.count()
    }

    /// Starts a promotion once it is confirmed that there is no working primary.
    pub(crate) fn handle_loss(&mut self, now: Time, out: &mut Actions) {
        let Some(loss) = self.primary_loss() else {
            self.no_primary_since = None;
            return;
        };
        let since = *self.no_primary_since.get_or_insert(now);
        let limit = match loss {
            PrimaryLoss::Unreachable => Span::ZERO,
            PrimaryLoss::NoPrimary => self.options.no_primary_limit,
        };
        // Asks for opinions already while this home waits.
        let is_confirmed = self.is_loss_confirmed(now, out);
        let has_waited = limit + self.stagger() <= now.since(since) && self.retry_at <= now;
        if is_confirmed && has_waited {
            self.start_promotion(now, "no primary", out);
        }
    }

    /// Returns why the primary may be lost; `None` while an instance's reachability is
    /// unknown or too few instances answer to promote one.
    fn primary_loss(&self) -> Option<PrimaryLoss> {
        let (mut up, mut down) = (0, 0);
        for detector in &self.instances {
            match detector.reachability(&self.options) {
                Reachability::Unknown => return None,
                // An instance that has just missed a ping does not count towards the majority.
                Reachability::Up if detector.has_missed() => {}
                Reachability::Up => up += 1,
                Reachability::Down => down += 1,
            }
        }
        // Without a majority nothing can be promoted from here.
        if up < majority(self.instances.len()) {
            return None;
        }
        Some(if down == 0 { PrimaryLoss::NoPrimary } else { PrimaryLoss::Unreachable })
    }

    /// Returns `true` if no unreachable instance can be a working primary: a peer cannot reach it
    /// either, or a peer has reached it and it was no primary. Asks for missing opinions.
    fn is_loss_confirmed(&mut self, now: Time, out: &mut Actions) -> bool {
        if self.options.witness == Witness::Skipped {
            return true;
        }
        let options = self.options;
        let mut is_confirmed = true;
        for ordinal in 0..self.instances.len() {
            let detector = &self.instances[ordinal];
            if detector.reachability(&options) != Reachability::Down
                || detector.confirmed_down(now, &options)
            {
                continue;
            }
            let is_no_primary =
                detector.status().is_some_and(|status| !is_primary_at(status, self.highest_term));
            if detector.reached_by_peer(now, &options) && is_no_primary {
                continue;
            }
            is_confirmed = false;
            self.ask_opinion(now, ordinal, out);
        }
        is_confirmed
    }

    pub(crate) fn ask_opinion(&mut self, now: Time, ordinal: usize, out: &mut Actions) {
        if self.options.witness == Witness::Skipped {
            return;
        }
        if self.instances[ordinal].opinion_due(now, &self.options) {
            out.push(log_event(Event::OpinionAsked, Some(ordinal as u8), self.highest_term, ""));
            out.push(Action::AskOpinion(ordinal as u8));
        }
    }

    pub(crate) fn start_promotion(&mut self, now: Time, reason: &'static str, out: &mut Actions) {
        let term = Term(self.highest_term.0 + 1);
        let promoter = Promoter::new(term, self.instances.len(), now);
        self.promoter = Some(promoter.avoiding(&self.leaving));
        out.push(log_event(Event::PromotionStarted, None, term, reason));
        self.fence_all(term, out);
    }

    pub(crate) fn stagger(&self) -> Span {
        match self.rank {
            Rank::First => Span::ZERO,
            Rank::Second => self.options.stagger,
        }
    }
}
