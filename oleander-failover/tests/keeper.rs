//! Tests of the keeper: single steps of promotions through the platform.

use oleander_core::events::Event;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::Keeper;
use oleander_failover::keeper::messages::Action;
use oleander_failover::keeper::messages::Input;
use oleander_failover::keeper::messages::KeeperOptions;
use oleander_failover::keeper::messages::ListedInstance;
use oleander_failover::keeper::messages::OrderOutcome;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_failover::keeper::messages::RecordState;
use rstest::rstest;

const PRIMARY: InstanceKey = InstanceKey(1);
const NEAR: InstanceKey = InstanceKey(2);
const FAR: InstanceKey = InstanceKey(3);

/// `Harness` drives a keeper in virtual time.
struct Harness {
    keeper: Keeper,
    now: Time,
}

impl Harness {
    fn new() -> Self {
        Self::from_record(RecordState::Unsettled)
    }

    /// Creates a harness whose keeper continues from a record.
    fn from_record(record: RecordState) -> Self {
        let now = Time(1_000_000);
        let keeper = Keeper::new(KeeperOptions::default(), record, now);
        let mut harness = Self { keeper: keeper.with_members(&[], now, true), now };
        harness.handle(instances(false));
        harness
    }

    /// Creates a harness whose primary has answered and whose replicas receive.
    fn settled() -> Self {
        let mut harness = Self::new();
        let actions = harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
        assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
        harness.handle(Input::ReplicationResumed(NEAR, true));
        harness.handle(Input::ReplicationResumed(FAR, true));
        harness
    }

    fn handle(&mut self, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.keeper.handle(self.now, input, &mut out);
        out
    }

    fn wait(&mut self, millis: u64) -> Vec<Action> {
        self.now = self.now + Span::from_millis(millis);
        self.handle(Input::Tick)
    }

    /// Answers the request for a token and tells the keeper that all VMs know the record; returns
    /// the actions after that.
    fn start_promotion(&mut self, token: u64) -> Vec<Action> {
        let actions = self.handle(Input::TokenAcquired(Some(token)));
        assert!(actions.contains(&Action::InformVms(token)));
        assert_eq!(stopped_replicas(&actions), []);
        self.handle(Input::VmsInformed { token, confirmed: None, mark: None })
    }

    /// Lets probes of the primary fail until the keeper requests a token.
    fn lose_primary(&mut self) {
        for _ in 0..20 {
            let mut actions = self.wait(100);
            actions.extend(self.handle(Input::Probed(PRIMARY, ProbeResult::NoAnswer)));
            if token_request(&actions).is_some() {
                return;
            }
        }
        panic!("the keeper requested no token");
    }
}

fn instances(leaving: bool) -> Input {
    let known = |key, leaving, primary| ListedInstance { leaving, ..listed(key, primary) };
    Input::Instances(
        [known(PRIMARY, leaving, true), known(NEAR, false, false), known(FAR, false, false)]
            .into_iter()
            .collect(),
    )
}

fn listed(key: InstanceKey, primary: bool) -> ListedInstance {
    ListedInstance { key, life: 1, leaving: false, evacuated: false, primary, allowing_routes: 0 }
}

/// Returns the list of instances while those in `evacuated` are in a zone under evacuation.
fn instances_in_zone(evacuated: &[InstanceKey]) -> Input {
    let in_zone =
        |key| ListedInstance { evacuated: evacuated.contains(&key), ..listed(key, key == PRIMARY) };
    Input::Instances([PRIMARY, NEAR, FAR].map(in_zone).into_iter().collect())
}

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn resumed_replicas(actions: &[Action]) -> Vec<InstanceKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::ResumeReplication(key) => Some(*key),
        _ => None,
    });
    keys.collect()
}

fn stopped_replicas(actions: &[Action]) -> Vec<InstanceKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::StopReplication(key, _) => Some(*key),
        _ => None,
    });
    keys.collect()
}

/// Returns the instance to promote that a request for a token names.
fn token_request(actions: &[Action]) -> Option<Option<InstanceKey>> {
    actions.iter().find_map(|action| match action {
        Action::AcquireToken { ordered } => Some(*ordered),
        _ => None,
    })
}

fn sent_order(actions: &[Action]) -> Option<(InstanceKey, u64)> {
    actions.iter().find_map(|action| match action {
        Action::OrderPromotion { instance, token } => Some((*instance, *token)),
        _ => None,
    })
}

/// `ReplicaPoints` is the term that the primary led, what two replicas have received and which one is
/// promoted.
struct ReplicaPoints {
    term: u64,
    near: LogPoint,
    far: LogPoint,
    best: InstanceKey,
}

#[rstest]
#[case::near_is_ahead(ReplicaPoints { term: 1, near: point(1, 12), far: point(1, 11), best: NEAR })]
#[case::far_is_ahead(ReplicaPoints { term: 1, near: point(1, 11), far: point(1, 12), best: FAR })]
#[case::later_term_wins(ReplicaPoints { term: 2, near: point(1, 99), far: point(2, 1), best: FAR })]
fn the_replica_that_has_received_most_is_promoted(#[case] case: ReplicaPoints) {
    let mut harness = Harness::settled();
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(case.term, 1))));
    harness.lose_primary();
    let actions = harness.start_promotion(7);
    assert_eq!(stopped_replicas(&actions), [NEAR, FAR]);
    let actions = harness.handle(Input::ReplicationStopped(NEAR, Some(case.near)));
    assert_eq!(sent_order(&actions), None, "one replica is not enough");
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(case.far)));
    assert_eq!(sent_order(&actions), None, "the choice is persisted first");
    assert_eq!(token_request(&actions), Some(Some(case.best)));
    let actions = harness.handle(Input::TokenAcquired(Some(8)));
    assert_eq!(sent_order(&actions), Some((case.best, 8)));
}

/// `ClaimCase` is what another instance than the primary tells while no order explains a later term than
/// the first, and whether it counts.
struct ClaimCase {
    point: LogPoint,
    counts: bool,
}

/// Guards against a foreign database, listed by an entry of another writer, that is promoted for what
/// it claims to have received, or whose term makes the primary a replaced one.
#[rstest]
#[case::of_the_term(ClaimCase { point: point(1, 12), counts: true })]
#[case::of_a_later_term(ClaimCase { point: point(2, 99), counts: false })]
#[case::of_a_term_far_away(ClaimCase { point: point(1_000, 99), counts: false })]
fn an_answer_in_a_term_that_no_order_explains_does_not_count(#[case] case: ClaimCase) {
    let mut harness = Harness::settled();
    harness.lose_primary();
    harness.start_promotion(7);
    harness.handle(Input::ReplicationStopped(NEAR, Some(point(1, 11))));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(case.point)));
    assert_eq!(token_request(&actions).is_some(), case.counts);
    assert_eq!(harness.keeper.term(), Term(1));
}

/// Guards against a process that ends, since the term that an instance claims has no next one.
#[test]
fn the_last_term_does_not_overflow() {
    let mut harness = Harness::new();
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(u64::MAX, 10))));
    harness.handle(Input::ReplicationResumed(NEAR, true));
    harness.handle(Input::ReplicationResumed(FAR, true));
    harness.lose_primary();
    harness.start_promotion(7);
    harness.handle(Input::ReplicationStopped(NEAR, Some(point(u64::MAX, 10))));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(point(1, 10))));
    assert_eq!(token_request(&actions), Some(Some(NEAR)));
    harness.handle(Input::TokenAcquired(Some(8)));
    harness.handle(Input::Probed(FAR, ProbeResult::Primary(point(1, 10))));
}

/// Guards against a foreign database that becomes the primary since it claims to lead a later term.
#[test]
fn a_claim_to_lead_a_term_that_no_order_explains_is_not_believed() {
    let mut harness = Harness::settled();
    let claim = Input::Probed(FAR, ProbeResult::Primary(point(2, 99)));
    let is_logged = |action: &Action| {
        matches!(action, Action::LogEvent { event: Event::LeaderUnexplained, .. })
    };
    let actions = harness.handle(claim.clone());
    assert!(actions.iter().any(is_logged), "{actions:?}");
    let actions = harness.handle(claim);
    assert!(!actions.iter().any(is_logged), "the claim is logged once");
    assert_eq!((harness.keeper.primary(), harness.keeper.term()), (Some(PRIMARY), Term(1)));
    // The primary may be promoted anew, which it shows itself.
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(2, 10))));
    assert_eq!((harness.keeper.primary(), harness.keeper.term()), (Some(PRIMARY), Term(2)));
}

/// `AllowedRoutes` is the number of routes that allow each of two replicas to be the primary, what
/// they have received, and which one is promoted.
struct AllowedRoutes {
    near: (u32, LogPoint),
    far: (u32, LogPoint),
    best: InstanceKey,
}

/// Guards against a primary outside the regions of the routes that need it, whose requests are then
/// all refused, and against the loss of a commit for the sake of a region.
#[rstest]
#[case::near_is_allowed(AllowedRoutes { near: (1, point(1, 12)), far: (0, point(1, 12)), best: NEAR })]
#[case::far_is_allowed(AllowedRoutes { near: (0, point(1, 12)), far: (1, point(1, 12)), best: FAR })]
#[case::more_routes(AllowedRoutes { near: (2, point(1, 12)), far: (1, point(1, 12)), best: NEAR })]
#[case::near_is_ahead(AllowedRoutes { near: (0, point(1, 12)), far: (1, point(1, 11)), best: NEAR })]
fn an_allowed_region_decides_only_among_equally_advanced_replicas(#[case] case: AllowedRoutes) {
    let mut harness = Harness::settled();
    let known =
        |key, allowing_routes| ListedInstance { allowing_routes, ..listed(key, key == PRIMARY) };
    let listed = [known(PRIMARY, 0), known(NEAR, case.near.0), known(FAR, case.far.0)];
    harness.handle(Input::Instances(listed.into_iter().collect()));
    harness.lose_primary();
    harness.start_promotion(7);
    harness.handle(Input::ReplicationStopped(NEAR, Some(case.near.1)));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(case.far.1)));
    assert_eq!(token_request(&actions), Some(Some(case.best)));
}

/// `ZoneCase` is which instances are in the evacuated zone when the primary is lost, what the
/// replicas have received and which one is promoted.
struct ZoneCase {
    evacuated: &'static [InstanceKey],
    near: LogPoint,
    far: LogPoint,
    best: InstanceKey,
}

/// Guards against a promotion into a zone that gets no statements, and against one that loses
/// acknowledged commits to avoid the zone.
#[rstest]
#[case::near_is_in_the_zone(ZoneCase {
    evacuated: &[NEAR],
    near: point(1, 12),
    far: point(1, 12),
    best: FAR,
})]
#[case::far_is_in_the_zone(ZoneCase {
    evacuated: &[FAR],
    near: point(1, 12),
    far: point(1, 12),
    best: NEAR,
})]
#[case::the_furthest_is_in_the_zone(ZoneCase {
    evacuated: &[NEAR],
    near: point(1, 12),
    far: point(1, 11),
    best: NEAR,
})]
fn among_equal_replicas_one_outside_the_evacuated_zone_is_promoted(#[case] case: ZoneCase) {
    let mut harness = Harness::settled();
    harness.handle(instances_in_zone(case.evacuated));
    harness.lose_primary();
    harness.start_promotion(7);
    harness.handle(Input::ReplicationStopped(NEAR, Some(case.near)));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(case.far)));
    assert_eq!(token_request(&actions), Some(Some(case.best)));
}

/// Guards against a primary that leaves and is replaced by one that no VM uses, while it could still
/// serve itself.
#[test]
fn a_leaving_primary_is_not_replaced_by_an_evacuated_one() {
    let mut harness = Harness::settled();
    let leaving = ListedInstance { leaving: true, ..listed(PRIMARY, true) };
    let near = ListedInstance { evacuated: true, ..listed(NEAR, false) };
    let list = [leaving, near, listed(FAR, false)].into_iter().collect();
    assert!(harness.handle(Input::Instances(list)).contains(&Action::CheckVms));
    harness.handle(Input::VmsChecked(true));
    harness.start_promotion(7);
    harness.handle(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(point(1, 11))));
    assert_eq!(token_request(&actions), None);
    assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
}

/// Guards against an evacuated primary, which gets no statements, that is kept for VMs that do not
/// answer.
#[test]
fn an_evacuated_primary_is_replaced_without_waiting_for_vms() {
    let mut harness = Harness::settled();
    assert_eq!(token_request(&harness.handle(instances_in_zone(&[PRIMARY]))), Some(None));
}

/// `LostPrimary` is the result of probes of a lost primary, and the bounds in milliseconds of the
/// time until its replacement starts.
struct LostPrimary {
    result: ProbeResult,
    limit: u64,
    not_before: u64,
}

/// Guards against waiting for a primary that is known not to run as long as for a silent one.
#[rstest]
#[case::silent(LostPrimary { result: ProbeResult::NoAnswer, limit: 900, not_before: 700 })]
#[case::not_running(LostPrimary { result: ProbeResult::NotRunning, limit: 500, not_before: 300 })]
fn a_lost_primary_is_replaced_in_time(#[case] case: LostPrimary) {
    let mut harness = Harness::settled();
    let mut passed = 0;
    let mut actions = harness.handle(Input::Probed(PRIMARY, case.result));
    while token_request(&actions).is_none() {
        passed += 100;
        assert!(passed <= case.limit, "no promotion after {passed} ms");
        actions = harness.wait(100);
        actions.extend(harness.handle(Input::Probed(PRIMARY, case.result)));
    }
    assert!(case.not_before <= passed, "a promotion after {passed} ms");
}

#[test]
fn a_leaving_primary_is_replaced_while_it_answers() {
    let mut harness = Harness::settled();
    harness.wait(1_000);
    let actions = harness.handle(instances(true));
    assert!(actions.contains(&Action::CheckVms));
    assert_eq!(token_request(&harness.handle(Input::VmsChecked(true))), Some(None));
}

/// Writes must not stop while a VM does not answer and the leaving primary still serves. They once
/// stopped for five seconds.
#[test]
fn a_leaving_primary_serves_on_while_a_vm_does_not_answer() {
    let mut harness = Harness::settled();
    harness.handle(instances(true));
    let KeeperOptions { handover_limit, retry_delay, .. } = KeeperOptions::default();
    let mut passed = 0;
    while passed + retry_delay.as_millis() < handover_limit.as_millis() {
        assert_eq!(token_request(&harness.handle(Input::VmsChecked(false))), None);
        assert!(!harness.keeper.is_promoting());
        harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
        let actions = harness.wait(retry_delay.as_millis());
        assert!(actions.contains(&Action::CheckVms));
        passed += retry_delay.as_millis();
    }
    harness.handle(Input::VmsChecked(false));
    assert_eq!(
        token_request(&harness.wait(retry_delay.as_millis())),
        Some(None),
        "the leaving primary must not stay for ever"
    );
}

/// An order to resume that arrives after a later order to stop undoes the stop. A commit was lost
/// that way under a new keeper.
#[test]
fn a_replica_with_a_pending_order_to_resume_is_not_stopped() {
    let mut harness = Harness::new();
    let actions = harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
    harness.handle(instances(true));
    harness.handle(Input::VmsChecked(true));
    let actions = harness.start_promotion(7);
    assert_eq!(stopped_replicas(&actions), []);
    let actions = harness.handle(Input::ReplicationResumed(NEAR, true));
    assert_eq!(stopped_replicas(&actions), [NEAR]);
    let actions = harness.handle(Input::ReplicationResumed(FAR, false));
    assert_eq!(stopped_replicas(&actions), [], "the unanswered order may still arrive");
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(point(1, 10))));
    assert_eq!(sent_order(&actions), None);
}

#[test]
fn a_primary_that_answers_again_ends_the_promotion() {
    let mut harness = Harness::settled();
    harness.lose_primary();
    harness.start_promotion(7);
    let actions = harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 11))));
    assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
    assert!(!harness.keeper.is_promoting());
}

impl Harness {
    /// Creates a harness whose keeper has ordered the promotion of `NEAR` with the token 8.
    fn with_order_sent() -> Self {
        let mut harness = Self::settled();
        harness.lose_primary();
        harness.start_promotion(7);
        harness.handle(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
        harness.handle(Input::ReplicationStopped(FAR, Some(point(1, 11))));
        let actions = harness.handle(Input::TokenAcquired(Some(8)));
        assert_eq!(sent_order(&actions), Some((NEAR, 8)));
        harness
    }
}

/// An unanswered order may be executed seconds later, when its instance lacks newer commits.
#[test]
fn an_unanswered_order_is_repeated_for_its_instance_with_a_higher_token() {
    let mut harness = Harness::with_order_sent();
    let actions = harness.handle(Input::PromotionOrdered(OrderOutcome::Unknown));
    assert_eq!(token_request(&actions), Some(Some(NEAR)));
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 12))));
    let actions = harness.handle(Input::TokenAcquired(Some(9)));
    assert_eq!(sent_order(&actions), Some((NEAR, 9)), "the first order may have been executed");
}

#[rstest]
#[case::refused(OrderOutcome::Rejected)]
#[case::not_answered(OrderOutcome::Unknown)]
fn a_token_is_used_for_one_instance(#[case] outcome: OrderOutcome) {
    let mut harness = Harness::with_order_sent();
    let mut later = harness.handle(Input::PromotionOrdered(outcome));
    for _ in 0..50 {
        later.extend(harness.wait(100));
    }
    assert!(!later.iter().any(|action| matches!(action, Action::OrderPromotion { token: 8, .. })));
}

/// Guards against a new keeper that counts its own start as a change and so does not replace a
/// leaving primary at once.
#[test]
fn a_new_keeper_replaces_a_leaving_primary_at_once() {
    let mut harness = Harness::from_record(RecordState::Settled(PRIMARY));
    assert!(harness.handle(instances(true)).contains(&Action::CheckVms));
}

/// If the record kept naming the instance of an abandoned promotion, a later keeper would promote
/// it though others have received more since.
#[test]
fn replicas_receive_again_once_the_record_names_no_instance() {
    let mut harness = Harness::with_order_sent();
    let actions = harness.handle(Input::PromotionOrdered(OrderOutcome::Rejected));
    assert_eq!(token_request(&actions), Some(None));
    assert_eq!(resumed_replicas(&actions), []);
    assert!(harness.keeper.is_promoting());
    let actions = harness.handle(Input::TokenAcquired(Some(9)));
    assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
    assert!(!harness.keeper.is_promoting());
}

/// Commits are lost if a new keeper accepts the present primary while the order of its predecessor
/// takes effect. Two commits were lost that way.
#[test]
fn a_new_keeper_repeats_an_order_that_it_finds_in_the_record() {
    let mut harness = Harness::from_record(RecordState::Ordered(NEAR));
    assert!(harness.keeper.is_promoting());
    let actions = harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert_eq!(resumed_replicas(&actions), []);
    let actions = harness.handle(Input::TokenAcquired(Some(9)));
    assert_eq!(sent_order(&actions), Some((NEAR, 9)));
    harness.handle(Input::PromotionOrdered(OrderOutcome::Accepted));
    harness.handle(Input::Probed(NEAR, ProbeResult::Replica));
    assert!(harness.keeper.is_promoting());
    harness.handle(Input::Probed(NEAR, ProbeResult::Primary(point(2, 10))));
    assert!(!harness.keeper.is_promoting());
}

/// An order for another instance may have been executed just before the one that names the primary.
#[test]
fn a_primary_promoted_again_is_confirmed_only_after_a_while() {
    let mut harness = Harness::from_record(RecordState::Ordered(PRIMARY));
    harness.handle(Input::TokenAcquired(Some(9)));
    harness.handle(Input::PromotionOrdered(OrderOutcome::Accepted));
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert!(harness.keeper.is_promoting());
    harness.wait(KeeperOptions::default().confirm_time.as_millis());
    let actions = harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert!(!harness.keeper.is_promoting());
    assert_eq!(resumed_replicas(&actions), [NEAR, FAR]);
}

/// Guards against writes that wait for a round of orders at each change of keeper.
#[test]
fn a_new_keeper_continues_with_the_primary_of_a_settled_record() {
    let harness = Harness::from_record(RecordState::Settled(PRIMARY));
    assert!(!harness.keeper.is_promoting());
    assert_eq!(harness.keeper.primary(), Some(PRIMARY));
}

/// Guards against a keeper that started after the primary was lost and waits for it as for a
/// replica.
#[test]
fn a_new_keeper_replaces_a_primary_that_it_never_saw() {
    let mut harness = Harness::new();
    let mut has_started = false;
    // The first probe was sent when the keeper received the list of instances.
    harness.handle(Input::Probed(PRIMARY, ProbeResult::NoAnswer));
    for _ in 0..40 {
        let mut actions = harness.wait(100);
        let asked = actions.iter().find_map(|action| match action {
            Action::Probe(key) => Some(*key),
            _ => None,
        });
        if let Some(key) = asked {
            let result = if key == PRIMARY { ProbeResult::NoAnswer } else { ProbeResult::Replica };
            actions.extend(harness.handle(Input::Probed(key, result)));
        }
        has_started |= token_request(&actions).is_some();
        if has_started {
            break;
        }
    }
    assert!(has_started);
    let actions = harness.start_promotion(7);
    assert_eq!(stopped_replicas(&actions), [NEAR, FAR]);
    harness.handle(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
    let actions = harness.handle(Input::ReplicationStopped(FAR, Some(point(1, 11))));
    assert_eq!(token_request(&actions), Some(Some(NEAR)));
}

fn step_downs(actions: &[Action]) -> Vec<(InstanceKey, Term)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::StepDown(key, term) => Some((*key, *term)),
        _ => None,
    });
    orders.collect()
}

/// A primary that is cut off from its successor does not learn that it has been replaced.
#[test]
fn a_replaced_primary_is_told_to_step_down_until_it_answers() {
    let mut harness = Harness::with_order_sent();
    harness.handle(Input::PromotionOrdered(OrderOutcome::Accepted));
    let actions = harness.handle(Input::Probed(NEAR, ProbeResult::Primary(point(2, 12))));
    assert_eq!(step_downs(&actions), [(PRIMARY, Term(2))]);
    harness.handle(Input::SteppedDown(PRIMARY, false));
    let pause = KeeperOptions::default().repeat_interval.as_millis();
    assert_eq!(step_downs(&harness.wait(pause)), [(PRIMARY, Term(2))]);
    harness.handle(Input::SteppedDown(PRIMARY, true));
    assert_eq!(step_downs(&harness.wait(pause)), []);
}

/// Guards against a keeper that takes a replaced primary for the present one, because it has not
/// seen the present one itself.
#[test]
fn an_instance_that_leads_an_earlier_term_than_the_record_is_not_the_primary() {
    let mut harness = Harness::new();
    harness.keeper = harness.keeper.with_term(Term(2));
    harness.handle(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 90))));
    assert_eq!(harness.keeper.primary(), None);
    harness.handle(Input::Probed(NEAR, ProbeResult::Primary(point(2, 12))));
    assert_eq!(harness.keeper.primary(), Some(NEAR));
}

/// `LateOrder` is when, after an order stayed without an answer, its instance was lost.
struct LateOrder {
    outcome: OrderOutcome,
    /// The result of later probes of the instance.
    result: ProbeResult,
}

/// Where tokens are not checked, an order that is executed late takes the lead from whichever
/// instance has been promoted since, together with the commits that only that one has.
#[rstest]
#[case::never_led(LateOrder { outcome: OrderOutcome::Rejected, result: ProbeResult::NoAnswer })]
#[case::led_and_was_lost(LateOrder {
    outcome: OrderOutcome::Accepted,
    result: ProbeResult::Primary(LogPoint { term: Term(2), position: Position(12) }),
})]
fn no_other_instance_is_ordered_while_an_unchecked_order_may_be_executed(#[case] case: LateOrder) {
    const EXPIRY: Span = Span::from_millis(8_000);
    let options = KeeperOptions { order_expiry: Some(EXPIRY), ..KeeperOptions::default() };
    let now = Time(1_000_000);
    let mut harness =
        Harness { keeper: Keeper::new(options, RecordState::Ordered(NEAR), now), now };
    harness.handle(instances(false));
    harness.handle(Input::Probed(PRIMARY, ProbeResult::NoAnswer));
    harness.handle(Input::TokenAcquired(Some(9)));
    harness.handle(Input::PromotionOrdered(case.outcome));
    harness.handle(Input::Probed(NEAR, case.result));
    let since = harness.now;
    let mut token = 9;
    let mut reached_other = false;
    while harness.now.since(since) < EXPIRY.times(3) {
        let mut queue = harness.wait(100);
        if EXPIRY <= harness.now.since(since) {
            // Both lost instances leave the directory in the end.
            let left = [listed(FAR, false)];
            queue.extend(harness.handle(Input::Instances(left.into_iter().collect())));
        }
        while let Some(action) = queue.pop() {
            let input = match action {
                Action::Probe(FAR) => Input::Probed(FAR, ProbeResult::Replica),
                Action::Probe(key) => Input::Probed(key, ProbeResult::NoAnswer),
                Action::AcquireToken { .. } => {
                    token += 1;
                    Input::TokenAcquired(Some(token))
                }
                // What VMs have confirmed shows that the remaining instance lacks nothing.
                Action::InformVms(token) => {
                    Input::VmsInformed { token, confirmed: Some(point(1, 11)), mark: None }
                }
                Action::StopReplication(FAR, _) => {
                    Input::ReplicationStopped(FAR, Some(point(1, 11)))
                }
                Action::OrderPromotion { instance: NEAR, .. } => {
                    Input::PromotionOrdered(OrderOutcome::Rejected)
                }
                Action::OrderPromotion { .. } => {
                    reached_other = true;
                    let waited = harness.now.since(since);
                    assert!(EXPIRY <= waited, "another order after {} ms", waited.as_millis());
                    Input::PromotionOrdered(OrderOutcome::Accepted)
                }
                _ => continue,
            };
            queue.extend(harness.handle(input));
        }
    }
    assert!(reached_other, "the database must not stay without a primary");
}

/// `ScanCase` is what the instances answer after the store was restored from a copy, and the
/// primary that the keeper goes by; `None` if it waits or replaces a lost one.
struct ScanCase {
    answers: [ProbeResult; 3],
    primary: Option<InstanceKey>,
}

fn leads(term: u64) -> ProbeResult {
    ProbeResult::Primary(point(term, 12))
}

/// The record of the copy may name a primary that has been replaced since and goes on as one.
#[rstest]
#[case::one_leads(ScanCase {
    answers: [ProbeResult::Replica, leads(2), ProbeResult::Replica],
    primary: Some(NEAR),
})]
#[case::a_replaced_one_goes_on(ScanCase {
    answers: [leads(1), leads(2), ProbeResult::Replica],
    primary: Some(NEAR),
})]
#[case::one_is_silent(ScanCase {
    answers: [leads(1), ProbeResult::NoAnswer, ProbeResult::Replica],
    primary: None,
})]
#[case::none_leads(ScanCase {
    answers: [ProbeResult::Replica, ProbeResult::Replica, ProbeResult::Replica],
    primary: None,
})]
fn after_a_restore_the_instance_that_leads_the_latest_term_is_the_primary(
    #[case] case: ScanCase,
    #[values(None, Some(Span::from_millis(8_000)))] order_expiry: Option<Span>,
) {
    let options = KeeperOptions { order_expiry, ..KeeperOptions::default() };
    let now = Time(1_000_000);
    let keeper = Keeper::new(options, RecordState::Restored, now);
    let mut harness = Harness { keeper, now };
    let mut queue = harness.handle(instances(false));
    let mut waited = 0;
    while waited < 9_500 && harness.keeper.primary().is_none() {
        for action in std::mem::take(&mut queue) {
            if let Action::Probe(key) = action {
                let answer = case.answers[key.0 as usize - 1];
                queue.extend(harness.handle(Input::Probed(key, answer)));
            }
        }
        assert!(harness.keeper.is_promoting(), "no writes before the primary is known");
        queue.extend(harness.wait(100));
        waited += 100;
    }
    assert_eq!(harness.keeper.primary(), case.primary);
    // An order that was sent under the lost record may be executed until then.
    let expiry = order_expiry.unwrap_or(options.confirm_time).as_millis();
    assert!(case.primary.is_none() || expiry <= waited);
}
