//! The home of an instance when the instance refuses connections or does not answer, when the
//! primary is replaced during a write, and when the instance's availability zone is evacuated.

#[path = "support/record.rs"]
mod record;
mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use oleander_core::budget::HeldBytes;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::Incarnation;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::TransactionId;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::line::Word;
use oleander_core::places::Place;
use oleander_core::places::Regions;
use oleander_core::statement::Access;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::tokens::Limit;
use oleander_node::charges::Charges;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::Instance;
use oleander_node::fleet::View;
use oleander_node::home::connections::LinkContext;
use oleander_node::home::instance::HomeContext;
use oleander_node::home::instance::InstanceHome;
use oleander_node::home::warmup::WarmupBudget;
use oleander_node::primaries::Primaries;
use oleander_node::rates::Rates;
use oleander_peer::client::PeerClient;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::store::StoreRevision;
use oleander_ports::upstream::Failure;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::InstanceCommand;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Message;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::RowMeter;
use oleander_ports::upstream::Target;
use oleander_ports::upstream::TransactionState;
use oleander_ports::upstream::Upstreams;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Prepared;
use oleander_session::work::RateCharge;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use record::set_primary;
use rstest::rstest;

/// The identifier of an open transaction.
const ID: TransactionId = TransactionId { home: VmId(1), incarnation: Incarnation(1), serial: 1 };

/// The availability zone of the instance.
const ZONE: &str = "east";

/// `FakeInstance` is an instance that can refuse connections, or accept them and not answer.
#[derive(Default)]
struct FakeInstance {
    refuses_connections: AtomicBool,
    hangs: AtomicBool,
    open: AtomicUsize,
    /// The number of attempts to open a connection.
    connect_attempts: AtomicUsize,
    /// The length of the statements that a connection has prepared and of its settings, at most.
    most_held: AtomicUsize,
    /// The number of reads that ran in an open transaction.
    reads_in_transaction: AtomicUsize,
    /// Called while a statement runs.
    on_exchange: Mutex<Option<Box<dyn Fn() + Send>>>,
}

struct FakeUpstreams(Arc<FakeInstance>);

struct FakeLink {
    instance: Arc<FakeInstance>,
    /// The length of the statements that it has prepared.
    held: usize,
    state: TransactionState,
}

#[async_trait]
impl Upstreams for FakeUpstreams {
    fn received_point(&self, _: &Reply) -> Option<LogPoint> {
        None
    }

    fn leading_term(&self, _: &Reply) -> Option<Term> {
        None
    }

    async fn open(&self, _: &Target, _: Word<'_>) -> Result<Box<dyn Link>, LinkError> {
        self.0.connect_attempts.fetch_add(1, Ordering::AcqRel);
        if self.0.refuses_connections.load(Ordering::Acquire) {
            let failure = Failure { kind: FailureKind::TooManyConnections, detail: String::new() };
            return Err(LinkError::Refused(failure));
        }
        self.0.open.fetch_add(1, Ordering::AcqRel);
        let (instance, state) = (self.0.clone(), TransactionState::Idle);
        Ok(Box::new(FakeLink { instance, held: 0, state }))
    }
}

#[async_trait]
impl Link for FakeLink {
    async fn exchange(
        &mut self,
        messages: &[Message<'_>],
        _: &mut RowMeter,
    ) -> Result<Vec<Reply>, LinkError> {
        if self.instance.hangs.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        if let Some(on_exchange) = &*self.instance.on_exchange.lock().unwrap() {
            on_exchange();
        }
        let reply = |message: &Message<'_>| {
            match message.command {
                InstanceCommand::Begin { .. } => self.state = TransactionState::Open,
                InstanceCommand::Commit | InstanceCommand::Rollback => {
                    self.state = TransactionState::Idle;
                }
                InstanceCommand::Reset => self.held = 0,
                InstanceCommand::Prepare { shape, .. } => {
                    self.held += shape.as_str().len();
                    self.instance.most_held.fetch_max(self.held, Ordering::AcqRel);
                }
                InstanceCommand::Read(_) if self.state == TransactionState::Open => {
                    self.instance.reads_in_transaction.fetch_add(1, Ordering::AcqRel);
                }
                _ => {}
            }
            let outcome = Ok("signature".to_owned());
            let (rows, held) = (Vec::new(), HeldBytes::default());
            Reply { rows, outcome, state: self.state, point: None, held }
        };
        Ok(messages.iter().map(reply).collect())
    }

    fn is_open(&mut self) -> bool {
        true
    }
}

impl Drop for FakeLink {
    fn drop(&mut self) {
        self.instance.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a limiter without limits and shares.
fn rates(fleet: &Arc<Fleet>) -> Rates {
    let limiter = RateLimiter::new(fleet.vm, 1);
    let address_of = Box::new(|_| None);
    Rates::new(fleet.vm, limiter, fleet.timers.clone(), PeerClient::default(), address_of)
}

/// Returns a limiter that has no tokens for the workspace of `write`.
fn empty_rates(fleet: &Arc<Fleet>) -> Rates {
    let rates = rates(fleet);
    rates.set_limits([(WorkspaceId::from_name("rye"), Limit { rate: 1, burst: 1 })]);
    rates
}

fn home(fake: &Arc<FakeInstance>) -> (Arc<InstanceHome>, TimerService) {
    let (home, timers, _) = home_with_fleet(fake);
    (home, timers)
}

fn home_with_fleet(fake: &Arc<FakeInstance>) -> (Arc<InstanceHome>, TimerService, Arc<Fleet>) {
    home_with_rates(fake, rates)
}

/// Returns a home that charges operations to the limiter that `rates` returns.
fn home_with_rates(
    fake: &Arc<FakeInstance>,
    rates: impl Fn(&Arc<Fleet>) -> Rates,
) -> (Arc<InstanceHome>, TimerService, Arc<Fleet>) {
    let timers = TimerService::start(Clock::new());
    let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
    set_primary(&fleet, Some(InstanceKey(1)));
    fleet.mark_synced(timers.now());
    fleet.set_leased_until(timers.now() + Span::from_secs(60));
    fleet.set_join_revision(StoreRevision(1));
    let links = LinkContext {
        upstreams: Arc::new(FakeUpstreams(fake.clone())),
        timers: timers.clone(),
        journal: Journal::new("test", timers.clock()),
        answers: fleet.answers().clone(),
    };
    let home_context = HomeContext {
        links,
        primaries: Arc::new(Primaries::new(fleet.clone())),
        warmup: WarmupBudget { fleet: fleet.clone(), rates: rates(&fleet) },
        charges: Charges { fleet: fleet.clone(), rates: rates(&fleet) },
    };
    let instance = Instance {
        key: InstanceKey(1),
        database: DatabaseId(1),
        place: Place::default(),
        leaving_since: None,
        entry: DirectoryEntry {
            instance: support::name("i-1"),
            life: 1,
            database: support::name("ledger"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: ZONE.to_owned(),
            slots: 2,
            leaving: false,
            primary: true,
            warmup: Span::ZERO,
        },
        cold_until: None,
    };
    (Arc::new(InstanceHome::new(Arc::new(home_context), &instance, 16)), timers, fleet)
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
        level: Level::default(),
        regions: Regions::All,
        charge: None,
    }
}

async fn run(home: &Arc<InstanceHome>, timers: &TimerService) -> Result<HomeAnswer, Refusal> {
    let request = write();
    let deadline = timers.now() + request.patience;
    let running = home.run_single(&request, deadline);
    let timeout = || Refusal::may_have_run(RefusalCode::Timeout, "no answer in time");
    timers.within(request.limit, running).await.unwrap_or_else(|| Err(timeout()))
}

/// Guards against a home that took a refused connection for a new limit of the instance: if the
/// directory changed while the instance refused connections, the home never started a statement
/// again.
#[tokio::test]
async fn a_home_serves_again_once_connections_are_accepted() {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers) = home(&fake);
    fake.refuses_connections.store(true, Ordering::Release);
    let refused = run(&home, &timers).await.unwrap_err();
    assert_eq!(refused.verdict, Verdict::NotRun);
    home.set_limits(2, 16);
    fake.refuses_connections.store(false, Ordering::Release);
    timers.sleep(Span::from_millis(400)).await;
    assert!(run(&home, &timers).await.is_ok());
}

/// Guards against each statement trying to open a connection to an instance that has just refused
/// one, and holding a slot meanwhile.
#[tokio::test]
async fn a_full_instance_is_not_asked_by_each_statement() {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers) = home(&fake);
    fake.refuses_connections.store(true, Ordering::Release);
    for _ in 0..5 {
        let refused = run(&home, &timers).await.unwrap_err();
        assert_eq!(refused.code, RefusalCode::QueueFull);
    }
    assert_eq!(fake.connect_attempts.load(Ordering::Acquire), 1);
}

/// `KeptCase` is the length of the statements that sessions prepare one after the other, what their
/// connection may hold of them, and whether it stays open.
struct KeptCase {
    length: usize,
    most_held: usize,
    is_kept: bool,
}

/// Guards against memory that the texts of ended sessions take at the home of an instance.
#[rstest]
#[case::short(KeptCase { length: 100, most_held: 32 << 10, is_kept: true })]
#[case::long(KeptCase { length: 20_000, most_held: 32 << 10, is_kept: true })]
#[case::longer_than_all(KeptCase { length: 200_000, most_held: 200_100, is_kept: false })]
#[tokio::test]
async fn a_connection_keeps_few_bytes_of_statements(#[case] case: KeptCase) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers) = home(&fake);
    for number in 0..400 {
        let shape = format!("q{number:06}{}", "x".repeat(case.length));
        let prepared = Prepared { access: Access::Write, shape };
        let work = Work::Execute { prepared, arguments: "loaf rye".to_owned() };
        let request = HomeRequest { work, ..write() };
        let deadline = timers.now() + request.patience;
        home.run_single(&request, deadline).await.unwrap();
        assert_eq!(home.connection_count(), u32::from(case.is_kept));
    }
    let most_held = fake.most_held.load(Ordering::Acquire);
    assert!(most_held <= case.most_held, "{most_held} bytes");
}

/// Guards against statements that time out and leave slots or connections in use.
#[tokio::test]
async fn statements_that_time_out_free_slots_and_connections() {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers) = home(&fake);
    fake.hangs.store(true, Ordering::Release);
    for _ in 0..6 {
        let failed = run(&home, &timers).await.unwrap_err();
        assert_eq!(failed.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(fake.open.load(Ordering::Acquire), 0);
    assert_eq!(home.connection_count(), 0);
    fake.hangs.store(false, Ordering::Release);
    assert!(run(&home, &timers).await.is_ok());
    assert_eq!(home.connection_count(), 1);
}

/// `Recorded` is the primary in the keeper's record before a write and when the instance confirms
/// it, and the verdict of the refusal; `None` if the write succeeds.
struct Recorded {
    before: Option<InstanceKey>,
    after: Option<InstanceKey>,
    refused: Option<Verdict>,
}

/// The instance whose home is tested.
const THIS: Option<InstanceKey> = Some(InstanceKey(1));

/// An instance that has replaced it as primary.
const OTHER: Option<InstanceKey> = Some(InstanceKey(2));

/// Guards against acknowledging a write that is then lost: a replica that joined during a promotion
/// confirmed a write that the promoted replica lacked.
#[rstest]
#[case::this(Recorded { before: THIS, after: THIS, refused: None })]
#[case::nobody_from_the_start(Recorded {
    before: None,
    after: None,
    refused: Some(Verdict::NotRun),
})]
#[case::other_from_the_start(Recorded {
    before: OTHER,
    after: OTHER,
    refused: Some(Verdict::NotRun),
})]
#[case::nobody_at_the_end(Recorded { before: THIS, after: None, refused: Some(Verdict::Ran) })]
#[case::other_at_the_end(Recorded { before: THIS, after: OTHER, refused: Some(Verdict::Ran) })]
#[tokio::test]
async fn a_write_is_acknowledged_only_while_the_record_names_the_instance(
    #[case] recorded: Recorded,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    set_primary(&fleet, recorded.before);
    let changed = fleet.clone();
    *fake.on_exchange.lock().unwrap() =
        Some(Box::new(move || set_primary(&changed, recorded.after)));
    let refused = run(&home, &timers).await.err().map(|refusal| refusal.verdict);
    assert_eq!(refused, recorded.refused);
}

/// Guards against reads on a primary that was replaced and goes on as one: reads of the latest data
/// ran there, alone or in a transaction, and lacked commits of its successor.
#[rstest]
#[case::this(Recorded { before: THIS, after: THIS, refused: None })]
#[case::nobody_from_the_start(Recorded {
    before: None,
    after: None,
    refused: Some(Verdict::NotRun),
})]
#[case::other_from_the_start(Recorded {
    before: OTHER,
    after: OTHER,
    refused: Some(Verdict::NotRun),
})]
#[case::nobody_at_the_end(Recorded { before: THIS, after: None, refused: Some(Verdict::Ran) })]
#[case::other_at_the_end(Recorded { before: THIS, after: OTHER, refused: Some(Verdict::Ran) })]
#[tokio::test]
async fn a_read_of_the_latest_data_counts_only_while_the_record_names_the_instance(
    #[case] recorded: Recorded,
    #[values(Scope::Single, Scope::First { read_only: false }, Scope::First { read_only: true })]
    scope: Scope,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    set_primary(&fleet, recorded.before);
    let changed = fleet.clone();
    *fake.on_exchange.lock().unwrap() =
        Some(Box::new(move || set_primary(&changed, recorded.after)));
    let request = HomeRequest {
        work: Work::Read("loaf".to_owned()),
        freshness: Freshness { latest: true, ..Freshness::default() },
        scope,
        ..write()
    };
    let deadline = timers.now() + request.patience;
    let refused = match scope {
        Scope::First { read_only } => {
            let ran = home.run_first(&request, read_only, deadline).await;
            ran.map(drop).err()
        }
        _ => home.run_single(&request, deadline).await.err(),
    };
    // The transaction is rolled back, so that nothing of it has run.
    let is_single = scope == Scope::Single;
    let expected =
        recorded.refused.map(|verdict| if is_single { verdict } else { Verdict::NotRun });
    assert_eq!(refused.map(|refusal| refusal.verdict), expected);
}

/// `ChargeCase` is a statement that fails at the home, and whether its tokens were taken.
struct ChargeCase {
    charge: Option<RateCharge>,
    /// `true` if the workspace has no tokens.
    is_over_rate: bool,
    code: RefusalCode,
    charged: bool,
    /// The number of attempts to open a connection.
    connect_attempts: usize,
}

const CHARGE: Option<RateCharge> = Some(RateCharge { cost: 1, level: Level::FIRST });

/// Guards against tokens that are taken again when another home runs the statement, and against
/// statements beyond the rate that reach an instance.
#[rstest]
#[case::charged(ChargeCase {
    charge: CHARGE,
    is_over_rate: false,
    code: RefusalCode::QueueFull,
    charged: true,
    connect_attempts: 1,
})]
#[case::charged_before(ChargeCase {
    charge: None,
    is_over_rate: true,
    code: RefusalCode::QueueFull,
    charged: false,
    connect_attempts: 1,
})]
#[case::over_its_rate(ChargeCase {
    charge: CHARGE,
    is_over_rate: true,
    code: RefusalCode::RateLimited,
    charged: false,
    connect_attempts: 0,
})]
#[tokio::test]
async fn a_refusal_tells_whether_the_operation_was_charged(
    #[case] case: ChargeCase,
    #[values(Scope::Single, Scope::First { read_only: false })] scope: Scope,
) {
    let fake = Arc::new(FakeInstance::default());
    fake.refuses_connections.store(true, Ordering::Release);
    let rates = if case.is_over_rate { empty_rates } else { rates };
    let (home, timers, _) = home_with_rates(&fake, rates);
    let request = HomeRequest { scope, charge: case.charge, ..write() };
    let deadline = timers.now() + request.patience;
    let refusal = match scope {
        Scope::Single => home.run_single(&request, deadline).await.err(),
        _ => home.run_first(&request, false, deadline).await.map(drop).err(),
    };
    let refused = refusal.map(|refusal| (refusal.code, refusal.verdict, refusal.charged));
    assert_eq!(refused, Some((case.code, Verdict::NotRun, case.charged)));
    assert_eq!(fake.connect_attempts.load(Ordering::Acquire), case.connect_attempts);
}

/// `StoreFault` is a reason why a VM may not confirm writes.
enum StoreFault {
    PrimaryWithdrawn,
    LeaseEnded,
    NotCurrent,
    NotSeenInTheRoster,
}

/// Guards against writes on a VM that a promotion does not wait for, or that was told of the
/// promotion. If only the VM is at fault, the code is `NotCurrent`, so that another home is tried.
#[rstest]
#[case::primary_withdrawn(StoreFault::PrimaryWithdrawn, RefusalCode::NotPrimary)]
#[case::lease_ended(StoreFault::LeaseEnded, RefusalCode::NotCurrent)]
#[case::not_current(StoreFault::NotCurrent, RefusalCode::NotCurrent)]
#[case::not_seen_in_the_roster(StoreFault::NotSeenInTheRoster, RefusalCode::NotCurrent)]
#[tokio::test]
async fn a_vm_that_no_promotion_waits_for_starts_no_write(
    #[case] fault: StoreFault,
    #[case] code: RefusalCode,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    match fault {
        StoreFault::PrimaryWithdrawn => fleet.withdraw_primary(DatabaseId(1), StoreRevision(2)),
        StoreFault::LeaseEnded => fleet.set_leased_until(timers.now()),
        StoreFault::NotCurrent => timers.sleep(Span::from_secs(5)).await,
        StoreFault::NotSeenInTheRoster => fleet.set_join_revision(StoreRevision(2)),
    }
    let refused = run(&home, &timers).await.unwrap_err();
    assert_eq!((refused.verdict, refused.code), (Verdict::NotRun, code));
}

/// Sets the availability zones under evacuation, each with the time at which the VM learned of it.
fn evacuate(fleet: &Fleet, evacuated: &[(&str, Time)]) {
    let named = evacuated.iter().map(|(zone, learned)| ((*zone).to_owned(), *learned));
    let evacuated = Arc::new(named.collect());
    fleet.set_view(View { evacuated, ..View::clone(&fleet.view()) });
}

/// Counts the exchanges with the instance from now on.
fn count_exchanges(fake: &FakeInstance) -> Arc<AtomicUsize> {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    *fake.on_exchange.lock().unwrap() = Some(Box::new(move || {
        counted.fetch_add(1, Ordering::AcqRel);
    }));
    count
}

/// `QueueCase` is the zone that is evacuated while a statement waits for a slot, and the code with
/// which it is refused; `None` if it runs.
struct QueueCase {
    zone: &'static str,
    refused: Option<RefusalCode>,
}

/// Guards against a statement that waits in the queue while the evacuation is requested, and is sent
/// to the instance seconds later.
#[rstest]
#[case::of_the_instance(QueueCase { zone: ZONE, refused: Some(RefusalCode::UpstreamUnavailable) })]
#[case::another(QueueCase { zone: "west", refused: None })]
#[tokio::test]
async fn a_statement_that_waited_during_the_request_is_not_sent_to_an_evacuated_instance(
    #[case] case: QueueCase,
    #[values(Scope::Single, Scope::First { read_only: false })] scope: Scope,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    let count = count_exchanges(&fake);
    fake.hangs.store(true, Ordering::Release);
    let occupy = || {
        let (home, timers) = (home.clone(), timers.clone());
        tokio::spawn(async move { run(&home, &timers).await })
    };
    let occupied = [occupy(), occupy()];
    timers.sleep(Span::from_millis(50)).await;
    fake.hangs.store(false, Ordering::Release);
    let waiting = {
        let (home, deadline) = (home.clone(), timers.now() + Span::from_secs(2));
        let request = HomeRequest { scope, ..write() };
        tokio::spawn(async move {
            match request.scope {
                Scope::Single => home.run_single(&request, deadline).await.err(),
                _ => home.run_first(&request, false, deadline).await.map(drop).err(),
            }
        })
    };
    timers.sleep(Span::from_millis(50)).await;
    evacuate(&fleet, &[(case.zone, timers.now())]);
    for statement in occupied {
        assert!(statement.await.unwrap().is_err(), "it holds its slot until its time limit");
    }
    let refused = waiting.await.unwrap();
    assert_eq!(refused.as_ref().map(|refusal| refusal.code), case.refused);
    let is_sent = count.load(Ordering::Acquire) != 0;
    assert_eq!(is_sent, case.refused.is_none());
    if let Some(refusal) = refused {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after.is_some(), "{refusal:?}");
    }
}

/// Guards against statements that wait in the queue of an evacuated instance until their deadline,
/// though they are known not to run.
#[rstest]
#[tokio::test]
async fn a_statement_for_an_evacuated_instance_is_refused_without_waiting(
    #[values(Scope::Single, Scope::First { read_only: false }, Scope::Within(ID))] scope: Scope,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    let deadline = timers.now() + Span::from_secs(2);
    let first = HomeRequest { scope: Scope::First { read_only: false }, ..write() };
    let opened = home.run_first(&first, false, deadline).await.ok().and_then(|ran| ran.open);
    fake.hangs.store(true, Ordering::Release);
    let occupied = [(); 2].map(|()| {
        let (home, timers) = (home.clone(), timers.clone());
        tokio::spawn(async move { run(&home, &timers).await })
    });
    timers.sleep(Span::from_millis(50)).await;
    fake.hangs.store(false, Ordering::Release);
    evacuate(&fleet, &[(ZONE, Time(0))]);
    let sent = timers.now();
    let request = HomeRequest { scope, ..write() };
    let refused = match scope {
        Scope::Single => home.run_single(&request, deadline).await.err(),
        Scope::First { .. } => home.run_first(&request, false, deadline).await.map(drop).err(),
        Scope::Within(_) => {
            let transaction = opened.expect("the transaction is open");
            home.run_next(transaction, &request, deadline).await.map(drop).err()
        }
    };
    assert_eq!(refused.map(|refusal| refusal.code), Some(RefusalCode::UpstreamUnavailable));
    let waited = timers.now().since(sent);
    assert!(waited < Span::from_millis(100), "{} ms", waited.as_millis());
    assert!(occupied.iter().all(|statement| !statement.is_finished()), "the slots are in use");
}

/// `WindowCase` is the time since the VM learned of the evacuation, in milliseconds, and whether the
/// next statement of an open transaction runs.
struct WindowCase {
    passed: u64,
    runs: bool,
}

/// Guards against open transactions that are cut off at once, and against those that go on after
/// half of the time for the evacuation.
#[rstest]
#[case::at_once(WindowCase { passed: 0, runs: true })]
#[case::within_the_window(WindowCase { passed: 1_500, runs: true })]
#[case::after_the_window(WindowCase { passed: 2_500, runs: false })]
#[tokio::test]
async fn an_open_transaction_goes_on_for_half_of_the_time_for_an_evacuation(
    #[case] case: WindowCase,
    #[values(Work::Read("loaf".to_owned()), Work::Commit)] work: Work,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    let first = HomeRequest { scope: Scope::First { read_only: false }, ..write() };
    let deadline = timers.now() + Span::from_secs(1);
    let opened = home.run_first(&first, false, deadline).await;
    let transaction = opened.ok().and_then(|ran| ran.open).expect("the transaction is open");
    let learned = Time(timers.now().0 - Span::from_millis(case.passed).0);
    evacuate(&fleet, &[(ZONE, learned)]);
    assert_eq!(home.ends_transactions(), !case.runs);
    let count = count_exchanges(&fake);
    let next = home.run_next(transaction, &HomeRequest { work, ..write() }, deadline).await;
    assert_eq!(count.load(Ordering::Acquire), 1, "the statement or a rollback");
    let refused = next.err().map(|refusal| (refusal.code, refusal.verdict));
    let expected = (RefusalCode::UpstreamUnavailable, Verdict::NotRun);
    assert_eq!(refused, (!case.runs).then_some(expected));
}

/// `Ending` is how a transaction ends that was opened for a first statement which does not run to its
/// end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The zone of the instance is evacuated while the transaction is being opened.
    Refused,
    /// The caller leaves while the first statement runs.
    Cancelled,
    /// The transaction is dropped while it rests.
    Dropped,
}

/// Guards against a connection that goes back to the pool with a transaction open: statements of other
/// callers ran in it.
#[rstest]
#[case::refused(Ending::Refused)]
#[case::cancelled(Ending::Cancelled)]
#[case::dropped(Ending::Dropped)]
#[tokio::test]
async fn no_read_runs_in_the_transaction_of_another_caller(
    #[case] ending: Ending,
    #[values(false, true)] read_only: bool,
) {
    let fake = Arc::new(FakeInstance::default());
    let (home, timers, fleet) = home_with_fleet(&fake);
    let read = HomeRequest { work: Work::Read("loaf".to_owned()), ..write() };
    let first = HomeRequest { scope: Scope::First { read_only }, ..read.clone() };
    let before = View::clone(&fleet.view());
    let changed = fleet.clone();
    let instance = Arc::downgrade(&fake);
    *fake.on_exchange.lock().unwrap() = Some(Box::new(move || match ending {
        Ending::Refused => evacuate(&changed, &[(ZONE, Time(0))]),
        // The next exchange is the one of the first statement.
        Ending::Cancelled => instance.upgrade().unwrap().hangs.store(true, Ordering::Release),
        Ending::Dropped => {}
    }));
    let deadline = timers.now() + Span::from_millis(300);
    let opening = home.run_first(&first, read_only, deadline);
    let opened = timers.within(Span::from_millis(100), opening).await;
    match ending {
        Ending::Refused => assert!(opened.is_some_and(|opened| opened.is_err())),
        Ending::Cancelled => assert!(opened.is_none()),
        Ending::Dropped => drop(opened.and_then(Result::ok).and_then(|ran| ran.open).unwrap()),
    }
    *fake.on_exchange.lock().unwrap() = None;
    fake.hangs.store(false, Ordering::Release);
    fleet.set_view(before);
    let ran = fake.reads_in_transaction.load(Ordering::Acquire);
    let deadline = timers.now() + Span::from_millis(300);
    assert!(home.run_single(&read, deadline).await.is_ok());
    assert_eq!(fake.reads_in_transaction.load(Ordering::Acquire), ran);
}
