//! The allowed regions of a request at the entry VM: the homes that may receive it, and the check at
//! the home.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::Incarnation;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::level::Level;
use oleander_core::line::Word;
use oleander_core::places::Place;
use oleander_core::places::Regions;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_node::charges::Charges;
use oleander_node::entry::forward::Forwarder;
use oleander_node::entry::forward::RequiredRole;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::Instance;
use oleander_node::fleet::View;
use oleander_node::home::connections::LinkContext;
use oleander_node::home::instance::HomeContext;
use oleander_node::home::registry::Homes;
use oleander_node::home::transactions::Transactions;
use oleander_node::home::warmup::WarmupBudget;
use oleander_node::primaries::Primaries;
use oleander_node::rates::Rates;
use oleander_peer::client::PeerClient;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::store::StoreRevision;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;
use oleander_session::work::Freshness;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use rstest::rstest;
use tokio::net::TcpListener;

/// `CountedUpstreams` counts the attempts to reach the instance and lets none succeed.
#[derive(Default)]
struct CountedUpstreams(AtomicUsize);

#[async_trait]
impl Upstreams for CountedUpstreams {
    fn received_point(&self, _: &Reply) -> Option<LogPoint> {
        None
    }

    fn leading_term(&self, _: &Reply) -> Option<Term> {
        None
    }

    async fn open(&self, _: &Target, _: Word<'_>) -> Result<Box<dyn Link>, LinkError> {
        self.0.fetch_add(1, Ordering::AcqRel);
        Err(LinkError::NotListening)
    }
}

/// `EntryVm` is a VM outside the region `coast`, in which the instance is.
struct EntryVm {
    forwarder: Forwarder,
    upstreams: Arc<CountedUpstreams>,
}

fn place(region: &str) -> Place {
    Place { region: region.to_owned(), zone: format!("zone-of-{region}") }
}

fn member(name: &str, region: &str, peers: SocketAddr) -> LeasedMember {
    LeasedMember {
        name: name.to_owned(),
        place: place(region),
        peers,
        life: 1,
        cpu: 0,
        leaving: false,
        promotion: 0,
        leases: 0,
        lent: None,
    }
}

impl EntryVm {
    fn new(members: Vec<LeasedMember>) -> Self {
        let timers = TimerService::start(Clock::new());
        let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
        let instance = Instance {
            key: InstanceKey::from_name("i-1"),
            database: DatabaseId::from_name("ledger"),
            place: place("coast"),
            leaving_since: None,
            cold_until: None,
            entry: DirectoryEntry {
                instance: support::name("i-1"),
                life: 1,
                database: support::name("ledger"),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "zone-of-coast".to_owned(),
                slots: 2,
                leaving: false,
                primary: true,
                warmup: Span::ZERO,
            },
        };
        let mut roster = LeasedRoster::default();
        members.into_iter().for_each(|member| roster.put(member));
        fleet.set_view(View {
            revision: StoreRevision(1),
            instances: Arc::new([(instance.key, instance)].into()),
            roster: Arc::new(roster),
            ..View::default()
        });
        fleet.mark_synced(timers.now());
        let upstreams = Arc::new(CountedUpstreams::default());
        let journal = Journal::new("test", timers.clock());
        let links = LinkContext {
            upstreams: upstreams.clone(),
            timers: timers.clone(),
            journal: journal.clone(),
            answers: fleet.answers().clone(),
        };
        let primaries = Arc::new(Primaries::new(fleet.clone()));
        let peers = PeerClient::default();
        let limiter = RateLimiter::new(fleet.vm, 1);
        let rates = Rates::new(fleet.vm, limiter, timers, peers.clone(), Box::new(|_| None));
        let warmup = WarmupBudget { fleet: fleet.clone(), rates: rates.clone() };
        let charges = Charges { fleet: fleet.clone(), rates };
        let home_context = HomeContext { links, primaries: primaries.clone(), warmup, charges };
        let transactions = Transactions::new(fleet.vm, Incarnation(1));
        let homes = Arc::new(Homes::new(fleet.clone(), home_context, transactions));
        let forwarder = Forwarder {
            fleet,
            primaries,
            homes,
            outliers: None,
            horizons: None,
            lag_backoff: Mutex::default(),
            peers,
            journal,
            metrics: Metrics::local(),
        };
        Self { forwarder, upstreams }
    }

    async fn run(&self, regions: &Regions) -> Refusal {
        let deadline = self.forwarder.fleet.now() + Span::from_secs(1);
        let database = DatabaseId::from_name("ledger");
        let request = read(regions);
        let ran = self.forwarder.run(database, RequiredRole::Any, request, deadline).await;
        ran.unwrap_err()
    }
}

fn read(regions: &Regions) -> HomeRequest {
    HomeRequest {
        statement: "1".to_owned(),
        workspace: "rye".to_owned(),
        instance: String::new(),
        values: Vec::new(),
        work: Work::Read("loaf".to_owned()),
        scope: Scope::Single,
        freshness: Freshness::default(),
        limit: Span::from_millis(300),
        patience: Span::from_millis(300),
        rest: Span::from_secs(1),
        level: Level::default(),
        regions: regions.clone(),
        charge: None,
    }
}

fn only(names: &[&str]) -> Regions {
    Regions::Only(names.iter().map(|&name| name.to_owned()).collect())
}

/// Returns an address of the loopback interface and the number of connections accepted there.
async fn counted_address() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    tokio::spawn(async move {
        while listener.accept().await.is_ok() {
            counter.fetch_add(1, Ordering::AcqRel);
        }
    });
    (address, accepted)
}

/// `LostHomes` is what has become of the home in the allowed region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LostHomes {
    Gone,
    Suspected,
    NotListening,
}

/// Guards against a request body that is sent to a VM outside the allowed regions because the homes
/// inside have failed. Without regions the same VM is asked, so that the test would see it.
#[rstest]
#[tokio::test]
async fn a_request_goes_to_no_vm_outside_its_regions_when_homes_are_lost(
    #[values(LostHomes::Gone, LostHomes::Suspected, LostHomes::NotListening)] lost: LostHomes,
    #[values(true, false)] restricted: bool,
) {
    let (outside, accepted) = counted_address().await;
    // Nothing listens at port 1.
    let closed = "127.0.0.1:1".parse().unwrap();
    let mut members = vec![member("outside", "hills", outside)];
    if lost != LostHomes::Gone {
        members.push(member("inside", "coast", closed));
    }
    let vm = EntryVm::new(members);
    if lost == LostHomes::Suspected {
        vm.forwarder.fleet.suspect(VmId::from_name("inside"));
    }
    let regions = if restricted { only(&["coast"]) } else { Regions::All };
    for _ in 0..2 {
        let refusal = vm.run(&regions).await;
        assert!(!restricted || refusal.verdict == Verdict::NotRun);
    }
    assert_eq!(accepted.load(Ordering::Acquire) != 0, !restricted);
    // The entry VM takes the place of the lost home.
    let is_tried = vm.upstreams.0.load(Ordering::Acquire) != 0;
    assert!(is_tried || !restricted);
}

/// Guards against a request that waits for its deadline although no place may run it.
#[rstest]
#[case::unknown_region(&["nowhere"])]
#[case::other_region(&["hills"])]
#[case::empty_intersection(&[])]
#[tokio::test]
async fn a_request_that_no_place_may_run_is_refused_at_once(#[case] names: &[&str]) {
    let vm = EntryVm::new(Vec::new());
    let started = vm.forwarder.fleet.now();
    let refusal = vm.run(&only(names)).await;
    assert_eq!(
        refusal,
        Refusal::not_run(RefusalCode::UpstreamUnavailable, "no instance in an allowed region")
    );
    assert!(vm.forwarder.fleet.now().since(started) < Span::from_millis(50));
    assert_eq!(vm.upstreams.0.load(Ordering::Acquire), 0);
}

/// Guards against an entry VM with another configuration or directory: the home checks the instance
/// itself.
#[tokio::test]
async fn a_home_refuses_a_request_that_may_not_run_at_its_instance() {
    let vm = EntryVm::new(Vec::new());
    let request = HomeRequest { instance: "i-1".to_owned(), ..read(&only(&["hills"])) };
    let refusal = vm.forwarder.homes.run(request).await.unwrap_err();
    assert_eq!(
        (refusal.code, refusal.verdict),
        (RefusalCode::UpstreamUnavailable, Verdict::NotRun)
    );
    assert_eq!(vm.upstreams.0.load(Ordering::Acquire), 0);
}
