//! Tests of the administration of instances against the simulated database group.

mod common;

use common::LONG_TIMEOUT;
use common::SHORT_TIMEOUT;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::verdict::Verdict;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_upstream::errors::Error;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;
use rstest::rstest;

fn admin(group: &Group, ordinal: usize) -> Admin {
    Admin::new(&group.addresses()[ordinal].to_string(), &PoolOptions::default()).unwrap()
}

#[tokio::test]
async fn promotion_goes_through_fence_promote_and_follow() {
    let group = common::group(GroupOptions::default()).await;
    let (old, new) = (admin(&group, 0), admin(&group, 1));
    assert_eq!(old.fence(Term(2), LONG_TIMEOUT).await.unwrap().role, Role::Fenced);
    assert_eq!(new.fence(Term(2), LONG_TIMEOUT).await.unwrap().fence, Term(2));
    let promoted = new.promote(Term(2), LONG_TIMEOUT).await.unwrap();
    assert_eq!((promoted.role, promoted.point.term), (Role::Primary, Term(2)));
    let rejoined = old.follow(Term(2), LONG_TIMEOUT).await.unwrap();
    assert_eq!((rejoined.role, rejoined.start), (Role::Replica, Position(1)));
}

/// `RoleChange` is a request to an instance at term 1, by the term that it names.
enum RoleChange {
    Fence(u64),
    Promote(u64),
    Follow(u64),
}

#[rstest]
#[case::fence_at_a_promised_term(RoleChange::Fence(1))]
#[case::promote_without_fence(RoleChange::Promote(2))]
#[case::follow_without_primary(RoleChange::Follow(2))]
#[case::follow_an_older_term(RoleChange::Follow(0))]
#[tokio::test]
async fn role_change_at_a_wrong_term_is_refused(#[case] change: RoleChange) {
    let group = common::group(GroupOptions::default()).await;
    let admin = admin(&group, 1);
    let answer = match change {
        RoleChange::Fence(term) => admin.fence(Term(term), LONG_TIMEOUT).await,
        RoleChange::Promote(term) => admin.promote(Term(term), LONG_TIMEOUT).await,
        RoleChange::Follow(term) => admin.follow(Term(term), LONG_TIMEOUT).await,
    };
    assert_eq!(answer, Err(Error::WrongTerm));
}

#[rstest]
#[case::partition(|group: &Group| group.partition(0), Verdict::NotRun, Term(1))]
#[case::kill(|group: &Group| group.kill(0), Verdict::NotRun, Term(1))]
#[case::answer_lost(|group: &Group| group.relay(0).lose_answers("oleander_fence", 1), Verdict::MayHaveRun, Term(2))]
#[tokio::test]
async fn verdict_of_a_failed_fence_is_correct(
    #[case] fault: fn(&Group),
    #[case] verdict: Verdict,
    #[case] fence: Term,
) {
    let group = common::group(GroupOptions::default()).await;
    let admin = admin(&group, 0);
    admin.status(LONG_TIMEOUT).await.unwrap();
    fault(&group);
    let error = admin.fence(Term(2), SHORT_TIMEOUT).await.unwrap_err();
    assert_eq!((error.verdict(), group.status(0).fence), (verdict, fence));
}

#[tokio::test]
async fn status_replaces_a_silent_connection() {
    let group = common::group(GroupOptions::default()).await;
    let admin = admin(&group, 0);
    admin.status(LONG_TIMEOUT).await.unwrap();
    group.relay(0).silence_established();
    assert!(admin.status(SHORT_TIMEOUT * 8).await.is_ok());
}
