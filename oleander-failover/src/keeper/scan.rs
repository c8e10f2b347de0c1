//! Finds the primary when the record may be outdated: all instances are asked, and the one that
//! leads the latest term is it.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::time::Time;

use super::Keeper;
use super::Silence;
use super::log_event;
use super::messages::Action;
use super::messages::ProbeResult;
use super::phase::Phase;
use super::phase::UnresolvedOrder;

impl Keeper {
    /// Records the answer of an instance while all of them are asked.
    pub(super) fn handle_scan(&mut self, now: Time, instance: InstanceKey, result: ProbeResult) {
        let Phase::Scanning(scan) = &mut self.phase else { return };
        if now < scan.since {
            return;
        }
        let term = match result {
            ProbeResult::Primary(point) => Some(point.term),
            ProbeResult::Replica => None,
            ProbeResult::Inconclusive | ProbeResult::NoAnswer | ProbeResult::NotRunning => return,
        };
        scan.answers.retain(|(answered, _)| *answered != instance);
        scan.answers.push((instance, term));
    }

    /// Ends the scan once every listed instance has answered. One that does not answer is waited
    /// for until the directory drops it, as it may lead the latest term. If a replaced primary may
    /// go on as one, members that are not listed are waited for as well.
    pub(super) fn finish_scan(&mut self, now: Time, out: &mut Vec<Action>) {
        let Phase::Scanning(scan) = &self.phase else { return };
        let has_answered = |key| scan.answers.iter().any(|(answered, _)| *answered == key);
        let may_lead_unlisted = self.options.order_expiry.is_some();
        if self.instances.is_empty()
            || !self.instances.iter().all(|known| has_answered(known.key))
            || (may_lead_unlisted && !self.members.running().all(has_answered))
        {
            return;
        }
        let leading = scan.answers.iter().filter_map(|(key, term)| Some(((*term)?, *key))).max();
        self.phase = Phase::Watching;
        self.unanswered = None;
        match leading {
            Some((term, primary)) => {
                self.term = self.term.max(term);
                self.primary = Some(primary);
                self.last_primary = self.primary;
                self.restored = false;
                if self.options.order_expiry.is_none() {
                    // A lost order is ended by a later one for the present primary.
                    self.unresolved = Some(UnresolvedOrder::from_record(primary));
                }
                out.push(log_event(
                    Event::PrimarySeen,
                    Some(primary),
                    term,
                    "leads the latest term",
                ));
                self.note_former_primaries(now, None, primary);
            }
            None => {
                let misses = self.options.misses;
                self.silence = Some(Silence { since: now, misses, not_running: 0 });
            }
        }
    }
}
