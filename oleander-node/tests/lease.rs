//! How long a VM goes by its lease, against the end of the lease as the store counts it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use oleander_config::snapshot::Snapshot;
use oleander_core::time::Span;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_node::control::lease::Leaseholder;
use oleander_node::fleet::Fleet;
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

const POLL_INTERVAL: Span = Span::from_millis(5);

/// `Holder` is a VM that holds a lease of a store.
struct Holder {
    fleet: Arc<Fleet>,
    store: Arc<LeaseStore>,
    task: JoinHandle<()>,
}

impl Holder {
    fn start(settings: NodeSettings, applied: Span, answer_delay: Span) -> Self {
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
            life: 1,
            rates: Rates::new(fleet.vm, limiter, timers, peers, Box::new(|_| None)),
            held_lease: watch::Sender::new(None),
        };
        Self { fleet, store, task: tokio::spawn(holder.run()) }
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
        self.task.abort();
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
    holder.fleet.timers.sleep(Span::from_millis(50)).await;
    assert_eq!(holder.compare(Span::from_millis(2_000)).await, Span::ZERO);
}

/// Guards against leases that end again and again, since a renewal waits for the answer to the one
/// before, or for the record.
#[tokio::test]
async fn a_short_lease_lasts_though_answers_are_slow() {
    let slow = Span::from_millis(600);
    let holder = Holder::start(support::settings(), Span::from_millis(1_000), slow);
    // No renewal can be sent before the grant has been answered.
    holder.compare(Span::from_millis(1_300)).await;
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
