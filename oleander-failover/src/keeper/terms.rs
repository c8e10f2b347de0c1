//! Whether an answer of an instance belongs to the history of the database.
//!
//! Only an order of a keeper starts a term, and the record tells of it before it is sent. An answer in
//! a later term that no order explains comes from another database, whose entry names this one: a copy,
//! or one that was started for tests. It is as if that instance had not answered.

use oleander_core::ids::InstanceKey;
use oleander_core::terms::Term;
use oleander_core::time::Time;

use super::Event;
use super::Keeper;
use super::log_event;
use super::messages::Action;
use super::phase::Phase;
use super::phase::UnansweredOrder;
use super::phase::UnresolvedOrder;

/// The number of terms that orders may have started without being seen to: the latest one, and one for
/// another instance that was not answered before it.
const MAX_UNSEEN_TERMS: u64 = 2;

impl Keeper {
    /// Returns `true` if an instance may be in this term: an earlier keeper or this one knows it, or an
    /// order has started it, or may have. The latest primary is believed, also after it has been
    /// replaced: it shows a promotion that no record tells of.
    pub(super) fn is_explained(&self, now: Time, instance: InstanceKey, term: Term) -> bool {
        term <= self.term
            || self.knows_no_term()
            || self.last_primary == Some(instance)
            || (term.0 <= self.term.0.saturating_add(MAX_UNSEEN_TERMS) && self.may_be_ordered(now))
    }

    /// Returns `true` if an instance may lead this term: it may be in it, and if that is a later one, an
    /// order for this instance may have started it.
    pub(super) fn may_lead(&self, now: Time, instance: InstanceKey, term: Term) -> bool {
        let is_known = term <= self.term || self.knows_no_term();
        self.is_explained(now, instance, term)
            && (is_known
                || self.last_primary == Some(instance)
                || self.may_be_ordered_to_lead(now, instance))
    }

    /// Returns `true` if the record does not tell the latest term: there was none, or the store was
    /// restored from a copy.
    fn knows_no_term(&self) -> bool {
        self.term == Term(0) || self.restored
    }

    /// Logs an answer as primary that is not believed, once for each claim.
    pub(super) fn log_unexplained(
        &mut self,
        instance: InstanceKey,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        if self.unexplained.replace((instance, term)) != Some((instance, term)) {
            let reason = "no order has started this term";
            out.push(log_event(Event::LeaderUnexplained, Some(instance), term, reason));
        }
    }

    /// Returns `true` if an order for the instance may have taken effect that has not been seen to.
    fn may_be_ordered_to_lead(&self, now: Time, instance: InstanceKey) -> bool {
        let is_ordering = match self.phase {
            Phase::RecordingChoice { instance: ordered, .. }
            | Phase::OrderingPromotion { instance: ordered, .. } => ordered == instance,
            Phase::Takeover(takeover) => takeover.instance == instance,
            _ => false,
        };
        let is_unresolved = |order: UnresolvedOrder| order.has_others || order.instance == instance;
        let is_unanswered = |order: UnansweredOrder| {
            now < order.until && order.instance.is_none_or(|ordered| ordered == instance)
        };
        is_ordering
            || self.unresolved.is_some_and(is_unresolved)
            || self.unanswered.is_some_and(is_unanswered)
    }

    /// Returns `true` if any order may have taken effect that has not been seen to.
    fn may_be_ordered(&self, now: Time) -> bool {
        let is_ordering = matches!(
            self.phase,
            Phase::RecordingChoice { .. } | Phase::OrderingPromotion { .. } | Phase::Takeover(_)
        );
        is_ordering
            || self.unresolved.is_some()
            || self.unanswered.is_some_and(|order| now < order.until)
    }
}
