//! The home of an instance against an upstream that refuses connections for a while.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::places::Place;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::Instance;
use oleander_node::fleet::KeeperEntry;
use oleander_node::fleet::KeeperRecord;
use oleander_node::fleet::View;
use oleander_node::home::connections::LinkContext;
use oleander_node::home::instance::HomeContext;
use oleander_node::home::instance::InstanceHome;
use oleander_node::primaries::Primaries;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::store::StoreRevision;
use oleander_ports::upstream::Failure;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::InstanceCommand;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Message;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::TransactionState;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use rstest::rstest;

/// `Fake` is an instance that can refuse connections, hang and break them.
#[derive(Default)]
struct Fake {
    full: AtomicBool,
    hangs: AtomicBool,
    open: AtomicUsize,
    /// The connections that were asked for.
    tried: AtomicUsize,
    /// What happens while a statement runs.
    meanwhile: Mutex<Option<Box<dyn Fn() + Send>>>,
}

struct FakeUpstreams(Arc<Fake>);

struct FakeLink(Arc<Fake>);

#[async_trait]
impl Upstreams for FakeUpstreams {
    fn received_point(&self, _: &Reply) -> Option<LogPoint> {
        None
    }

    async fn open(&self, _: &Target, _: &str) -> Result<Box<dyn Link>, LinkError> {
        self.0.tried.fetch_add(1, Ordering::AcqRel);
        if self.0.full.load(Ordering::Acquire) {
            let failure = Failure { kind: FailureKind::TooManyConnections, detail: String::new() };
            return Err(LinkError::Refused(failure));
        }
        self.0.open.fetch_add(1, Ordering::AcqRel);
        Ok(Box::new(FakeLink(self.0.clone())))
    }
}

#[async_trait]
impl Link for FakeLink {
    async fn exchange(&mut self, messages: &[Message<'_>]) -> Result<Vec<Reply>, LinkError> {
        if self.0.hangs.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        if let Some(meanwhile) = &*self.0.meanwhile.lock().unwrap() {
            meanwhile();
        }
        let state = |command: &InstanceCommand<'_>| match command {
            InstanceCommand::Begin { .. } => TransactionState::Open,
            _ => TransactionState::Idle,
        };
        let reply = |message: &Message<'_>| Reply {
            rows: Vec::new(),
            outcome: Ok("signature".to_owned()),
            state: state(&message.command),
            point: None,
        };
        Ok(messages.iter().map(reply).collect())
    }

    fn is_open(&mut self) -> bool {
        true
    }
}

impl Drop for FakeLink {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Lets the keeper's record name a primary.
fn name_primary(fleet: &Fleet, primary: Option<InstanceKey>) {
    let record = KeeperRecord { holder: None, duty: 1, primary: None, ordered: None };
    let kept = KeeperEntry {
        holder: None,
        primary,
        ordered: None,
        record: Arc::new(record),
        revision: StoreRevision(1),
    };
    let keepers = Arc::new([(DatabaseId(1), kept)].into());
    fleet.set_view(View { revision: StoreRevision(1), keepers, ..View::default() });
}

fn home(fake: &Arc<Fake>) -> (Arc<InstanceHome>, TimerService) {
    let (home, timers, _) = home_with_fleet(fake);
    (home, timers)
}

fn home_with_fleet(fake: &Arc<Fake>) -> (Arc<InstanceHome>, TimerService, Arc<Fleet>) {
    let timers = TimerService::start(Clock::new());
    let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
    name_primary(&fleet, Some(InstanceKey(1)));
    fleet.mark_synced(timers.now());
    fleet.set_leased_until(timers.now() + Span::from_secs(60));
    fleet.set_join_revision(StoreRevision(1));
    let links = LinkContext {
        upstreams: Arc::new(FakeUpstreams(fake.clone())),
        timers: timers.clone(),
        journal: Journal::new("test", timers.clock()),
    };
    let parts = HomeContext { links, primaries: Arc::new(Primaries::new(fleet.clone())) };
    let instance = Instance {
        key: InstanceKey(1),
        database: DatabaseId(1),
        place: Place::default(),
        leaving_since: None,
        entry: DirectoryEntry {
            instance: "i-1".to_owned(),
            life: 1,
            database: "ledger".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: String::new(),
            slots: 2,
            leaving: false,
            primary: true,
        },
    };
    (Arc::new(InstanceHome::new(Arc::new(parts), &instance, 16)), timers, fleet)
}

fn write() -> HomeRequest {
    HomeRequest {
        statement: "1".to_owned(),
        workspace: "rye".to_owned(),
        instance: "i-1".to_owned(),
        values: Vec::new(),
        work: Work::Write("loaf rye".to_owned()),
        scope: Scope::Single,
        freshness: Freshness::default(),
        limit: Span::from_millis(300),
        patience: Span::from_millis(300),
        rest: Span::from_secs(1),
    }
}

async fn run(home: &Arc<InstanceHome>, timers: &TimerService) -> Result<HomeAnswer, Refusal> {
    let request = write();
    let until = timers.now() + request.patience;
    let running = home.single(&request, until);
    let timeout = || Refusal::may_have_run(RefusalCode::Timeout, "no answer in time");
    timers.within(request.limit, running).await.unwrap_or_else(|| Err(timeout()))
}

/// A home whose instance refused connections while the directory changed took the refusal for its
/// size and started nothing any more.
#[tokio::test]
async fn a_home_serves_again_once_connections_are_accepted() {
    let fake = Arc::new(Fake::default());
    let (home, timers) = home(&fake);
    fake.full.store(true, Ordering::Release);
    let refused = run(&home, &timers).await.unwrap_err();
    assert_eq!(refused.verdict, Verdict::NotRun);
    home.set_size(2, 16);
    fake.full.store(false, Ordering::Release);
    timers.sleep(Span::from_millis(400)).await;
    assert!(run(&home, &timers).await.is_ok());
}

/// Each statement tried a connection of its own at an instance that had just refused one, and held
/// a slot meanwhile.
#[tokio::test]
async fn a_full_instance_is_not_asked_by_each_statement() {
    let fake = Arc::new(Fake::default());
    let (home, timers) = home(&fake);
    fake.full.store(true, Ordering::Release);
    for _ in 0..5 {
        let refused = run(&home, &timers).await.unwrap_err();
        assert_eq!(refused.code, RefusalCode::QueueFull);
    }
    assert_eq!(fake.tried.load(Ordering::Acquire), 1);
}

/// Statements that are given up must leave neither slots nor connections in use.
#[tokio::test]
async fn statements_that_time_out_leave_nothing_behind() {
    let fake = Arc::new(Fake::default());
    let (home, timers) = home(&fake);
    fake.hangs.store(true, Ordering::Release);
    for _ in 0..6 {
        let failed = run(&home, &timers).await.unwrap_err();
        assert_eq!(failed.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(fake.open.load(Ordering::Acquire), 0);
    assert_eq!(home.connections(), 0);
    fake.hangs.store(false, Ordering::Release);
    assert!(run(&home, &timers).await.is_ok());
    assert_eq!(home.connections(), 1);
}

/// `Named` is what the record names before a write and when it is confirmed, and what the caller
/// is told.
struct Named {
    before: Option<InstanceKey>,
    after: Option<InstanceKey>,
    told: Option<Verdict>,
}

const THIS: Option<InstanceKey> = Some(InstanceKey(1));
const OTHER: Option<InstanceKey> = Some(InstanceKey(2));

/// A replica that joined during a promotion confirmed a write that the promoted one lacked.
#[rstest]
#[case::this(Named { before: THIS, after: THIS, told: None })]
#[case::nobody_from_the_start(Named { before: None, after: None, told: Some(Verdict::NotRun) })]
#[case::other_from_the_start(Named { before: OTHER, after: OTHER, told: Some(Verdict::NotRun) })]
#[case::nobody_at_the_end(Named { before: THIS, after: None, told: Some(Verdict::Ran) })]
#[case::other_at_the_end(Named { before: THIS, after: OTHER, told: Some(Verdict::Ran) })]
#[tokio::test]
async fn a_write_counts_only_while_the_record_names_the_instance(#[case] named: Named) {
    let fake = Arc::new(Fake::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    name_primary(&fleet, named.before);
    let changed = fleet.clone();
    *fake.meanwhile.lock().unwrap() = Some(Box::new(move || name_primary(&changed, named.after)));
    let told = run(&home, &timers).await.err().map(|refusal| refusal.verdict);
    assert_eq!(told, named.told);
}

/// `Trouble` is what a VM has with the store.
enum Trouble {
    PrimaryWithdrawn,
    LeaseEnded,
    NotCurrent,
    NotSeenInTheRoster,
}

/// Whoever replaces a primary does not wait for such a VM, or has told it. Where the VM alone is at
/// fault the code says so, and another home is tried.
#[rstest]
#[case::primary_withdrawn(Trouble::PrimaryWithdrawn, RefusalCode::NotPrimary)]
#[case::lease_ended(Trouble::LeaseEnded, RefusalCode::NotCurrent)]
#[case::not_current(Trouble::NotCurrent, RefusalCode::NotCurrent)]
#[case::not_seen_in_the_roster(Trouble::NotSeenInTheRoster, RefusalCode::NotCurrent)]
#[tokio::test]
async fn a_vm_that_no_promotion_waits_for_starts_no_write(
    #[case] trouble: Trouble,
    #[case] code: RefusalCode,
) {
    let fake = Arc::new(Fake::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    match trouble {
        Trouble::PrimaryWithdrawn => fleet.withdraw_primary(DatabaseId(1), StoreRevision(2)),
        Trouble::LeaseEnded => fleet.set_leased_until(timers.now()),
        Trouble::NotCurrent => timers.sleep(Span::from_secs(5)).await,
        Trouble::NotSeenInTheRoster => fleet.set_join_revision(StoreRevision(2)),
    }
    let refused = run(&home, &timers).await.unwrap_err();
    assert_eq!((refused.verdict, refused.code), (Verdict::NotRun, code));
}
