//! Tests of the proof that a promotion needs: the promoted instance holds each acknowledged commit.

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
use oleander_failover::keeper::messages::Liveness;
use oleander_failover::keeper::messages::MemberAnswer;
use oleander_failover::keeper::messages::MemberState;
use oleander_failover::keeper::messages::OrderOutcome;
use oleander_failover::keeper::messages::ProbeResult;
use oleander_failover::keeper::messages::RecordState;
use rstest::rstest;

const PRIMARY: InstanceKey = InstanceKey(1);
const NEAR: InstanceKey = InstanceKey(2);
const FAR: InstanceKey = InstanceKey(3);

/// The fencing token of the promotions.
const TOKEN: u64 = 7;

/// `Instance` is what an instance answers; `None` if it does not.
#[derive(Clone, Copy, Debug)]
struct Instance {
    key: InstanceKey,
    life: u64,
    listed: bool,
    leaving: bool,
    /// `true` if another instance has the address of an instance that does not answer.
    ended: bool,
    received: Option<u64>,
    leads: bool,
}

/// `Harness` drives a keeper against instances in virtual time.
struct Harness {
    keeper: Keeper,
    now: Time,
    instances: Vec<Instance>,
    queue: Vec<Action>,
    /// The point that VMs have confirmed, as they answer the keeper.
    confirmed: Option<u64>,
    /// The greatest position of the primary that the keeper and the VMs know.
    mark: Option<u64>,
    /// `false` while the VM of the keeper does not reach the store.
    synced: bool,
    /// The number of orders to resume that are lost.
    lost_resumes: usize,
    /// The instances that the keeper has chosen, and all actions.
    chosen: Vec<InstanceKey>,
    actions: Vec<Action>,
}

fn instance(key: InstanceKey, received: u64) -> Instance {
    Instance {
        key,
        life: 1,
        listed: true,
        leaving: false,
        ended: false,
        received: Some(received),
        leads: key == PRIMARY,
    }
}

fn point(position: u64) -> LogPoint {
    LogPoint { term: Term(1), position: Position(position) }
}

impl Harness {
    /// Creates a harness with a primary that has received 20 commits and replicas that have
    /// received 10 and 20; the keeper has seen the primary and lets the replicas receive.
    fn settled() -> Self {
        let instances = vec![instance(PRIMARY, 20), instance(NEAR, 10), instance(FAR, 20)];
        let mut harness = Self::new(&[], true, instances);
        harness.pass(1_000);
        assert_eq!(harness.keeper.primary(), Some(PRIMARY));
        harness
    }

    /// Creates a harness whose keeper takes over from a record that names the primary.
    fn new(members: &[MemberState], recorded: bool, instances: Vec<Instance>) -> Self {
        let now = Time(10_000_000);
        let keeper = Keeper::new(KeeperOptions::default(), RecordState::Settled(PRIMARY), now);
        let mut harness = Self {
            keeper: keeper.with_members(members, now, recorded),
            now,
            instances,
            queue: Vec::new(),
            confirmed: None,
            mark: None,
            synced: true,
            lost_resumes: 0,
            chosen: Vec::new(),
            actions: Vec::new(),
        };
        harness.list();
        harness
    }

    fn instance(&mut self, key: InstanceKey) -> &mut Instance {
        self.instances.iter_mut().find(|instance| instance.key == key).unwrap()
    }

    fn change(&mut self, key: InstanceKey, change: impl FnOnce(&mut Instance)) {
        change(self.instance(key));
        self.list();
    }

    /// Makes an instance silent.
    fn silence(&mut self, key: InstanceKey) {
        self.change(key, |instance| instance.received = None);
    }

    fn list(&mut self) {
        let listed = self.instances.iter().filter(|instance| instance.listed);
        let listed = listed.map(|instance| ListedInstance {
            key: instance.key,
            life: instance.life,
            leaving: instance.leaving,
            evacuated: false,
            primary: instance.leads,
            allowing_routes: 0,
        });
        self.handle(Input::Instances(listed.collect()));
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.keeper.handle(self.now, input, &mut out);
        self.actions.extend(out.iter().copied());
        self.queue.extend(out);
    }

    /// Lets time pass and answers what the keeper asks.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now = self.now + Span::from_millis(20);
            if self.synced {
                self.keeper.note_synced(self.now);
            }
            self.handle(Input::Tick);
            for action in std::mem::take(&mut self.queue) {
                self.answer(action);
            }
        }
    }

    fn answer(&mut self, action: Action) {
        match action {
            Action::Probe(key) => {
                let Instance { received, leads, .. } = *self.instance(key);
                if let (Some(received), true) = (received, leads) {
                    self.handle(Input::Reached(key, point(received), self.now));
                }
                let result = match received {
                    None => ProbeResult::NoAnswer,
                    Some(received) if leads => ProbeResult::Primary(point(received)),
                    Some(_) => ProbeResult::Replica,
                };
                self.handle(Input::Probed(key, result));
            }
            Action::CheckMember(key) => {
                let Instance { received, ended, .. } = *self.instance(key);
                let answer = match received {
                    Some(received) => MemberAnswer::Received(point(received)),
                    None if ended => MemberAnswer::Replaced,
                    None => MemberAnswer::NoAnswer,
                };
                self.handle(Input::MemberChecked(key, answer));
            }
            Action::StopReplication(key, _) => {
                let received = self.instance(key).received.map(point);
                self.handle(Input::ReplicationStopped(key, received));
            }
            Action::ResumeReplication(key) => {
                let is_lost = 0 < self.lost_resumes;
                self.lost_resumes -= usize::from(is_lost);
                self.handle(Input::ReplicationResumed(key, !is_lost));
            }
            Action::CheckVms => self.handle(Input::VmsChecked(true)),
            Action::InformVms(token) => {
                let (confirmed, mark) = (self.confirmed.map(point), self.mark.map(point));
                self.handle(Input::VmsInformed { token, confirmed, mark });
            }
            Action::AcquireToken { ordered } => {
                self.chosen.extend(ordered.filter(|key| !self.chosen.contains(key)));
                // A chosen instance is not promoted here, as the choice is what is tested.
                if ordered.is_none_or(|key| self.instance(key).leads) {
                    self.handle(Input::TokenAcquired(Some(TOKEN)));
                }
            }
            Action::OrderPromotion { .. } => {
                self.handle(Input::PromotionOrdered(OrderOutcome::Accepted));
            }
            Action::StepDown(key, _) => self.handle(Input::SteppedDown(key, true)),
            Action::LogEvent { .. } => {}
        }
    }
}

/// `LostPrimary` is what happens to the replica `FAR`, which alone has what the primary had, before
/// the primary is lost, what VMs have confirmed, and the instance that is chosen.
struct LostPrimary {
    far: fn(&mut Instance),
    confirmed: Option<u64>,
    chosen: Option<InstanceKey>,
}

fn answers(_: &mut Instance) {}

fn is_silent(far: &mut Instance) {
    far.received = None;
}

fn lapses(far: &mut Instance) {
    far.listed = false;
}

fn lapses_and_is_silent(far: &mut Instance) {
    (far.listed, far.received) = (false, None);
}

fn leaves(far: &mut Instance) {
    (far.listed, far.received, far.ended) = (false, None, true);
}

fn starts_again_without_its_log(far: &mut Instance) {
    (far.life, far.received) = (2, Some(0));
}

/// Guards against a promotion that loses acknowledged commits because a replica that had received
/// them is silent, or the directory no longer lists it.
#[rstest]
#[case::all_answer(LostPrimary { far: answers, confirmed: None, chosen: Some(FAR) })]
#[case::the_bound_suffices(LostPrimary { far: is_silent, confirmed: Some(10), chosen: Some(NEAR) })]
#[case::silent(LostPrimary { far: is_silent, confirmed: Some(20), chosen: None })]
#[case::silent_and_a_vm_too(LostPrimary { far: is_silent, confirmed: None, chosen: None })]
#[case::lapsed(LostPrimary { far: lapses, confirmed: Some(20), chosen: None })]
#[case::lapsed_and_a_vm_lost(LostPrimary { far: lapses, confirmed: None, chosen: None })]
#[case::lapsed_but_not_needed(LostPrimary { far: lapses, confirmed: Some(9), chosen: Some(NEAR) })]
#[case::lapsed_and_silent(LostPrimary {
    far: lapses_and_is_silent,
    confirmed: Some(20),
    chosen: None,
})]
#[case::lapsed_and_silent_and_a_vm_lost(LostPrimary {
    far: lapses_and_is_silent,
    confirmed: None,
    chosen: None,
})]
#[case::left(LostPrimary { far: leaves, confirmed: Some(20), chosen: None })]
#[case::left_and_a_vm_lost(LostPrimary { far: leaves, confirmed: None, chosen: None })]
#[case::left_but_not_needed(LostPrimary { far: leaves, confirmed: Some(10), chosen: Some(NEAR) })]
#[case::started_again(LostPrimary {
    far: starts_again_without_its_log,
    confirmed: None,
    chosen: None,
})]
fn a_lost_primary_is_replaced_only_by_an_instance_with_all_commits(#[case] case: LostPrimary) {
    let mut harness = Harness::settled();
    harness.confirmed = case.confirmed;
    harness.silence(PRIMARY);
    harness.change(FAR, case.far);
    harness.pass(20_000);
    let expected: Vec<InstanceKey> = case.chosen.into_iter().collect();
    assert_eq!(harness.chosen, expected);
}

/// `RebornCase` is what VMs have told when the replica `FAR`, which had all commits, has started again
/// without its log and the directory still lists the former start.
struct RebornCase {
    confirmed: Option<u64>,
    received: u64,
}

/// Guards against the loss of acknowledged commits because the answer of a replica that has started
/// again behind a cut from the store is taken for that of its former start.
#[rstest]
#[case::all_vms_tell(RebornCase { confirmed: Some(20), received: 0 })]
#[case::a_vm_is_lost(RebornCase { confirmed: None, received: 0 })]
#[case::it_has_received_a_part(RebornCase { confirmed: None, received: 15 })]
fn an_answer_after_a_start_that_is_not_listed_proves_nothing(#[case] case: RebornCase) {
    let mut harness = Harness::settled();
    (harness.confirmed, harness.mark) = (case.confirmed, Some(20));
    harness.silence(PRIMARY);
    harness.instance(FAR).received = Some(case.received);
    harness.pass(3_500);
    harness.change(FAR, |far| far.listed = false);
    harness.pass(10_000);
    harness.change(FAR, |far| (far.listed, far.life) = (true, 2));
    harness.pass(10_000);
    assert_eq!(harness.chosen, [], "nobody but the primary has all commits");
    harness.change(PRIMARY, |primary| primary.received = Some(20));
    harness.pass(1_000);
    assert!(!harness.keeper.is_promoting());
}

/// Guards against a database without writes because the primary was known to have commits that no
/// replica had received, and against trust in a list that is not followed.
#[test]
fn members_whose_entries_last_prove_what_lies_before_the_mark() {
    let mut harness = Harness::settled();
    (harness.confirmed, harness.mark) = (Some(21), Some(21));
    harness.silence(PRIMARY);
    harness.synced = false;
    harness.pass(12_000);
    assert_eq!(harness.chosen, [], "the entries may have lapsed");
    harness.synced = true;
    harness.pass(6_000);
    assert_eq!(harness.chosen, [], "a start that has ended may still be listed");
    harness.pass(14_000);
    assert_eq!(harness.chosen, [FAR]);
}

/// `Recovery` is what ends the wait for a proof, and the instance that is chosen then.
struct Recovery {
    far: fn(&mut Instance),
    recovers: fn(&mut Harness),
    chosen: Option<InstanceKey>,
}

/// Guards against a database that stays without writes although what was waited for is back.
#[rstest]
#[case::the_primary_answers(Recovery {
    far: leaves,
    recovers: |harness| harness.change(PRIMARY, |primary| primary.received = Some(20)),
    chosen: None,
})]
#[case::the_replica_is_listed_again(Recovery {
    far: lapses,
    recovers: |harness| harness.change(FAR, |far| far.listed = true),
    chosen: Some(FAR),
})]
#[case::the_replica_answers_again(Recovery {
    far: is_silent,
    recovers: |harness| harness.change(FAR, |far| far.received = Some(20)),
    chosen: Some(FAR),
})]
#[case::another_replica_has_caught_up(Recovery {
    far: lapses,
    recovers: |harness| harness.change(NEAR, |near| near.received = Some(20)),
    chosen: Some(NEAR),
})]
fn the_wait_for_a_proof_ends_with_what_was_missing(#[case] case: Recovery) {
    let mut harness = Harness::settled();
    harness.silence(PRIMARY);
    harness.change(FAR, case.far);
    harness.pass(8_000);
    assert_eq!(harness.chosen, []);
    (case.recovers)(&mut harness);
    harness.pass(8_000);
    let expected: Vec<InstanceKey> = case.chosen.into_iter().collect();
    assert_eq!(harness.chosen, expected);
    let leads = case.chosen.is_none();
    assert_eq!(!harness.keeper.is_promoting(), leads, "the primary leads on");
}

/// Guards against a promotion right after an outage of the store, when an instance that lacks
/// commits is listed again before the others (review/2).
#[test]
fn entries_that_lapsed_in_an_outage_of_the_store_replace_nobody() {
    let mut harness = Harness::settled();
    for key in [PRIMARY, NEAR, FAR] {
        harness.instance(key).listed = false;
    }
    harness.list();
    harness.change(NEAR, |near| near.listed = true);
    harness.pass(1_900);
    harness.change(FAR, |far| far.listed = true);
    harness.change(PRIMARY, |primary| primary.listed = true);
    harness.pass(5_000);
    assert_eq!(harness.chosen, []);
    assert!(harness.actions.iter().all(|action| !matches!(action, Action::InformVms(_))));
    assert!(!harness.keeper.is_promoting());
}

/// Guards against a database without writes because the entry of its primary stays away, and against
/// the loss of commits when it is replaced.
#[rstest]
#[case::the_other_has_all(20, Some(NEAR))]
#[case::the_other_lacks_some(10, None)]
fn a_primary_without_an_entry_is_replaced_while_it_answers(
    #[case] near: u64,
    #[case] chosen: Option<InstanceKey>,
) {
    let mut harness = Harness::settled();
    harness.change(FAR, lapses_and_is_silent);
    harness.change(NEAR, |instance| instance.received = Some(near));
    harness.change(PRIMARY, |primary| primary.listed = false);
    harness.pass(1_900);
    assert_eq!(harness.chosen, [], "its entry may come back");
    harness.pass(6_000);
    let expected: Vec<InstanceKey> = chosen.into_iter().collect();
    assert_eq!(harness.chosen, expected);
}

/// Guards against a database that can never replace its primary again after a replica has left, and
/// against a promotion in which what that replica had acknowledged is forgotten.
#[rstest]
#[case::the_other_has_caught_up(25, Some(NEAR))]
#[case::the_other_receives_nothing(10, None)]
fn a_replica_that_left_counts_until_another_has_what_it_acknowledged(
    #[case] near: u64,
    #[case] chosen: Option<InstanceKey>,
) {
    let mut harness = Harness::settled();
    harness.change(FAR, leaves);
    harness.change(PRIMARY, |primary| primary.received = Some(25));
    harness.change(NEAR, |instance| instance.received = Some(near));
    harness.pass(4_000);
    let known: Vec<InstanceKey> = harness.keeper.members().iter().map(|known| known.key).collect();
    assert_eq!(known.contains(&FAR), chosen.is_none());
    // The cover suffices although a VM was lost as well.
    harness.silence(PRIMARY);
    harness.pass(8_000);
    let expected: Vec<InstanceKey> = chosen.into_iter().collect();
    assert_eq!(harness.chosen, expected);
}

/// `Successor` is what a new keeper knows of the members and for how long it has run when the
/// primary and a replica that is not listed do not answer, and whether it may promote.
struct Successor {
    members: &'static [MemberState],
    recorded: bool,
    passed: u64,
    chosen: Option<InstanceKey>,
}

const FAR_MEMBER: MemberState = MemberState {
    key: FAR,
    life: 1,
    primary: false,
    leaving: false,
    liveness: Liveness::Running,
    cover: None,
};

/// Guards against a keeper that takes over and does not know of an entry that lapsed before.
#[rstest]
#[case::the_record_names_it(Successor {
    members: &[FAR_MEMBER],
    recorded: true,
    passed: 9_000,
    chosen: None,
})]
#[case::the_record_names_all(Successor {
    members: &[],
    recorded: true,
    passed: 1_500,
    chosen: Some(NEAR),
})]
#[case::its_vm_remembers_it(Successor {
    members: &[FAR_MEMBER],
    recorded: false,
    passed: 9_000,
    chosen: None,
})]
#[case::entries_may_not_be_back(Successor {
    members: &[],
    recorded: false,
    passed: 1_900,
    chosen: None,
})]
#[case::entries_are_back(Successor {
    members: &[],
    recorded: false,
    passed: 9_000,
    chosen: Some(NEAR),
})]
fn a_new_keeper_reckons_with_members_that_are_not_listed(#[case] case: Successor) {
    let silent = |key| Instance { received: None, ..instance(key, 20) };
    let far = Instance { listed: false, ..silent(FAR) };
    let instances = vec![silent(PRIMARY), instance(NEAR, 10), far];
    let mut harness = Harness::new(case.members, case.recorded, instances);
    harness.pass(case.passed);
    let expected: Vec<InstanceKey> = case.chosen.into_iter().collect();
    assert_eq!(harness.chosen, expected);
}

/// Guards against a database without writes after its primary is back under another name: the keeper
/// takes it for a replica, and leaves the replicas stopped.
#[test]
fn a_primary_that_is_back_under_another_name_leads_on() {
    const SUCCESSOR: InstanceKey = InstanceKey(4);
    let mut harness = Harness::settled();
    harness.confirmed = Some(20);
    harness.silence(PRIMARY);
    harness.change(FAR, leaves);
    harness.pass(5_000);
    assert!(harness.keeper.is_promoting());
    harness.change(PRIMARY, leaves);
    harness.instances.push(Instance { leads: true, ..instance(SUCCESSOR, 20) });
    harness.actions.clear();
    harness.list();
    harness.pass(2_000);
    assert_eq!(harness.keeper.primary(), Some(SUCCESSOR));
    assert!(!harness.keeper.is_promoting());
    assert!(harness.actions.contains(&Action::ResumeReplication(NEAR)));
}

/// Guards against a replica that stays stopped because the order to resume was lost: once the other
/// one is gone, no commit is acknowledged any more.
#[test]
fn a_lost_order_to_resume_is_repeated() {
    let mut harness = Harness::settled();
    harness.silence(PRIMARY);
    harness.silence(FAR);
    harness.pass(2_000);
    harness.change(FAR, |far| far.received = Some(20));
    harness.lost_resumes = 3;
    harness.change(PRIMARY, |primary| primary.received = Some(20));
    harness.pass(20_000);
    assert_eq!(harness.lost_resumes, 0);
    let resumes = |key| {
        let resumed =
            harness.actions.iter().filter(|action| **action == Action::ResumeReplication(key));
        resumed.count()
    };
    assert_eq!((resumes(NEAR) + resumes(FAR)), 5, "two orders, and three again");
    assert!(!harness.keeper.is_promoting());
}
