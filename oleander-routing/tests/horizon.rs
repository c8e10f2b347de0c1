//! Properties of the admission horizon at homes and entry VMs.

use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::horizon::Admission;
use oleander_routing::horizon::HORIZON_TTL;
use oleander_routing::horizon::HorizonControl;
use oleander_routing::horizon::Horizons;
use oleander_routing::horizon::Returns;
use oleander_routing::horizon::STEP;
use oleander_routing::horizon::spread_return;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const START: Time = Time(60_000_000);
const INSTANCE: InstanceKey = InstanceKey(1);
const TARGET: Span = Span::from_millis(500);

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x686f_7269);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a time in a reply that is shorter than the home meant, and against one that
    /// is much longer.
    #[test]
    fn a_horizon_keeps_its_level_and_rounds_its_time_up(lowest in 0..7_u8, micros in 1..9_800_000_u64) {
        let horizon = Horizon::new(Level(lowest), Span(micros));
        prop_assert_eq!(horizon.lowest(), Level(lowest));
        let rounding = if micros <= 1_000_000 { 50_000 } else { 800_000 };
        prop_assert!((micros..micros + rounding).contains(&horizon.opens().0));
    }

    /// Guards against a wrong or old horizon that refuses forever: it refuses for less than 1 s,
    /// and lets a request through in each interval before.
    #[test]
    fn a_horizon_refuses_for_a_bounded_time(
        lowest in 0..8_u8,
        opens in any::<u32>(),
        level in 0..8_u8,
        gaps in proptest::collection::vec(1..60_000_u64, 1..200),
    ) {
        let mut horizons = Horizons::default();
        horizons.record(START, INSTANCE, Horizon::new(Level(lowest), Span(u64::from(opens))));
        let (mut now, mut passed) = (START, START);
        for gap in gaps {
            now = now + Span(gap);
            match horizons.decide(now, [INSTANCE].into_iter(), Level(level), gap) {
                Admission::Refuse(retry_after) => {
                    prop_assert!(lowest < level);
                    prop_assert!(now.since(START) < HORIZON_TTL);
                    prop_assert!(now.since(passed) < Span::from_millis(860));
                    prop_assert!(Span::ZERO < retry_after);
                }
                Admission::Open | Admission::Probe(_) => passed = now,
            }
        }
    }

    /// Guards against refusals with capacity free: without long waits a home admits all levels
    /// after one step for each, whatever happened before.
    #[test]
    fn a_home_without_long_waits_admits_all(
        waits in proptest::collection::vec((0..8_u8, 0..1_000_u64, 0..300_u64), 0..50),
    ) {
        let mut control = HorizonControl::reopening(START);
        let mut now = START;
        for (level, wait, gap) in waits {
            now = now + Span::from_millis(gap);
            control.record_wait(now, Level(level), Span::from_millis(wait), TARGET);
            let horizon = control.horizon(now, |_| Span::ZERO);
            let is_long = TARGET <= Span::from_millis(wait).times(4);
            prop_assert!(!is_long || horizon.lowest() < Level(level.max(1)));
        }
        let idle = now + STEP.times(7);
        control.record_wait(idle, Level(7), Span::from_millis(5), TARGET);
        prop_assert_eq!(control.horizon(idle, |_| Span::ZERO), Horizon::OPEN);
    }

    /// Guards against clients that return together after an outage, and against lower priorities
    /// that return before higher ones.
    #[test]
    fn returns_are_spread_by_level(lowest in 0..8_u8, random in any::<u64>(), other in any::<u64>()) {
        for level in (0..=lowest).map(Level) {
            let span = spread_return(level, Level(lowest), random);
            prop_assert!((500..1_500).contains(&span.as_millis()));
            let next = Level(level.0 + 1);
            let is_first = span <= spread_return(next, Level(lowest), other);
            prop_assert!(is_first || level.0 == lowest);
        }
    }
}

/// Guards against a client that returns as told by a home and is refused at the entry, because the
/// home's horizon still excludes its level.
#[test]
fn a_return_is_taken_once_and_only_when_it_is_due() {
    let mut returns = Returns::default();
    let key = (WorkspaceId(1), Level(2));
    let at = START + Span::from_millis(400);
    let mut take = |now: Time, key| returns.take(now, key, |instance| instance == INSTANCE);
    assert_eq!(take(at, key), None);
    returns.record(START, key, at, InstanceKey(2));
    returns.record(START, key, at, INSTANCE);
    let mut take = |now: Time, key| returns.take(now, key, |instance| instance == INSTANCE);
    assert_eq!(take(START, key), None);
    assert_eq!(take(at + Span::from_millis(1_001), key), None);
    assert_eq!(take(at, (WorkspaceId(1), Level(1))), None);
    assert_eq!(take(at + Span::from_millis(90), key), Some(INSTANCE));
    assert_eq!(take(at, key), None);
}

/// Guards against a request that is refused although the home of another instance admits it, and
/// against one that is sent although all homes exclude it.
#[test]
fn a_request_is_refused_if_all_homes_exclude_it() {
    let mut horizons = Horizons::default();
    let both = [INSTANCE, InstanceKey(2)];
    let closed = Horizon::new(Level(0), Span::from_millis(400));
    let now = START + Span::from_millis(50);
    horizons.record(START, INSTANCE, closed);
    assert_eq!(horizons.decide(now, both.into_iter(), Level(1), 0), Admission::Open);
    horizons.record(START, InstanceKey(2), closed);
    assert_eq!(horizons.decide(now, both.into_iter(), Level(0), 0), Admission::Open);
    let refused = Admission::Refuse(Span::from_millis(350));
    assert_eq!(horizons.decide(now, both.into_iter(), Level(1), 0), refused);
    let probed = START + Span::from_millis(100);
    let probe = Admission::Probe(INSTANCE);
    assert_eq!(horizons.decide(probed, both.into_iter(), Level(1), 0), probe);
    horizons.record(probed, INSTANCE, Horizon::OPEN);
    assert_eq!(horizons.decide(probed, both.into_iter(), Level(1), 0), Admission::Open);
}
