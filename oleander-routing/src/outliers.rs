//! Detects instances that fail or are slow compared with the others of their database, and orders
//! the candidates of reads accordingly.
//!
//! The entry VM decides, by the reports that homes send with their replies. An instance that it
//! ejects comes last among the candidates; none is left out, so that a false detection refuses
//! nothing.

use std::collections::HashMap;

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_session::report::InstanceReport;
use smallvec::SmallVec;
use strum::Display;

/// The time for which a report serves to detect an outlier or to compare others with. It is the
/// time that the report itself covers.
const REPORT_TTL: Span = Span::from_millis(2_000);

/// The time for which a report still shows how fast an instance usually is.
const BASELINE_TTL: Span = Span::from_secs(60);

/// The number of reads in a report from which an instance can be found to be an outlier.
const MIN_READS: u32 = 8;

/// The number of reads in a report from which others are compared with the instance.
const MIN_COMPARED: u32 = 4;

/// The share of failed reads above which an instance can be an outlier, in percent.
const MAX_FAILED_PERCENT: u64 = 30;

/// The factor by which an outlier's share of failures exceeds the group's median.
const FAILED_FACTOR: u64 = 2;

/// The factor by which an outlier's service time exceeds the group's median.
const SLOW_FACTOR: u64 = 3;

/// The smallest median service time of an outlier. Shorter ones differ by the jitter of a VM with a
/// part of a core.
const MIN_SLOW: Span = Span::from_millis(10);

/// The time without an answer after which an instance that runs reads counts as silent.
const MIN_SILENCE: Span = Span::from_millis(500);

/// The time for which an entry VM waits for replies of an instance's homes before it takes the
/// instance for silent without a report. It exceeds `MIN_SILENCE`, as it includes the home's queue.
const MAX_REPLY_GAP: Span = Span::from_millis(1_000);

/// The duration of the first ejection.
const MIN_EJECTION: Span = Span::from_millis(500);

/// The maximum duration of an ejection.
const MAX_EJECTION: Span = Span::from_millis(5_000);

/// The time after an ejection in which the next one lasts twice as long.
const EJECTION_MEMORY: Span = Span::from_secs(30);

/// The number of probes in a row that must succeed before an instance that fails some of its reads
/// is reinstated. One that fails 40% passes a single probe more often than not, and five with a
/// probability of 8%; where few VMs probe it, the reports hold too few reads to tell.
const FAILING_PROBES: u32 = 5;

/// The minimum time between two reads of a database that are sent elsewhere to compare a suspicious
/// instance.
const COMPARE_INTERVAL: Span = Span::from_millis(100);

/// One in this many reads goes to the instance whose report is oldest, so that instances that are
/// rarely used can be compared too.
const COMPARE_ONE_IN: u32 = 32;

/// The time for which an instance that had no room for a read is not tried after another that has
/// none either.
const FULL_TTL: Span = Span::from_millis(1_000);

/// The reciprocal of the part of a database's instances that may be ejected at once.
const EJECTED_PART: usize = 3;

/// `Cause` is the reason for which an instance is ejected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// It fails more of its reads than the others.
    Failing,
    /// Its service times are longer than those of the others.
    Slow,
    /// It runs reads and answers none.
    Silent,
}

/// `Finding` is what distinguishes an outlier from its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The reason.
    pub cause: Cause,
    /// The figure of the instance: its failures in percent, or its service time or silence in
    /// microseconds.
    pub own: u64,
    /// The median of the group in the same unit.
    pub median: u64,
    /// The number of reads in the report.
    pub reads: u32,
}

/// `Change` is an ejection or a reinstatement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// An instance was ejected.
    Ejected {
        /// The instance.
        key: InstanceKey,
        /// The figures that decided it.
        finding: Finding,
        /// The time until it is probed.
        span: Span,
    },
    /// An instance was reinstated.
    Reinstated {
        /// The instance.
        key: InstanceKey,
        /// The reason for which it was ejected.
        cause: Cause,
        /// The time for which it was ejected.
        span: Span,
    },
}

/// `Plan` is the order in which a read tries its candidates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// The instances to try, in order.
    pub order: SmallVec<[InstanceKey; 4]>,
    /// The ejected instance that this read probes; it is the first of `order`.
    pub probe: Option<InstanceKey>,
    /// The instances that were ejected or reinstated.
    pub changes: SmallVec<[Change; 1]>,
}

/// `Outliers` is what an entry VM knows of the instances that it sends reads to.
#[derive(Debug, Default)]
pub struct Outliers {
    instances: HashMap<InstanceKey, Known>,
}

#[derive(Clone, Debug, Default)]
struct Known {
    report: InstanceReport,
    /// When the report arrived; 0 if there is none.
    reported_at: Time,
    /// The number of reads sent that have not ended.
    waiting: u32,
    /// The time of the last reply, or of the first read that waits.
    replied_at: Time,
    ejection: Option<Ejection>,
    /// The duration of the last ejection, and when it ended.
    former: Option<(Span, Time)>,
    /// The number of reads for which the instance was the nearest candidate.
    planned: u32,
    /// When a read was last sent elsewhere to compare this instance.
    compared_at: Time,
    /// When the instance last had no room for a read; 0 if it had room for the last one.
    full_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    finding: Finding,
    since: Time,
    /// When the next probe is due.
    until: Time,
    span: Span,
    /// The number of probes in a row that succeeded.
    passed: u32,
}

impl Outliers {
    /// Returns the order in which a read tries its candidates, given in order of preference, and
    /// updates the ejections. `group` are all instances of the database.
    pub fn plan(&mut self, now: Time, group: &[InstanceKey], candidates: &[InstanceKey]) -> Plan {
        let mut plan = Plan { order: candidates.into(), ..Plan::default() };
        if candidates.len() < 2 {
            return plan;
        }
        self.reinstate_surplus(now, group, &mut plan.changes);
        self.eject(now, group, &mut plan.changes);
        plan.order.sort_by_key(|key| self.is_ejected(*key));
        if let Some(first) = self.due_probe(now, &plan.order) {
            plan.probe = Some(first);
            move_to_front(&mut plan.order, first);
        } else if let Some(first) = self.due_comparison(now, candidates) {
            move_to_front(&mut plan.order, first);
        }
        plan
    }

    /// Records that a read is being sent to the home of an instance.
    pub fn record_sent(&mut self, now: Time, key: InstanceKey) {
        let known = self.instances.entry(key).or_default();
        if known.waiting == 0 {
            known.replied_at = now;
        }
        known.waiting += 1;
    }

    /// Records that a read has ended or was given up.
    pub fn record_ended(&mut self, key: InstanceKey) {
        let Some(known) = self.instances.get_mut(&key) else { return };
        known.waiting = known.waiting.saturating_sub(1);
    }

    /// Records that the instance answered a read.
    pub fn record_answered(&mut self, key: InstanceKey) {
        self.instances.entry(key).or_default().full_at = Time(0);
    }

    /// Records a reply from the home of an instance.
    pub fn record_reply(&mut self, now: Time, key: InstanceKey, report: InstanceReport) {
        // A removed instance gets no more replies, so nothing else would drop its entry.
        self.instances
            .retain(|_, known| known.waiting != 0 || now.since(known.last_use()) < BASELINE_TTL);
        let known = self.instances.entry(key).or_default();
        known.report = report;
        known.reported_at = now;
        known.replied_at = now;
    }

    /// Records that the home refused a read because the instance has no room for it.
    pub fn record_full(&mut self, now: Time, key: InstanceKey) {
        self.instances.entry(key).or_default().full_at = now;
    }

    /// Returns `false` if the instance had no room for the last read that this VM sent to it.
    pub fn has_room(&self, now: Time, key: InstanceKey) -> bool {
        let Some(known) = self.instances.get(&key) else { return true };
        known.full_at == Time(0) || FULL_TTL <= now.since(known.full_at)
    }

    /// Records that the instance answered a probe. It is reinstated after enough of them, unless
    /// the reports still show what it was ejected for.
    pub fn record_probe_answered(
        &mut self,
        now: Time,
        key: InstanceKey,
        group: &[InstanceKey],
    ) -> Option<Change> {
        if self.is_still_outlier(now, key, group) {
            self.record_probe_failed(now, key);
            return None;
        }
        let known = self.instances.get_mut(&key)?;
        let ejection = known.ejection.as_mut()?;
        ejection.passed += 1;
        ejection.until = now + MIN_EJECTION;
        let needed = match ejection.finding.cause {
            Cause::Failing => FAILING_PROBES,
            Cause::Slow | Cause::Silent => 1,
        };
        if ejection.passed < needed {
            return None;
        }
        known.reinstate(now, key)
    }

    /// Records that a probe failed, after which the ejection lasts twice as long.
    pub fn record_probe_failed(&mut self, now: Time, key: InstanceKey) {
        let known = self.instances.get_mut(&key);
        let Some(ejection) = known.and_then(|known| known.ejection.as_mut()) else { return };
        ejection.passed = 0;
        ejection.span = ejection.span.times(2).min(MAX_EJECTION);
        ejection.until = now + ejection.span;
    }

    /// Returns `true` while the instance is ejected.
    pub fn is_ejected(&self, key: InstanceKey) -> bool {
        self.instances.get(&key).is_some_and(|known| known.ejection.is_some())
    }

    /// Returns the ejected instances with the reasons.
    pub fn ejected(&self) -> Vec<(InstanceKey, Cause)> {
        let ejected = self.instances.iter().filter_map(|(key, known)| {
            known.ejection.map(|ejection| (*key, ejection.finding.cause))
        });
        ejected.collect()
    }

    /// Reinstates the instances beyond the number that may be ejected, after others were removed.
    fn reinstate_surplus(
        &mut self,
        now: Time,
        group: &[InstanceKey],
        changes: &mut SmallVec<[Change; 1]>,
    ) {
        let ejected = group.iter().filter(|key| self.is_ejected(**key));
        let surplus: SmallVec<[InstanceKey; 4]> =
            ejected.skip(group.len() / EJECTED_PART).copied().collect();
        for key in surplus {
            let known = self.instances.get_mut(&key);
            changes.extend(known.and_then(|known| known.reinstate(now, key)));
        }
    }

    /// Ejects the worst outlier of the group if another instance may be ejected.
    fn eject(&mut self, now: Time, group: &[InstanceKey], changes: &mut SmallVec<[Change; 1]>) {
        let mut worst: Option<(InstanceKey, Finding)> = None;
        for key in group {
            if self.is_ejected(*key) {
                continue;
            }
            let Some(finding) = self.find(now, *key, group) else { continue };
            if worst.is_none_or(|(_, other)| other.excess() < finding.excess()) {
                worst = Some((*key, finding));
            }
        }
        let ejected = group.iter().filter(|key| self.is_ejected(**key)).count();
        if ejected < group.len() / EJECTED_PART
            && let Some((key, finding)) = worst
            && let Some(known) = self.instances.get_mut(&key)
        {
            let span = known.next_span(now);
            let ejection = Ejection { finding, since: now, until: now + span, span, passed: 0 };
            known.ejection = Some(ejection);
            changes.push(Change::Ejected { key, finding, span });
        }
    }

    /// Returns what makes an instance an outlier of its group; `None` if it is none or if too
    /// little is known of the others.
    fn find(&self, now: Time, key: InstanceKey, group: &[InstanceKey]) -> Option<Finding> {
        self.find_silent(now, key, group)
            .or_else(|| self.find_failing(now, key, group))
            .or_else(|| self.find_slow(now, key, group))
    }

    fn find_silent(&self, now: Time, key: InstanceKey, group: &[InstanceKey]) -> Option<Finding> {
        let known = self.instances.get(&key)?;
        let silence = known.silence(now)?;
        let others = || group.iter().filter(|other| **other != key);
        // If no other instance answers either, the fault is not one of this instance.
        let is_answering = |other: &InstanceKey| {
            self.instances.get(other).is_some_and(|other| {
                let answered = other.report.failed < other.report.ended;
                other.fresh_report(now).is_some() && answered && other.silence(now).is_none()
            })
        };
        if !others().any(is_answering) {
            return None;
        }
        let median = median(others().filter_map(|key| self.service(now, *key))).unwrap_or(0);
        let reads = known.report.ended;
        let finding = Finding { cause: Cause::Silent, own: silence.0, median, reads };
        (median * SLOW_FACTOR < silence.0).then_some(finding)
    }

    fn find_failing(&self, now: Time, key: InstanceKey, group: &[InstanceKey]) -> Option<Finding> {
        let report = self.instances.get(&key)?.fresh_report(now)?;
        let own = self.failed_percent(now, key).filter(|_| MIN_READS <= report.ended)?;
        let median = self.group_median(group, |key| self.failed_percent(now, key))?;
        let is_outlier = MAX_FAILED_PERCENT < own && median * FAILED_FACTOR < own;
        let finding = Finding { cause: Cause::Failing, own, median, reads: report.ended };
        is_outlier.then_some(finding)
    }

    fn find_slow(&self, now: Time, key: InstanceKey, group: &[InstanceKey]) -> Option<Finding> {
        let report = self.instances.get(&key)?.fresh_report(now)?;
        let answered = report.ended - report.failed;
        let own = self.service(now, key).filter(|_| MIN_READS <= answered)?;
        let median = self.group_median(group, |key| self.service(now, key))?;
        let is_outlier = MIN_SLOW.0 <= own && median * SLOW_FACTOR < own;
        let finding = Finding { cause: Cause::Slow, own, median, reads: answered };
        is_outlier.then_some(finding)
    }

    /// Returns `true` if the reports, which may hold few reads since the ejection, still show what
    /// an instance was ejected for.
    fn is_still_outlier(&self, now: Time, key: InstanceKey, group: &[InstanceKey]) -> bool {
        let Some(known) = self.instances.get(&key) else { return false };
        let others = group.iter().filter(|other| **other != key);
        match known.ejection.map(|ejection| ejection.finding.cause) {
            Some(Cause::Slow) => {
                let median = median(others.filter_map(|key| self.service(now, *key)));
                let own = known.report.service.0;
                median.is_some_and(|median| MIN_SLOW.0 <= own && median * SLOW_FACTOR < own)
            }
            Some(Cause::Failing) => self.find_failing(now, key, group).is_some(),
            Some(Cause::Silent) | None => false,
        }
    }

    /// Returns the share of failed reads in percent; `None` if it is not known well enough for a
    /// comparison.
    fn failed_percent(&self, now: Time, key: InstanceKey) -> Option<u64> {
        let report = self.instances.get(&key)?.fresh_report(now)?;
        let share = || u64::from(report.failed) * 100 / u64::from(report.ended);
        (MIN_COMPARED <= report.ended).then(share)
    }

    /// Returns the service time in microseconds; `None` if it is not known well enough for a
    /// comparison.
    fn service(&self, now: Time, key: InstanceKey) -> Option<u64> {
        let report = self.instances.get(&key)?.fresh_report(now)?;
        (MIN_COMPARED <= report.ended - report.failed).then_some(report.service.0)
    }

    /// Returns the median of a figure over the group; `None` unless it is known of two instances.
    fn group_median(
        &self,
        group: &[InstanceKey],
        figure: impl Fn(InstanceKey) -> Option<u64>,
    ) -> Option<u64> {
        let figures: SmallVec<[u64; 4]> = group.iter().filter_map(|key| figure(*key)).collect();
        if figures.len() < 2 { None } else { median(figures) }
    }

    /// Returns an ejected candidate whose probe is due. The next one is due after the same time
    /// again, even if the probe is lost.
    fn due_probe(&mut self, now: Time, candidates: &[InstanceKey]) -> Option<InstanceKey> {
        candidates.iter().copied().find(|key| {
            let known = self.instances.get_mut(key);
            let Some(ejection) = known.and_then(|known| known.ejection.as_mut()) else {
                return false;
            };
            let is_due = ejection.until <= now;
            if is_due {
                ejection.until = now + ejection.span;
            }
            is_due
        })
    }

    /// Returns the candidate to which a read goes so that the nearest one can be compared with it.
    fn due_comparison(&mut self, now: Time, candidates: &[InstanceKey]) -> Option<InstanceKey> {
        let (first, others) = candidates.split_first()?;
        let is_suspicious = self.is_suspicious(now, *first, others);
        let known = self.instances.get_mut(first)?;
        known.planned = known.planned.wrapping_add(1);
        let is_routine = known.planned.is_multiple_of(COMPARE_ONE_IN);
        let is_urgent = is_suspicious && COMPARE_INTERVAL <= now.since(known.compared_at);
        if !is_routine && !is_urgent {
            return None;
        }
        let reported_at =
            |key: &InstanceKey| self.instances.get(key).map_or(Time(0), |known| known.reported_at);
        let needs_report =
            |key: &&InstanceKey| is_routine || self.failed_percent(now, **key).is_none();
        let usable = others.iter().filter(|key| !self.is_ejected(**key));
        let chosen = *usable.filter(needs_report).min_by_key(|key| reported_at(key))?;
        self.instances.get_mut(first)?.compared_at = now;
        Some(chosen)
    }

    /// Returns `true` if an instance may be an outlier, as far as what is known of the others tells,
    /// however old it is.
    fn is_suspicious(&self, now: Time, key: InstanceKey, others: &[InstanceKey]) -> bool {
        let Some(known) = self.instances.get(&key) else { return false };
        if known.silence(now).is_some() {
            return true;
        }
        let Some(report) = known.fresh_report(now) else { return false };
        let share = self.failed_percent(now, key).filter(|_| MIN_READS <= report.ended);
        if share.is_some_and(|share| MAX_FAILED_PERCENT < share) {
            return true;
        }
        let usual = |key: &InstanceKey| {
            let known = self.instances.get(key)?;
            let is_known = known.report.failed < known.report.ended
                && now.since(known.reported_at) < BASELINE_TTL;
            is_known.then_some(known.report.service.0)
        };
        let fastest = others.iter().filter_map(usual).min().unwrap_or(0);
        MIN_READS <= report.ended - report.failed
            && MIN_SLOW <= report.service
            && fastest * SLOW_FACTOR < report.service.0
    }
}

impl Known {
    /// Returns the last time at which something was recorded.
    fn last_use(&self) -> Time {
        let ejected_at = self.ejection.map_or(Time(0), |ejection| ejection.until);
        self.reported_at.max(self.replied_at).max(ejected_at)
    }

    fn fresh_report(&self, now: Time) -> Option<InstanceReport> {
        let is_fresh = self.reported_at != Time(0) && now.since(self.reported_at) < REPORT_TTL;
        is_fresh.then_some(self.report)
    }

    /// Returns the time for which the instance has not answered; `None` if that is not remarkable.
    fn silence(&self, now: Time) -> Option<Span> {
        let reported = self.fresh_report(now).map(|report| report.silent);
        let reported = reported.filter(|silent| MIN_SILENCE <= *silent);
        let gap = now.since(self.replied_at);
        reported.or((self.waiting != 0 && MAX_REPLY_GAP <= gap).then_some(gap))
    }

    /// Returns the duration of the next ejection.
    fn next_span(&self, now: Time) -> Span {
        match self.former {
            Some((span, ended)) if now.since(ended) < EJECTION_MEMORY => {
                span.times(2).min(MAX_EJECTION)
            }
            _ => MIN_EJECTION,
        }
    }

    fn reinstate(&mut self, now: Time, key: InstanceKey) -> Option<Change> {
        let Ejection { finding, since, span, .. } = self.ejection.take()?;
        self.former = Some((span, now));
        // The report is from the time of the ejection, at least in part.
        self.reported_at = Time(0);
        Some(Change::Reinstated { key, cause: finding.cause, span: now.since(since) })
    }
}

impl Finding {
    /// Returns the order of findings, the worst last.
    fn excess(&self) -> (bool, bool, u64) {
        let ratio = self.own.saturating_mul(1_000) / self.median.max(1);
        (self.cause == Cause::Silent, self.cause == Cause::Failing, ratio)
    }
}

/// Returns the lower median.
fn median(figures: impl IntoIterator<Item = u64>) -> Option<u64> {
    let mut figures: SmallVec<[u64; 4]> = figures.into_iter().collect();
    figures.sort_unstable();
    figures.get(figures.len().saturating_sub(1) / 2).copied()
}

fn move_to_front(order: &mut [InstanceKey], key: InstanceKey) {
    if let Some(index) = order.iter().position(|other| *other == key) {
        order[..=index].rotate_right(1);
    }
}
