//! Promotions where the platform arbitrates, step by step.

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

/// `Bench` drives a keeper in virtual time.
struct Bench {
    keeper: Keeper,
    now: Time,
}

impl Bench {
    fn new() -> Self {
        Self::on(RecordState::Unsettled)
    }

    /// Makes a bench whose keeper builds on a record.
    fn on(standing: RecordState) -> Self {
        let now = Time(1_000_000);
        let mut bench = Self { keeper: Keeper::new(KeeperOptions::default(), standing, now), now };
        bench.give(instances(false));
        bench
    }

    /// Makes a bench whose primary has answered and whose replicas receive.
    fn calm() -> Self {
        let mut bench = Self::new();
        let actions = bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
        assert_eq!(resumed(&actions), [NEAR, FAR]);
        bench.give(Input::ReplicationResumed(NEAR, true));
        bench.give(Input::ReplicationResumed(FAR, true));
        bench
    }

    fn give(&mut self, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.keeper.handle(self.now, input, &mut out);
        out
    }

    fn wait(&mut self, millis: u64) -> Vec<Action> {
        self.now = self.now + Span::from_millis(millis);
        self.give(Input::Tick)
    }

    /// Gives a token to a claim, after which all VMs know of the record.
    fn informed(&mut self, token: u64) -> Vec<Action> {
        let actions = self.give(Input::TokenAcquired(Some(token)));
        assert!(actions.contains(&Action::InformVms(token)));
        assert_eq!(stopped(&actions), []);
        self.give(Input::VmsInformed(token))
    }

    /// Lets the primary fall silent until a token is asked for.
    fn silence(&mut self) {
        for _ in 0..20 {
            let mut actions = self.wait(100);
            actions.extend(self.give(Input::Probed(PRIMARY, ProbeResult::NoAnswer)));
            if claimed(&actions).is_some() {
                return;
            }
        }
        panic!("no token was asked for");
    }
}

fn instances(leaving: bool) -> Input {
    let known = |key, leaving, primary| ListedInstance { key, leaving, primary };
    Input::Instances(
        [known(PRIMARY, leaving, true), known(NEAR, false, false), known(FAR, false, false)]
            .into_iter()
            .collect(),
    )
}

fn point(term: u64, position: u64) -> LogPoint {
    LogPoint { term: Term(term), position: Position(position) }
}

fn resumed(actions: &[Action]) -> Vec<InstanceKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::ResumeReplication(key) => Some(*key),
        _ => None,
    });
    keys.collect()
}

fn stopped(actions: &[Action]) -> Vec<InstanceKey> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::StopReplication(key, _) => Some(*key),
        _ => None,
    });
    keys.collect()
}

/// Gets the instance that a claim names.
fn claimed(actions: &[Action]) -> Option<Option<InstanceKey>> {
    actions.iter().find_map(|action| match action {
        Action::AcquireToken { ordered } => Some(*ordered),
        _ => None,
    })
}

fn ordered(actions: &[Action]) -> Option<(InstanceKey, u64)> {
    actions.iter().find_map(|action| match action {
        Action::OrderPromotion { instance, token } => Some((*instance, *token)),
        _ => None,
    })
}

/// `Choice` is what two replicas have received and which one is promoted.
struct Choice {
    near: LogPoint,
    far: LogPoint,
    best: InstanceKey,
}

#[rstest]
#[case::near_is_ahead(Choice { near: point(1, 12), far: point(1, 11), best: NEAR })]
#[case::far_is_ahead(Choice { near: point(1, 11), far: point(1, 12), best: FAR })]
#[case::later_term_wins(Choice { near: point(1, 99), far: point(2, 1), best: FAR })]
fn promotes_the_replica_that_has_received_most(#[case] choice: Choice) {
    let mut bench = Bench::calm();
    bench.silence();
    let actions = bench.informed(7);
    assert_eq!(stopped(&actions), [NEAR, FAR]);
    let actions = bench.give(Input::ReplicationStopped(NEAR, Some(choice.near)));
    assert_eq!(ordered(&actions), None, "one replica is not enough");
    let actions = bench.give(Input::ReplicationStopped(FAR, Some(choice.far)));
    assert_eq!(ordered(&actions), None, "the choice is persisted first");
    assert_eq!(claimed(&actions), Some(Some(choice.best)));
    let actions = bench.give(Input::TokenAcquired(Some(8)));
    assert_eq!(ordered(&actions), Some((choice.best, 8)));
}

/// `Lost` is what beats at a lost primary find, and how long it takes until it is replaced.
struct Lost {
    beat: ProbeResult,
    within: u64,
    not_before: u64,
}

/// A primary whose machine said that it does not run was waited for as for a slow one.
#[rstest]
#[case::dark(Lost { beat: ProbeResult::NoAnswer, within: 900, not_before: 700 })]
#[case::not_running(Lost { beat: ProbeResult::NotRunning, within: 500, not_before: 300 })]
fn a_lost_primary_is_replaced_within(#[case] lost: Lost) {
    let mut bench = Bench::calm();
    let mut passed = 0;
    let mut actions = bench.give(Input::Probed(PRIMARY, lost.beat));
    while claimed(&actions).is_none() {
        passed += 100;
        assert!(passed <= lost.within, "no promotion after {passed} ms");
        actions = bench.wait(100);
        actions.extend(bench.give(Input::Probed(PRIMARY, lost.beat)));
    }
    assert!(lost.not_before <= passed, "a promotion after {passed} ms");
}

#[test]
fn waits_for_a_replica_that_does_not_answer_until_the_directory_drops_it() {
    let mut bench = Bench::calm();
    bench.silence();
    bench.informed(7);
    bench.give(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
    let actions = bench.give(Input::ReplicationStopped(FAR, None));
    assert_eq!(ordered(&actions), None);
    let left =
        [PRIMARY, NEAR].map(|key| ListedInstance { key, leaving: false, primary: key == PRIMARY });
    let actions = bench.give(Input::Instances(left.into_iter().collect()));
    assert_eq!(claimed(&actions), Some(Some(NEAR)));
}

#[test]
fn a_leaving_primary_is_replaced_while_it_answers() {
    let mut bench = Bench::calm();
    bench.wait(1_000);
    let actions = bench.give(instances(true));
    assert!(actions.contains(&Action::CheckVms));
    assert_eq!(claimed(&bench.give(Input::VmsChecked(true))), Some(None));
}

/// Writes stopped for five seconds when a primary left while a VM was gone, though it still served.
#[test]
fn a_leaving_primary_serves_on_while_a_vm_does_not_answer() {
    let mut bench = Bench::calm();
    bench.give(instances(true));
    let KeeperOptions { handover, retry, .. } = KeeperOptions::default();
    let mut passed = 0;
    while passed + retry.as_millis() < handover.as_millis() {
        assert_eq!(claimed(&bench.give(Input::VmsChecked(false))), None);
        assert!(!bench.keeper.is_promoting());
        bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
        let actions = bench.wait(retry.as_millis());
        assert!(actions.contains(&Action::CheckVms));
        passed += retry.as_millis();
    }
    bench.give(Input::VmsChecked(false));
    assert_eq!(claimed(&bench.wait(retry.as_millis())), Some(None), "it must not stay for ever");
}

/// A commit was lost when the order to receive again of a new keeper arrived after the order to
/// stop that followed it.
#[test]
fn stops_no_replica_that_may_still_be_told_to_receive() {
    let mut bench = Bench::new();
    let actions = bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert_eq!(resumed(&actions), [NEAR, FAR]);
    bench.give(instances(true));
    bench.give(Input::VmsChecked(true));
    let actions = bench.informed(7);
    assert_eq!(stopped(&actions), []);
    let actions = bench.give(Input::ReplicationResumed(NEAR, true));
    assert_eq!(stopped(&actions), [NEAR]);
    let actions = bench.give(Input::ReplicationResumed(FAR, false));
    assert_eq!(stopped(&actions), [], "the unanswered order may still arrive");
    let actions = bench.give(Input::ReplicationStopped(FAR, Some(point(1, 10))));
    assert_eq!(ordered(&actions), None);
}

#[test]
fn a_primary_that_answers_again_ends_the_promotion() {
    let mut bench = Bench::calm();
    bench.silence();
    bench.informed(7);
    let actions = bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 11))));
    assert_eq!(resumed(&actions), [NEAR, FAR]);
    assert!(!bench.keeper.is_promoting());
}

impl Bench {
    /// Lets the primary fall silent and the keeper order the promotion of `NEAR` with the token 8.
    fn ordering() -> Self {
        let mut bench = Self::calm();
        bench.silence();
        bench.informed(7);
        bench.give(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
        bench.give(Input::ReplicationStopped(FAR, Some(point(1, 11))));
        let actions = bench.give(Input::TokenAcquired(Some(8)));
        assert_eq!(ordered(&actions), Some((NEAR, 8)));
        bench
    }
}

/// An order that was not answered may be executed seconds later, when its instance is behind.
#[test]
fn an_unanswered_order_is_repeated_for_its_instance_with_a_higher_token() {
    let mut bench = Bench::ordering();
    let actions = bench.give(Input::PromotionOrdered(OrderOutcome::Unknown));
    assert_eq!(claimed(&actions), Some(Some(NEAR)));
    bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 12))));
    let actions = bench.give(Input::TokenAcquired(Some(9)));
    assert_eq!(ordered(&actions), Some((NEAR, 9)), "the first order may have been executed");
}

#[rstest]
#[case::refused(OrderOutcome::Rejected)]
#[case::not_answered(OrderOutcome::Unknown)]
fn a_token_is_used_for_one_instance(#[case] outcome: OrderOutcome) {
    let mut bench = Bench::ordering();
    let mut later = bench.give(Input::PromotionOrdered(outcome));
    for _ in 0..50 {
        later.extend(bench.wait(100));
    }
    assert!(!later.iter().any(|action| matches!(action, Action::OrderPromotion { token: 8, .. })));
}

/// A keeper that started while a primary was leaving counted its own start as a change.
#[test]
fn a_new_keeper_replaces_a_leaving_primary_at_once() {
    let mut bench = Bench::on(RecordState::Settled(PRIMARY));
    assert!(bench.give(instances(true)).contains(&Action::CheckVms));
}

/// A later keeper promoted an instance that an abandoned record named, though others had received
/// more since.
#[test]
fn replicas_receive_again_once_the_record_names_no_instance() {
    let mut bench = Bench::ordering();
    let actions = bench.give(Input::PromotionOrdered(OrderOutcome::Rejected));
    assert_eq!(claimed(&actions), Some(None));
    assert_eq!(resumed(&actions), []);
    assert!(bench.keeper.is_promoting());
    let actions = bench.give(Input::TokenAcquired(Some(9)));
    assert_eq!(resumed(&actions), [NEAR, FAR]);
    assert!(!bench.keeper.is_promoting());
}

/// Two commits were lost when a keeper took the present primary for the settled one while the
/// order of the keeper before it took effect.
#[test]
fn a_new_keeper_repeats_an_order_that_it_finds_in_the_record() {
    let mut bench = Bench::on(RecordState::Ordered(NEAR));
    assert!(bench.keeper.is_promoting());
    let actions = bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert_eq!(resumed(&actions), []);
    let actions = bench.give(Input::TokenAcquired(Some(9)));
    assert_eq!(ordered(&actions), Some((NEAR, 9)));
    bench.give(Input::PromotionOrdered(OrderOutcome::Accepted));
    bench.give(Input::Probed(NEAR, ProbeResult::Replica));
    assert!(bench.keeper.is_promoting());
    bench.give(Input::Probed(NEAR, ProbeResult::Primary(point(2, 10))));
    assert!(!bench.keeper.is_promoting());
}

/// An earlier order may have been executed just before the one that confirms the primary.
#[test]
fn a_primary_that_a_record_named_must_keep_the_lead_for_a_while() {
    let mut bench = Bench::on(RecordState::Ordered(PRIMARY));
    bench.give(Input::TokenAcquired(Some(9)));
    bench.give(Input::PromotionOrdered(OrderOutcome::Accepted));
    bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert!(bench.keeper.is_promoting());
    bench.wait(KeeperOptions::default().confirm.as_millis());
    let actions = bench.give(Input::Probed(PRIMARY, ProbeResult::Primary(point(1, 10))));
    assert!(!bench.keeper.is_promoting());
    assert_eq!(resumed(&actions), [NEAR, FAR]);
}

/// Writes waited for a round of orders at each change of keeper.
#[test]
fn a_new_keeper_goes_on_with_the_primary_of_a_settled_record() {
    let bench = Bench::on(RecordState::Settled(PRIMARY));
    assert!(!bench.keeper.is_promoting());
    assert_eq!(bench.keeper.primary(), Some(PRIMARY));
}

/// A keeper that started after the primary was lost waited for it as for a replica.
#[test]
fn a_new_keeper_replaces_a_primary_that_it_never_saw() {
    let mut bench = Bench::new();
    let mut has_claimed = false;
    // The first question was asked when the instances were told.
    bench.give(Input::Probed(PRIMARY, ProbeResult::NoAnswer));
    for _ in 0..40 {
        let mut actions = bench.wait(100);
        let asked = actions.iter().find_map(|action| match action {
            Action::Probe(key) => Some(*key),
            _ => None,
        });
        if let Some(key) = asked {
            let beat = if key == PRIMARY { ProbeResult::NoAnswer } else { ProbeResult::Replica };
            actions.extend(bench.give(Input::Probed(key, beat)));
        }
        has_claimed |= claimed(&actions).is_some();
        if has_claimed {
            break;
        }
    }
    assert!(has_claimed);
    let actions = bench.informed(7);
    assert_eq!(stopped(&actions), [NEAR, FAR]);
    bench.give(Input::ReplicationStopped(NEAR, Some(point(1, 12))));
    let actions = bench.give(Input::ReplicationStopped(FAR, Some(point(1, 11))));
    assert_eq!(claimed(&actions), Some(Some(NEAR)));
}
