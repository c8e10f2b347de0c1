//! How long a VM goes by its lease, against the end of the lease as the store counts it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_config::snapshot::Snapshot;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_membership::leased::LEASE_RULES;
use oleander_membership::leased::LeasedMember;
use oleander_node::control::lease::Leaseholder;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::View;
use oleander_node::rates::Rates;
use oleander_node::settings::NodeSettings;
use oleander_peer::client::PeerClient;
use oleander_ports::sources::Sources;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use rstest::rstest;
use tokio::sync::watch;
use tokio::task::JoinHandle;

#[path = "support/lease_store.rs"]
mod lease_store;
#[path = "support/record.rs"]
mod record;
mod support;

use lease_store::LeaseStore;

const SOURCES: Sources = Sources {
    configuration_key: "config",
    directory_prefix: "instances/",
    evacuation_prefix: "evacuate/",
    own_prefix: "own/",
    decode_configuration: |_| Ok(Snapshot::default()),
    decode_entry: |_, _| Err("none".to_owned()),
};

/// The number of the run of the VM's process.
const LIFE: u64 = 1;

const POLL_INTERVAL: Span = Span::from_millis(5);

/// `Holder` is a VM that holds a lease of a store.
struct Holder {
    fleet: Arc<Fleet>,
    store: Arc<LeaseStore>,
    holder: Option<Leaseholder>,
    task: Option<JoinHandle<()>>,
}

impl Holder {
    fn start(settings: NodeSettings, applied: Span, answer_delay: Span) -> Self {
        Self::prepare(settings, applied, answer_delay).run()
    }

    /// Creates a VM that takes no lease yet.
    fn prepare(settings: NodeSettings, applied: Span, answer_delay: Span) -> Self {
        let timers = TimerService::start(Clock::new());
        let store = LeaseStore::new(timers.clone(), applied, answer_delay);
        let fleet = Arc::new(Fleet::new(Arc::new(settings), timers.clone()));
        let limiter = RateLimiter::new(fleet.vm, 1);
        let peers = PeerClient::default();
        let holder = Leaseholder {
            fleet: fleet.clone(),
            store: store.clone(),
            sources: SOURCES,
            peers: peers.clone(),
            journal: Journal::new("test", timers.clock()),
            life: LIFE,
            rates: Rates::new(fleet.vm, limiter, timers, peers, Box::new(|_| None)),
            held_lease: watch::Sender::new(None),
        };
        Self { fleet, store, holder: Some(holder), task: None }
    }

    fn run(mut self) -> Self {
        self.task = self.holder.take().map(|holder| tokio::spawn(holder.run()));
        self
    }

    /// Compares the two counts of the lease for a time. Returns the time without a lease since the
    /// first one.
    async fn compare(&self, time: Span) -> Span {
        let started = self.fleet.now();
        let (mut without, mut last) = (Span::ZERO, started);
        while self.fleet.now().since(started) < time {
            self.fleet.timers.sleep(POLL_INTERVAL).await;
            // Read before the end at the store, which only moves forward in these cases.
            let leased_until = self.fleet.leased_until();
            let ends_at = self.store.ends_at();
            assert!(leased_until <= ends_at, "{leased_until:?} after {ends_at:?}");
            let now = self.fleet.now();
            if leased_until.0 != 0 && leased_until < now {
                without = without + now.since(last);
            }
            last = now;
        }
        without
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.task.iter().for_each(JoinHandle::abort);
    }
}

/// Guards against a VM that confirms commits, reads the latest data, uses shares or has duties after
/// its lease has ended, since the store applies another TTL than the requested one.
#[rstest]
#[case::as_requested(Span::from_secs(4), Span::ZERO)]
#[case::shorter(Span::from_millis(2_000), Span::ZERO)]
#[case::shortest(Span::from_millis(1_000), Span::ZERO)]
#[case::longer(Span::from_secs(6), Span::ZERO)]
#[case::slow_answers(Span::from_millis(1_000), Span::from_millis(300))]
#[tokio::test]
async fn a_lease_counts_no_longer_than_at_the_store(
    #[case] applied: Span,
    #[case] answer_delay: Span,
) {
    let holder = Holder::start(support::settings(), applied, answer_delay);
    assert_eq!(holder.compare(Span::from_millis(1_500)).await, Span::ZERO);
    holder.store.away.store(true, Ordering::Release);
    holder.compare(Span::from_millis(1_000)).await;
    let requested = holder.fleet.settings.lease_ttl();
    assert!(holder.fleet.leased_until().since(holder.fleet.now()) < requested);
}

/// Guards against a VM that counts a renewal by the TTL of the grant.
#[tokio::test]
async fn a_renewal_counts_by_the_ttl_that_it_tells() {
    let holder = Holder::start(support::settings(), Span::from_secs(4), Span::ZERO);
    holder.compare(Span::from_millis(500)).await;
    *holder.store.applied.lock().unwrap() = Span::from_millis(800);
    let shortened_at = holder.fleet.now();
    while holder.store.renewals.lock().unwrap().last().is_none_or(|at| *at < shortened_at) {
        holder.fleet.timers.sleep(POLL_INTERVAL).await;
    }
    // The answer to the renewal arrives.
    while holder.store.ends_at() < holder.fleet.leased_until() {
        holder.fleet.timers.sleep(POLL_INTERVAL).await;
        assert!(holder.fleet.now().since(shortened_at) < Span::from_millis(2_500), "still longer");
    }
    assert_eq!(holder.compare(Span::from_millis(2_000)).await, Span::ZERO);
}

/// Guards against leases that end again and again, since a renewal waits for the answer to the one
/// before, or for the record.
#[tokio::test]
async fn a_short_lease_lasts_though_answers_are_slow() {
    let slow = Span::from_millis(450);
    let holder = Holder::start(support::settings(), Span::from_millis(1_000), slow);
    // No renewal can be sent before the grant has been answered.
    holder.compare(Span::from_millis(1_100)).await;
    assert_eq!(holder.compare(Span::from_millis(3_000)).await, Span::ZERO);
}

/// Guards against renewals so rare that others take a VM which has just called the store for one that
/// does not reach it.
#[tokio::test]
async fn renewals_are_no_rarer_under_a_long_lease() {
    let settings = NodeSettings { lease: Span::from_secs(20), ..support::settings() };
    let holder = Holder::start(settings, Span::from_secs(20), Span::ZERO);
    holder.compare(Span::from_millis(2_500)).await;
    assert!(2 <= holder.store.renewals.lock().unwrap().len());
}

/// `SettleCase` is the shortest TTL that the store grants, the time within which a withdrawn key stops
/// working, and the time for which a VM may go by a lease that the store has lost.
struct SettleCase {
    shortest: Span,
    revocation: Span,
    in_use: Span,
}

/// Guards against shares, duties and commits of a VM that does not know of a restore yet, after others
/// have taken over what it had: the requested TTL may be longer than usual.
#[rstest]
#[case::usual(SettleCase {
    shortest: Span::from_secs(1),
    revocation: Span::from_secs(5),
    in_use: Span::from_secs(4),
})]
#[case::until_the_configuration_is_old(SettleCase {
    shortest: Span::from_secs(8),
    revocation: Span::from_secs(5),
    in_use: Span::from_millis(4_700),
})]
#[case::until_the_lease_ends(SettleCase {
    shortest: Span::from_secs(8),
    revocation: Span::from_secs(15),
    in_use: Span::from_secs(8),
})]
fn a_restored_store_settles_once_lost_leases_are_out_of_use(#[case] case: SettleCase) {
    let SettleCase { shortest: lease, revocation, in_use } = case;
    let settings = NodeSettings { lease, revocation, ..support::settings() };
    assert!(in_use < settings.settle_time(), "{}", settings.settle_time());
}

/// Guards against a VM that joins a restored store and uses shares that a VM which does not know of the
/// restore uses, too.
#[tokio::test]
async fn a_vm_that_joins_waits_for_the_lost_leases() {
    let lease = Span::from_secs(8);
    let settings = NodeSettings { lease, revocation: Span::from_secs(15), ..support::settings() };
    let holder = Holder::prepare(settings, lease, Span::ZERO);
    record::set_primary(&holder.fleet, None);
    let mut view = View::clone(&holder.fleet.view());
    Arc::make_mut(&mut view.keepers).values_mut().for_each(|keeper| keeper.restored = true);
    let own = LeasedMember {
        name: holder.fleet.settings.name.clone(),
        place: Place::default(),
        peers: holder.fleet.settings.peers,
        life: LIFE,
        // Another rank than before, so that the shares may have had other owners.
        cpu: 500,
        leaving: false,
        promotion: 0,
        leases: LEASE_RULES,
        lent: None,
    };
    Arc::make_mut(&mut view.roster).put(own);
    holder.fleet.set_view(view);
    let restored_at = holder.fleet.now();
    let holder = holder.run();
    let mut shares = holder.fleet.share_changes();
    let from = shares.wait_for(Option::is_some).await.unwrap().unwrap();
    assert!(lease < from.since(restored_at), "from {}", from.since(restored_at));
}
