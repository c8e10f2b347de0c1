//! Detection of instances that fail or are slow, on simulated homes and entry VMs.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use oleander_core::ids::InstanceKey;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::meter::Meter;
use oleander_routing::meter::Outcome;
use oleander_routing::meter::Running;
use oleander_routing::meter::StatementClass;
use oleander_routing::outliers::Change;
use oleander_routing::outliers::Outliers;
use oleander_session::report::InstanceReport;
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time(600_000_000);
/// The usual service time of a read.
const SERVICE: Span = Span::from_millis(30);
/// The time after which a read is given up, and after which a probe is.
const LIMIT: Span = Span::from_millis(1_500);
const PROBE_LIMIT: Span = Span::from_millis(250);
/// The entry VMs and the interval between the reads of each.
const ENTRIES: usize = 20;
const READ_INTERVAL: Span = Span::from_millis(400);
const GROUP: [InstanceKey; 3] = [InstanceKey(1), InstanceKey(2), InstanceKey(3)];

/// All entry VMs are in the zone of the first instance.
const ONE_ZONE: &[usize] = &[0];

/// `Behaviour` returns the time that an instance takes for its read of a number, at a time since the
/// start, and the outcome.
type Behaviour = fn(Span, u64) -> (Span, Outcome);

fn healthy(_: Span, read: u64) -> (Span, Outcome) {
    (Span(SERVICE.0 + read % 7 * 1_000), Outcome::Answered)
}

/// Serves a mix of short and long statements, which takes six times as long after 5 s.
fn mixed(at: Span, read: u64) -> (Span, Outcome) {
    let draw = read.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 60;
    let millis = [6, 18, 18, 18, 18, 30, 30, 100][draw as usize % 8];
    let factor = if at < Span::from_secs(5) { 1 } else { 6 };
    (Span::from_millis(millis * factor), Outcome::Answered)
}

fn failing(_: Span, read: u64) -> (Span, Outcome) {
    (SERVICE, if read * 7 % 10 < 4 { Outcome::Failed } else { Outcome::Answered })
}

fn slow(_: Span, read: u64) -> (Span, Outcome) {
    (SERVICE.times(5 + read % 4), Outcome::Answered)
}

fn silent(_: Span, _: u64) -> (Span, Outcome) {
    (Span::MAX, Outcome::Unanswered)
}

fn flapping(at: Span, _: u64) -> (Span, Outcome) {
    let is_up = (at.as_millis() / 1_000).is_multiple_of(2);
    if is_up { (SERVICE, Outcome::Answered) } else { (Span(300), Outcome::Unanswered) }
}

fn slow_at_first(at: Span, read: u64) -> (Span, Outcome) {
    if at < Span::from_secs(5) { slow(at, read) } else { healthy(at, read) }
}

fn slow_later(at: Span, read: u64) -> (Span, Outcome) {
    if at < Span::from_secs(5) { healthy(at, read) } else { slow(at, read) }
}

/// `Read` is a read on its way: its entry VM, the instances left to try, whether it is a probe, and
/// its attempt that runs with the instance and the outcome.
struct Read {
    entry: usize,
    order: Vec<InstanceKey>,
    probe: bool,
    attempt: Option<(Running, InstanceKey, Outcome)>,
}

/// `Simulation` is a database of three instances whose homes are on one VM, and its entry VMs.
struct Simulation {
    behaviours: [Behaviour; 3],
    /// The zones of the entry VMs, in turn; each zone has an instance, the nearest one there.
    zones: &'static [usize],
    entries: [Outliers; ENTRIES],
    meter: Meter,
    reads: Vec<Read>,
    /// The ends of attempts: the time and the index of the read.
    ends: BinaryHeap<Reverse<(Time, usize)>>,
    counts: [u64; 3],
    lost: u64,
    changes: Vec<(Time, Change)>,
}

impl Simulation {
    /// Runs the entry VMs for `span`. In a single zone all of them prefer the first instance, so that
    /// it is compared with instances that are rarely used.
    fn run(behaviours: [Behaviour; 3], zones: &'static [usize], span: Span) -> Self {
        let mut simulation = Self {
            behaviours,
            zones,
            entries: Default::default(),
            meter: Meter::default(),
            reads: Vec::new(),
            ends: BinaryHeap::new(),
            counts: [0; 3],
            lost: 0,
            changes: Vec::new(),
        };
        let pause = READ_INTERVAL.0 / ENTRIES as u64;
        for turn in 0..span.0 / pause {
            let now = START + Span(turn * pause);
            simulation.advance(now);
            simulation.begin(now, turn as usize % ENTRIES);
        }
        simulation.advance(START + span + LIMIT.times(3));
        simulation
    }

    fn begin(&mut self, now: Time, entry: usize) {
        let mut candidates = GROUP;
        candidates.rotate_left(self.zones[entry % self.zones.len()]);
        let plan = self.entries[entry].plan(now, &GROUP, &candidates);
        self.changes.extend(plan.changes.iter().map(|change| (now, *change)));
        let order = plan.order.iter().rev().copied().collect();
        self.reads.push(Read { entry, order, probe: plan.probe.is_some(), attempt: None });
        self.attempt(now, self.reads.len() - 1);
    }

    /// Sends a read to the next instance in its order.
    fn attempt(&mut self, now: Time, index: usize) {
        let read = &mut self.reads[index];
        let Some(key) = read.order.pop() else {
            self.lost += 1;
            return;
        };
        let place = GROUP.iter().position(|other| *other == key).unwrap();
        self.counts[place] += 1;
        self.entries[read.entry].record_sent(now, key);
        let running = self.meter.start(now, key, StatementClass::Read);
        let limit = if read.probe { PROBE_LIMIT } else { LIMIT };
        let (span, outcome) = (self.behaviours[place])(now.since(START), self.counts[place]);
        let outcome = if span < limit { outcome } else { Outcome::Unanswered };
        read.attempt = Some((running, key, outcome));
        self.ends.push(Reverse((now + span.min(limit), index)));
    }

    fn advance(&mut self, until: Time) {
        while let Some(Reverse((now, index))) = self.ends.peek().copied()
            && now <= until
        {
            self.ends.pop();
            let read = &mut self.reads[index];
            let (running, key, outcome) = read.attempt.take().unwrap();
            self.meter.end(now, running, outcome, Span::ZERO);
            let outliers = &mut self.entries[read.entry];
            outliers.record_ended(key);
            outliers.record_reply(now, key, self.meter.report(now, key));
            let is_probe = std::mem::take(&mut read.probe);
            match outcome {
                Outcome::Answered if is_probe => {
                    let change = outliers.record_probe_answered(now, key, &GROUP);
                    self.changes.extend(change.map(|change| (now, change)));
                }
                Outcome::Answered => {}
                _ => {
                    if is_probe {
                        outliers.record_probe_failed(now, key);
                    }
                    self.attempt(now, index);
                }
            }
        }
    }

    fn ejections(&self) -> usize {
        self.changes.iter().filter(|(_, change)| matches!(change, Change::Ejected { .. })).count()
    }
}

/// `Faulty` is the behaviour of the nearest instance, and the number of times that each entry VM may
/// eject it: once unless it answers some probes well.
struct Faulty {
    behaviour: Behaviour,
    ejections: usize,
}

/// Guards against reads that keep going to an instance that the directory calls healthy and that
/// fails, is slow, never answers or flaps, and against its return while it is still faulty.
#[rstest]
#[case::failing(Faulty { behaviour: failing, ejections: 2 })]
#[case::slow(Faulty { behaviour: slow, ejections: 1 })]
#[case::silent(Faulty { behaviour: silent, ejections: 1 })]
#[case::flapping(Faulty { behaviour: flapping, ejections: 5 })]
fn reads_move_off_a_faulty_instance(#[case] faulty: Faulty) {
    let ran = Simulation::run([faulty.behaviour, healthy, healthy], ONE_ZONE, Span::from_secs(30));
    let percent = ran.counts[0] * 100 / ran.counts.iter().sum::<u64>();
    assert!(percent <= 20, "{percent}% of {:?}", ran.counts);
    let ejections = ran.ejections();
    assert!(ENTRIES <= ejections && ejections <= faulty.ejections * ENTRIES, "{ejections}");
    assert_eq!(ran.lost, 0, "each read finds an instance that serves it");
}

/// Guards against ejections from a group that is slow or fails as a whole, where moving reads helps
/// nobody, and from a healthy one.
#[rstest]
#[case::healthy(healthy)]
#[case::slow(slow)]
#[case::failing(failing)]
#[case::silent(silent)]
#[case::slow_after_a_time(slow_later)]
#[case::mixed(mixed)]
fn no_instance_of_an_even_group_is_ejected(
    #[case] behaviour: Behaviour,
    #[values(ONE_ZONE, &[0, 1, 2], &[0, 0, 0, 0, 1, 2])] zones: &'static [usize],
) {
    let ran = Simulation::run([behaviour; 3], zones, Span::from_secs(20));
    assert_eq!(ran.ejections(), 0, "{:?}", ran.changes.first());
}

/// Guards against an instance that stays ejected although it answers as well as the others, and
/// against a database that loses its nearest instance for good by a false detection.
#[rstest]
#[case::answers_well_again([slow_at_first, healthy, healthy])]
#[case::others_become_slow([slow, slow_later, slow_later])]
fn an_instance_that_answers_as_the_others_is_reinstated(#[case] behaviours: [Behaviour; 3]) {
    let ran = Simulation::run(behaviours, ONE_ZONE, Span::from_secs(30));
    let reinstated =
        ran.changes.iter().rev().find(|(_, change)| matches!(change, Change::Reinstated { .. }));
    let (at, _) = reinstated.expect("it is reinstated");
    assert!(at.since(START) < Span::from_secs(20), "{}", at.since(START));
    assert!(ran.entries.iter().all(|outliers| outliers.ejected().is_empty()));
    let rest = Simulation::run([healthy; 3], ONE_ZONE, Span::from_secs(10));
    let all: u64 = rest.counts.iter().sum();
    assert!(all * 9 <= rest.counts[0] * 10, "healthy reads stay near: {:?}", rest.counts);
}

/// Guards against an instance that fails 40% of its reads and returns after a probe that it passes by
/// chance, where too few VMs probe it for the home's report to tell.
#[test]
fn a_failing_instance_must_pass_several_probes() {
    let mut outliers = Outliers::default();
    let report = |ended, failed| InstanceReport { ended, failed, ..InstanceReport::default() };
    outliers.record_reply(START, GROUP[0], report(20, 8));
    outliers.record_reply(START, GROUP[1], report(20, 0));
    outliers.plan(START, &GROUP, &GROUP);
    assert!(outliers.is_ejected(GROUP[0]));
    outliers.record_reply(START, GROUP[0], report(2, 0));
    for passed in [true, true, false, true, true, true, true] {
        if passed {
            assert_eq!(outliers.record_probe_answered(START, GROUP[0], &GROUP), None);
        } else {
            outliers.record_probe_failed(START, GROUP[0]);
        }
    }
    assert!(outliers.record_probe_answered(START, GROUP[0], &GROUP).is_some());
}

/// Guards against a home's refusal for lack of room that is answered by trying every instance: one
/// that had no room a moment ago is not tried.
#[test]
fn an_instance_without_room_is_tried_again_after_a_time() {
    let mut outliers = Outliers::default();
    assert!(outliers.has_room(START, GROUP[0]), "an instance that was not tried may have room");
    outliers.record_full(START, GROUP[0]);
    assert!(!outliers.has_room(START + Span::from_millis(900), GROUP[0]));
    assert!(outliers.has_room(START + Span::from_secs(1), GROUP[0]));
    outliers.record_full(START + Span::from_secs(2), GROUP[0]);
    outliers.record_answered(GROUP[0]);
    assert!(outliers.has_room(START + Span::from_secs(2), GROUP[0]));
}

/// Guards against a distant home that makes its instance look slow, and against a statement without
/// an answer that is not counted until its time limit.
#[test]
fn a_report_leaves_out_the_way_and_shows_silence() {
    let mut meter = Meter::default();
    for read in 0..10 {
        let now = START + Span::from_millis(read * 100);
        let running = meter.start(now, GROUP[0], StatementClass::Read);
        let elapsed = Span::from_millis(if read == 0 { 41 } else { 70 });
        meter.end(now + elapsed, running, Outcome::Answered, Span::from_millis(50));
    }
    meter.start(START + Span::from_secs(1), GROUP[0], StatementClass::Read);
    let report = meter.report(START + Span::from_millis(1_600), GROUP[0]);
    let expected = InstanceReport {
        ended: 10,
        failed: 0,
        service: Span::from_millis(29),
        silent: Span::from_millis(600),
    };
    assert_eq!(report, expected);
    let later = meter.report(START + Span::from_secs(4), GROUP[0]);
    assert_eq!((later.ended, later.silent), (0, Span::from_secs(3)));
}

fn any_report() -> impl Strategy<Value = InstanceReport> {
    (0..40_u32, 0..100_u32, 0..400_u64, 0..2_000_u64).prop_map(
        |(ended, percent, service, silent)| InstanceReport {
            ended,
            failed: ended * percent / 100,
            service: Span::from_millis(service),
            silent: Span::from_millis(silent),
        },
    )
}

proptest! {
    /// Guards against a read that an instance could run and that is refused: whatever the reports,
    /// each candidate is tried once, and at most a third of the group is ejected, so that none of one
    /// or two is.
    #[test]
    fn a_plan_leaves_no_candidate_out(
        size in 1..8_usize,
        steps in prop::collection::vec((0..8_usize, any_report(), 1..900_u64, 0..4_u8), 1..200),
    ) {
        let group: Vec<InstanceKey> = (0..size as u64).map(InstanceKey).collect();
        let mut outliers = Outliers::default();
        let mut now = START;
        for (index, report, pause, action) in steps {
            now = now + Span::from_millis(pause);
            let key = group[index % size];
            match action {
                0 => outliers.record_sent(now, key),
                1 => outliers.record_probe_failed(now, key),
                2 => drop(outliers.record_probe_answered(now, key, &group)),
                _ => outliers.record_reply(now, key, report),
            }
            let candidates = &group[index % size..];
            let plan = outliers.plan(now, &group, candidates);
            let planned: BTreeSet<InstanceKey> = plan.order.iter().copied().collect();
            prop_assert_eq!(planned, candidates.iter().copied().collect::<BTreeSet<_>>());
            prop_assert_eq!(plan.order.len(), candidates.len());
            prop_assert!(outliers.ejected().len() <= size / 3);
        }
    }
}
