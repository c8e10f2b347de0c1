//! Failure detection and promotion by agents, with stand-ins for the platform and the database, in
//! one process.

use std::future::Future;
use std::time::Duration;

use oleander_agent::agent::Agent;
use oleander_agent::settings::Settings;
use oleander_agent::settings::Times;
use oleander_core::events::Event;
use oleander_core::ids::ChangeId;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_membership::head::BodyHash;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_standin::relay::Passage;
use oleander_standin::store::Store as StoreStandin;
use oleander_standin::vms::VmList;
use oleander_standin::vms::VmState;
use oleander_store::configuration;
use oleander_store::configuration::Publication;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;
use rstest::rstest;

/// The timeout of every wait; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[rstest]
#[case::killed(|group: &Group| group.kill(0))]
#[case::partitioned(|group: &Group| group.partition(0))]
#[tokio::test]
async fn lost_primary_is_replaced_and_rejoins_as_replica(#[case] lose: fn(&Group)) {
    let fleet = Fleet::start(Times::default().ping_limit).await;
    // Promotions must not depend on the store.
    fleet.store.relay().set_passage(Passage::Refuse);
    lose(&fleet.group);
    wait_until(|| fleet.group.primary().is_some_and(|primary| primary != 0)).await;
    fleet.group.heal(0);
    wait_until(|| fleet.group.status(0).role == Role::Replica).await;
    let primary = fleet.group.primary().unwrap();
    assert_eq!(fleet.group.status(0).fence, fleet.group.status(primary).fence);
    let events = fleet.events();
    let expected = [
        Event::InstanceSuspected,
        Event::OpinionAsked,
        Event::PromotionStarted,
        Event::PrimaryPromoted,
    ];
    let missing = expected.iter().find(|event| !events.contains(&event.number()));
    assert_eq!(missing, None);
}

#[tokio::test]
async fn silent_connections_cause_no_promotion() {
    // The long ping timeout keeps a slow machine from looking like a lost primary.
    let fleet = Fleet::start(Span::from_secs(5)).await;
    for ordinal in 0..3 {
        fleet.group.relay(ordinal).silence_established();
    }
    let accepted: Vec<u64> = (0..3).map(|at| fleet.group.relay(at).accepted()).collect();
    // Each silent connection must be replaced by a new one.
    wait_until(|| (0..3).all(|at| accepted[at] < fleet.group.relay(at).accepted())).await;
    assert_eq!(fleet.group.status(0).fence, Term(1));
}

#[tokio::test]
async fn leaving_primary_is_replaced_and_becomes_replica() {
    let fleet = Fleet::start(Times::default().ping_limit).await;
    let before = upstreams(&fleet.group);
    let after = before.replacen("zone: south-0}", "zone: south-0, leaving: true}", 1);
    publish(&fleet.store, Some(&before), &after).await;
    wait_until(|| fleet.group.primary().is_some_and(|primary| primary != 0)).await;
    wait_until(|| fleet.group.status(0).role == Role::Replica).await;
}

struct Fleet {
    store: StoreStandin,
    _list: VmList,
    group: Group,
    agents: Vec<Agent>,
}

impl Fleet {
    /// Starts three agents, each in its own zone, and waits until every instance of the group has a
    /// connection.
    async fn start(ping_limit: Span) -> Self {
        let store = StoreStandin::start().await.unwrap();
        let list = VmList::start().await.unwrap();
        let group = Group::start(GroupOptions::default()).await.unwrap();
        publish(&store, None, &upstreams(&group)).await;
        let mut agents = Vec::new();
        for number in 0..3 {
            list.set(format!("vm-{number}"), VmState::Live);
        }
        for number in 0..3 {
            agents.push(Agent::start(settings(number, ping_limit, &store, &list)).await.unwrap());
        }
        let fleet = Self { store, _list: list, group, agents };
        wait_until(|| (0..3).all(|at| 1 <= fleet.group.counters(at).connections)).await;
        fleet
    }

    fn events(&self) -> Vec<u16> {
        let mut records: Vec<_> =
            self.agents.iter().flat_map(|agent| agent.journal().recent()).collect();
        records.sort_by_key(|record| (record.unix_ms, record.serial));
        records.iter().map(|record| record.number).collect()
    }
}

fn settings(number: usize, ping_limit: Span, store: &StoreStandin, list: &VmList) -> Settings {
    let millis = Span::from_millis;
    let times = Times {
        window: millis(60_000),
        heartbeat: millis(100),
        read: millis(200),
        grace: millis(500),
        ping_limit,
        ..Times::default()
    };
    Settings {
        name: format!("vm-{number}"),
        region: "south".to_owned(),
        zone: format!("south-{number}"),
        listen: "127.0.0.1:0".parse().unwrap(),
        proxy: "127.0.0.1:9".parse().unwrap(),
        store: vec![format!("http://{}", store.address())],
        vms: format!("http://{}", list.address()),
        shares: 12,
        times,
    }
}

fn upstreams(group: &Group) -> String {
    let instance = |(at, address)| {
        format!("    - {{name: i{at}, address: \"{address}\", region: south, zone: south-{at}}}\n")
    };
    let instances: String = group.addresses().into_iter().enumerate().map(instance).collect();
    format!("- name: orders\n  slots: 2\n  connections: 16\n  instances:\n{instances}")
}

async fn publish(store: &StoreStandin, base: Option<&str>, text: &str) {
    let endpoints = vec![format!("http://{}", store.address())];
    let store = Store::new(StoreOptions { endpoints, ..StoreOptions::default() });
    let publication = Publication {
        section: "upstreams".to_owned(),
        text: text.to_owned(),
        base: base.map(BodyHash::of),
        change: ChangeId(text.len() as u64),
    };
    configuration::publish::<()>(&store, &publication, |_| Ok(())).await.unwrap();
}

async fn wait_until(reached: impl Fn() -> bool) {
    let search = async {
        while !reached() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    bounded(search).await;
}

async fn bounded<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work).await.expect("the wait ran into its bound")
}
