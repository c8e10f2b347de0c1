//! Whether a database lacks a primary, and the start of a promotion.

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
use crate::supervisor::record;

/// `Vacancy` is why a promotion may be needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Vacancy {
    /// No instance that this home can reach is primary, and some cannot be reached.
    Unreachable,
    /// All instances answer and none is primary.
    Orphaned,
}

impl Supervisor {
    /// Returns `true` if the primary leaves and the instances that stay are a majority.
    pub(crate) fn may_relieve(&self, now: Time, leader: u8) -> bool {
        let staying = self.reachable().filter(|(ordinal, _)| !self.leaving.contains(ordinal));
        // The second home leaves a planned change to the first.
        self.rank == Rank::First
            && self.leaving.contains(&leader)
            && self.retry_at <= now
            && majority(self.instances.len()) <= staying.count()
    }

    /// Starts a promotion if this home can show that there is no primary.
    pub(crate) fn fill_vacancy(&mut self, now: Time, out: &mut Actions) {
        let Some(vacancy) = self.vacancy() else {
            self.vacant_since = None;
            return;
        };
        let since = *self.vacant_since.get_or_insert(now);
        let patience = match vacancy {
            Vacancy::Unreachable => Span::ZERO,
            Vacancy::Orphaned => self.options.orphan_limit,
        };
        // Opinions are gathered while this home still waits.
        let confirmed = self.is_confirmed(now, out);
        let waited = patience + self.stagger() <= now.since(since) && self.retry_at <= now;
        if confirmed && waited {
            self.start_promotion(now, "no primary", out);
        }
    }

    /// Gets why there may be no primary; `None` while that cannot be told.
    fn vacancy(&self) -> Option<Vacancy> {
        let (mut up, mut down) = (0, 0);
        for detector in &self.instances {
            match detector.reach(&self.options) {
                Reachability::Unknown => return None,
                // One that has just missed a ping is not counted on.
                Reachability::Up if detector.is_missing() => {}
                Reachability::Up => up += 1,
                Reachability::Down => down += 1,
            }
        }
        // Without a majority nothing can be promoted from here.
        if up < majority(self.instances.len()) {
            return None;
        }
        Some(if down == 0 { Vacancy::Orphaned } else { Vacancy::Unreachable })
    }

    /// Returns `true` if each unreachable instance is confirmed not to be a working primary.
    fn is_confirmed(&mut self, now: Time, out: &mut Actions) -> bool {
        if self.options.witness == Witness::Skipped {
            return true;
        }
        let options = self.options;
        let mut confirmed = true;
        for ordinal in 0..self.instances.len() {
            let detector = &self.instances[ordinal];
            if detector.reach(&options) != Reachability::Down
                || detector.confirmed_down(now, &options)
            {
                continue;
            }
            let idle = detector.status().is_some_and(|status| !is_primary_at(status, self.top));
            if detector.reached_by_peer(now, &options) && idle {
                continue;
            }
            confirmed = false;
            self.ask_opinion(now, ordinal, out);
        }
        confirmed
    }

    pub(crate) fn ask_opinion(&mut self, now: Time, ordinal: usize, out: &mut Actions) {
        if self.options.witness == Witness::Skipped {
            return;
        }
        if self.instances[ordinal].opinion_due(now, &self.options) {
            out.push(record(Event::OpinionAsked, Some(ordinal as u8), self.top, ""));
            out.push(Action::AskOpinion(ordinal as u8));
        }
    }

    pub(crate) fn start_promotion(&mut self, now: Time, reason: &'static str, out: &mut Actions) {
        let term = Term(self.top.0 + 1);
        let promoter = Promoter::new(term, self.instances.len(), now);
        self.promoter = Some(promoter.avoiding(&self.leaving));
        out.push(record(Event::PromotionStarted, None, term, reason));
        self.fence_all(term, out);
    }

    pub(crate) fn stagger(&self) -> Span {
        match self.rank {
            Rank::First => Span::ZERO,
            Rank::Second => self.options.stagger,
        }
    }
}
