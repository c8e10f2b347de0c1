//! Tests of when a starting VM uses its shares while another VM hands its own over.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_node::control::shares;
use oleander_node::control::shares::AppliedView;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::View;
use oleander_node::rates::Rates;
use oleander_peer::client::PeerClient;
use oleander_ports::store::StoreRevision;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use rstest::rstest;
use tokio::sync::watch;

/// The time for which loans of the leaving VM run.
const LENT: Span = Span::from_millis(400);

fn view(revision: u64, lent: Option<Span>) -> View {
    let mut roster = LeasedRoster::default();
    roster.put(LeasedMember {
        name: "other".to_owned(),
        place: Place::default(),
        peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        life: 1,
        cpu: 0,
        leaving: lent.is_some(),
        promotion: 0,
        leases: 0,
        lent,
    });
    View { revision: StoreRevision(revision), roster: Arc::new(roster), ..View::default() }
}

/// A VM that starts must not use shares while loans run of a VM that left during the start: tokens
/// would be spent twice.
#[rstest]
#[case::stays(None)]
#[case::leaves(Some(LENT))]
#[tokio::test]
async fn a_starting_vm_waits_for_loans_of_a_vm_that_leaves_meanwhile(#[case] lent: Option<Span>) {
    let timers = TimerService::start(Clock::new());
    let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
    let journal = Journal::new("test", timers.clock());
    let limiter = RateLimiter::new(VmId(1), 1);
    let address_of = Box::new(|_| None);
    let rates = Rates::new(VmId(1), limiter, timers.clone(), PeerClient::default(), address_of);
    fleet.set_view(view(1, None));
    fleet.mark_synced(timers.now());
    fleet.set_leased_until(timers.now() + Span::from_secs(60));
    let (apply, mut applied) = watch::channel(AppliedView::default());
    let following =
        tokio::spawn(shares::follow(fleet.clone(), rates.clone(), journal.clone(), apply));
    applied.wait_for(|at| at.revision == StoreRevision(1)).await.unwrap();
    let left = timers.now();
    fleet.set_view(view(2, lent));
    applied.wait_for(|at| at.revision == StoreRevision(2)).await.unwrap();
    fleet.enable_shares(timers.now());
    while !journal.recent().iter().any(|record| record.event == "shares-active") {
        assert!(timers.now().since(left) < Span::from_secs(5), "shares are not in use");
        timers.sleep(Span::from_millis(5)).await;
    }
    let waited = timers.now().since(left);
    assert_eq!(LENT <= waited, lent.is_some(), "shares are in use after {waited:?}");
    following.abort();
}

/// Guards against a VM that reports its shares as in use while it still waits for loans of earlier
/// owners: statements were sent to it and refused, since it had no tokens.
#[tokio::test]
async fn shares_that_wait_for_loans_are_not_reported_as_in_use() {
    const WAIT: Span = Span::from_millis(300);
    let timers = TimerService::start(Clock::new());
    let address_of = Box::new(|_| None);
    let limiter = RateLimiter::new(VmId(1), 1);
    let rates = Rates::new(VmId(1), limiter, timers.clone(), PeerClient::default(), address_of);
    let until = timers.now() + Span::from_secs(60);
    let owners = [Some(VmId(1)), Some(VmId(2))];
    rates.suspend_shares(&owners);
    assert!(!rates.uses_shares(), "the shares are suspended");
    rates.activate_shares(&owners, until, timers.now());
    assert!(rates.uses_shares(), "the shares are active");
    rates.set_shares(&owners[1..], until, WAIT);
    assert!(!rates.uses_shares(), "the other VM owns all shares");
    rates.set_shares(&owners[..1], until, WAIT);
    assert!(!rates.uses_shares(), "a loan of the other VM may be in use");
    timers.sleep(WAIT).await;
    assert!(rates.uses_shares(), "all loans have ended");
}
