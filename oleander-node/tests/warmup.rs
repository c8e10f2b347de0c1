//! When a home needs a token for a statement to an instance that may warm up.

mod support;

use std::sync::Arc;

use oleander_config::model::Acknowledge;
use oleander_config::model::Database;
use oleander_config::model::Document;
use oleander_config::model::Warmup;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::Revision;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::Instance;
use oleander_node::fleet::View;
use oleander_node::home::warmup::WarmupBudget;
use oleander_node::home::warmup::WarmupParties;
use oleander_node::rates::Rates;
use oleander_peer::client::PeerClient;
use oleander_ports::directory::DirectoryEntry;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use rstest::rstest;

/// Returns a view with one instance that is cold until `cold_for` from now.
fn view(fleet: &Fleet, rate: Option<u32>, cold_for: Option<Span>) -> View {
    let database = Database {
        name: "ledger".to_owned(),
        acknowledge: Acknowledge::Replicated,
        slots: 2,
        connections: 16,
        leaving: false,
        instances: Vec::new(),
        warmup: rate.map(|rate| Warmup { rate }),
    };
    let document = Document { upstreams: vec![database], ..Document::default() };
    let instance = Instance {
        key: InstanceKey::from_name("i-1"),
        database: DatabaseId::from_name("ledger"),
        place: Place::default(),
        leaving_since: None,
        cold_until: cold_for.map(|span| fleet.now() + span),
        entry: DirectoryEntry {
            instance: support::name("i-1"),
            life: 1,
            database: support::name("ledger"),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: String::new(),
            slots: 2,
            leaving: false,
            primary: true,
            warmup: Span::ZERO,
        },
    };
    View {
        snapshot: Arc::new(Snapshot::new(Revision(1), document)),
        instances: Arc::new([(instance.key, instance)].into()),
        ..View::default()
    }
}

/// `GateCase` is what a home knows of an instance, and whether it sends a statement without a token.
struct GateCase {
    rate: Option<u32>,
    cold_for: Option<Span>,
    /// `true` if the home's connections are newer than its view.
    is_new: bool,
    is_free: bool,
}

const MINUTE: Option<Span> = Some(Span::from_secs(60));

/// Guards against a VM without shares and grants, or without the limit itself, that sends to a cold
/// instance, and against a limit on warm ones.
#[rstest]
#[case::no_rate(GateCase { rate: None, cold_for: MINUTE, is_new: true, is_free: true })]
#[case::warm(GateCase { rate: Some(4), cold_for: None, is_new: false, is_free: true })]
#[case::was_cold(GateCase { rate: Some(4), cold_for: Some(Span::ZERO), is_new: false, is_free: true })]
#[case::cold(GateCase { rate: Some(4), cold_for: MINUTE, is_new: false, is_free: false })]
#[case::perhaps_restarted(GateCase { rate: Some(4), cold_for: None, is_new: true, is_free: false })]
#[tokio::test]
async fn a_home_without_tokens_sends_only_to_warm_instances(
    #[case] case: GateCase,
    #[values(true, false)] has_limit: bool,
) {
    let timers = TimerService::start(Clock::new());
    let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
    let limiter = RateLimiter::new(fleet.vm, 1);
    let rates = Rates::new(fleet.vm, limiter, timers, PeerClient::default(), Box::new(|_| None));
    fleet.set_view(view(&fleet, case.rate, case.cold_for));
    fleet.mark_synced(fleet.now());
    let mut parties = WarmupParties::default();
    if has_limit {
        assert_eq!(parties.update(&fleet.view()), case.rate.is_some());
        rates.set_limits(parties.limits());
    }
    let opened = fleet.synced_at() + Span(u64::from(case.is_new));
    let budget = WarmupBudget { fleet, rates };
    let (database, key) = (DatabaseId::from_name("ledger"), InstanceKey::from_name("i-1"));
    let refused = budget.admit(database, key, opened).await.err();
    let expected = (!case.is_free).then_some((RefusalCode::RateLimited, Verdict::NotRun));
    assert_eq!(refused.map(|refusal| (refusal.code, refusal.verdict)), expected);
}

/// Guards against a restarted instance that gets nothing for a second: a limit that is new to the
/// limiter can be used only after a wait.
#[tokio::test]
async fn an_instance_keeps_its_limit_while_the_directory_lacks_it() {
    let timers = TimerService::start(Clock::new());
    let fleet = Fleet::new(Arc::new(support::settings()), timers);
    let listed = view(&fleet, Some(4), None);
    let mut parties = WarmupParties::default();
    assert!(parties.update(&listed));
    assert!(!parties.update(&View { instances: Arc::default(), ..listed.clone() }));
    assert_eq!(parties.limits().count(), 1);
    assert!(
        parties.update(&View { snapshot: Arc::default(), ..listed }),
        "no rate is set any more"
    );
    assert_eq!(parties.limits().count(), 0);
}
