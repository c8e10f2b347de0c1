//! Calls to the store that a VM passes on for another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_membership::leased::LEASE_RULES;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_node::control::relay::RelayedStore;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::View;
use oleander_peer::client::PeerClient;
use oleander_peer::connection::ConnectionOptions;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::StoreCall;
use oleander_peer::messages::StoreFailure;
use oleander_peer::messages::StoreReply;
use oleander_peer::server;
use oleander_peer::traffic::Traffic;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::LeaseGrant;
use oleander_ports::store::LeaseId;
use oleander_ports::store::StoreError;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

#[path = "support/lease_store.rs"]
mod lease_store;
mod support;

use lease_store::LeaseStore;

const REQUESTED: Span = Span::from_secs(4);
const SHORTER: Span = Span::from_secs(2);
const LEASE: LeaseId = LeaseId { number: 7, era: 0 };

fn fleet_of(members: Vec<LeasedMember>) -> Arc<Fleet> {
    let fleet = Fleet::new(Arc::new(support::settings()), TimerService::start(Clock::new()));
    let mut roster = LeasedRoster::default();
    members.into_iter().for_each(|member| roster.put(member));
    fleet.set_view(View { roster: Arc::new(roster), ..View::default() });
    Arc::new(fleet)
}

fn peer_client() -> PeerClient {
    PeerClient::new(ConnectionOptions::default())
}

/// `PassedCase` is a call that another VM asks for, the TTL that the store applies, and the answer.
struct PassedCase {
    call: StoreCall,
    applied: Span,
    reply: StoreReply,
    revoked: &'static [LeaseId],
}

const REFUSED: StoreReply = StoreReply::Failed(StoreFailure::Refused);

/// Guards against a VM that counts a lease which it got through another VM for longer than it runs: a
/// VM of an earlier build counts it by the TTL that it has requested.
#[rstest]
#[case::earlier_grant_as_requested(PassedCase {
    call: StoreCall::Grant { ttl: REQUESTED },
    applied: REQUESTED,
    reply: StoreReply::Granted { number: 7, era: 0 },
    revoked: &[],
})]
#[case::earlier_grant_shorter(PassedCase {
    call: StoreCall::Grant { ttl: REQUESTED },
    applied: SHORTER,
    reply: REFUSED,
    revoked: &[LEASE],
})]
#[case::earlier_renewal_as_requested(PassedCase {
    call: StoreCall::Renew { number: 7, era: 0 },
    applied: REQUESTED,
    reply: StoreReply::Done,
    revoked: &[],
})]
#[case::earlier_renewal_shorter(PassedCase {
    call: StoreCall::Renew { number: 7, era: 0 },
    applied: SHORTER,
    reply: REFUSED,
    revoked: &[],
})]
#[case::grant(PassedCase {
    call: StoreCall::GrantLease { ttl: REQUESTED },
    applied: SHORTER,
    reply: StoreReply::Leased { number: 7, era: 0, ttl: SHORTER },
    revoked: &[],
})]
#[case::renewal(PassedCase {
    call: StoreCall::RenewLease { number: 7, era: 0 },
    applied: SHORTER,
    reply: StoreReply::Renewed { ttl: Some(SHORTER) },
    revoked: &[],
})]
#[tokio::test]
async fn a_lease_call_for_another_vm_tells_the_ttl_that_applies(#[case] case: PassedCase) {
    let fleet = fleet_of(Vec::new());
    let own = LeaseStore::new(fleet.timers.clone(), case.applied, Span::ZERO);
    let store = RelayedStore::new(own.clone(), fleet, peer_client());
    // Only a VM whose own calls succeed passes calls on.
    store.read("key").await.unwrap();
    assert_eq!(store.serve(case.call).await, case.reply);
    assert_eq!(*own.revoked.lock().unwrap(), case.revoked);
}

/// `Relay` is another VM that answers lease calls, and keeps what it was asked.
struct Relay {
    asked: Arc<Mutex<Vec<StoreCall>>>,
    _stop: watch::Sender<bool>,
}

async fn start_relay(name: &str, leases: u32) -> (Relay, LeasedMember) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers: SocketAddr = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let asked = Arc::new(Mutex::new(Vec::new()));
    let received = asked.clone();
    tokio::spawn(server::serve(listener, stopped, Traffic::default(), move |incoming| {
        let received = received.clone();
        async move {
            let Request::Store(call) = incoming.request else { return };
            let reply = match call {
                StoreCall::GrantLease { .. } => {
                    StoreReply::Leased { number: 7, era: 0, ttl: SHORTER }
                }
                StoreCall::RenewLease { .. } => StoreReply::Renewed { ttl: Some(SHORTER) },
                _ => StoreReply::Granted { number: 7, era: 0 },
            };
            received.lock().unwrap().push(call);
            let _ = incoming.responder.send(Reply::Store(reply)).await;
        }
    }));
    let member = LeasedMember {
        name: name.to_owned(),
        place: Place::default(),
        peers,
        life: 1,
        cpu: 0,
        leaving: false,
        promotion: 0,
        leases,
        lent: None,
    };
    (Relay { asked, _stop: stop }, member)
}

/// Guards against a lease whose TTL is not known, since a VM of an earlier build has passed the call
/// on, and against a call that such a VM cannot read.
#[tokio::test]
async fn lease_calls_go_through_vms_that_tell_the_ttl() {
    let (earlier, earlier_member) = start_relay("earlier", 0).await;
    let (present, present_member) = start_relay("present", LEASE_RULES).await;
    let fleet = fleet_of(vec![earlier_member.clone(), present_member]);
    let own = LeaseStore::new(fleet.timers.clone(), REQUESTED, Span::ZERO);
    own.away.store(true, Ordering::Release);
    let store = RelayedStore::new(own.clone(), fleet, peer_client());
    for _ in 0..8 {
        let granted = LeaseGrant { lease: LEASE, ttl: SHORTER };
        assert_eq!(store.grant(REQUESTED).await, Ok(granted));
        assert_eq!(store.renew(LEASE).await, Ok(Some(SHORTER)));
    }
    assert_eq!(present.asked.lock().unwrap().len(), 16);
    let alone = RelayedStore::new(own, fleet_of(vec![earlier_member]), peer_client());
    assert_eq!(alone.grant(REQUESTED).await, Err(StoreError::Unavailable));
    assert_eq!(alone.renew(LEASE).await, Err(StoreError::Unavailable));
    assert_eq!(*earlier.asked.lock().unwrap(), []);
}
