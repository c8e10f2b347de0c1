//! Agents with stand-ins for the platform's store and VM list, in one process.

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

use oleander_agent::agent::Agent;
use oleander_agent::settings::Settings;
use oleander_agent::settings::Times;
use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_core::time::Time;
use oleander_membership::head::BodyHash;
use oleander_membership::messages::View;
use oleander_membership::shares::ShareOwner;
use oleander_peer::client::PeerClient;
use oleander_peer::connection::ReplyStream;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::SubscribeRequest;
use oleander_standin::store::Store as StoreStandin;
use oleander_standin::vms::VmList;
use oleander_standin::vms::VmState;
use oleander_store::configuration;
use oleander_store::configuration::Publication;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;

/// The timeout of every wait; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of shares that the agents divide.
const SHARES: u16 = 12;

#[tokio::test]
async fn a_fleet_divides_the_shares_and_follows_the_configuration() {
    let platform = Platform::start().await;
    platform.publish("rates", None, "[]", 1).await;
    let agents = platform.start_agents(3).await;
    let mut views = Views::open(&agents[2]).await;
    let view = views.until(|view| is_divided(view, 3) && view.revision == Revision(1)).await;
    assert_eq!(view.members.len(), 3);

    platform.publish("routes", None, "[]", 2).await;
    let view = views.until(|view| view.revision == Revision(2)).await;
    assert!(view.current_for.0 != 0);
}

#[tokio::test]
async fn a_stopping_agent_hands_its_shares_over() {
    let platform = Platform::start().await;
    let mut agents = platform.start_agents(3).await;
    let mut views = Views::open(&agents[0]).await;
    views.until(|view| is_divided(view, 3)).await;
    let last = agents.pop().unwrap();
    bounded(last.stop()).await;
    let view = views.until(|view| view.members.len() == 2 && is_divided(view, 2)).await;
    assert!(view.shares.reclaimed.is_empty(), "the shares were reclaimed instead of handed over");
}

#[tokio::test]
async fn shares_of_a_removed_vm_are_reclaimed_after_a_wait() {
    let platform = Platform::start().await;
    let mut agents = platform.start_agents(3).await;
    let mut views = Views::open(&agents[0]).await;
    views.until(|view| is_divided(view, 3)).await;
    drop(agents.pop());
    platform.list.remove("vm-2");
    let view = views.until(|view| view.members.len() == 2 && is_divided(view, 2)).await;
    assert!(!view.shares.reclaimed.is_empty(), "the new owners did not wait");
}

#[tokio::test]
async fn restarted_agent_reclaims_the_shares_of_its_former_incarnation() {
    let platform = Platform::start().await;
    let mut agents = platform.start_agents(2).await;
    let mut views = Views::open(&agents[0]).await;
    let before = views.until(|view| is_divided(view, 2)).await;
    drop(agents.pop());
    agents.push(platform.start_agent(1).await);
    let is_former = |view: &View, owner: &ShareOwner| {
        view.members
            .iter()
            .all(|member| (member.vm, member.incarnation) != (owner.vm, owner.incarnation))
    };
    let has_former =
        |view: &View| view.shares.owners.iter().flatten().any(|owner| is_former(view, owner));
    let is_taken_over = |view: &View| before.members != view.members && !has_former(view);
    let after = views.until(|view| is_divided(view, 2) && is_taken_over(view)).await;
    assert!(
        !after.shares.reclaimed.is_empty(),
        "the new incarnation did not wait for the former one"
    );
}

struct Platform {
    store: StoreStandin,
    list: VmList,
}

impl Platform {
    async fn start() -> Self {
        Self { store: StoreStandin::start().await.unwrap(), list: VmList::start().await.unwrap() }
    }

    async fn start_agents(&self, count: usize) -> Vec<Agent> {
        for number in 0..count {
            self.list.set(format!("vm-{number}"), VmState::Live);
        }
        let mut agents = Vec::new();
        for number in 0..count {
            agents.push(self.start_agent(number).await);
        }
        agents
    }

    async fn start_agent(&self, number: usize) -> Agent {
        let millis = oleander_core::time::Span::from_millis;
        let times = Times {
            window: millis(2_000),
            skew: millis(100),
            grace: millis(500),
            heartbeat: millis(100),
            read: millis(200),
            probe: millis(1_000),
            suspect: millis(2_000),
            ..Times::default()
        };
        let settings = Settings {
            name: format!("vm-{number}"),
            region: "south".to_owned(),
            zone: format!("south-{number}"),
            listen: "127.0.0.1:0".parse().unwrap(),
            proxy: "127.0.0.1:9".parse().unwrap(),
            store: vec![format!("http://{}", self.store.address())],
            vms: format!("http://{}", self.list.address()),
            shares: SHARES,
            times,
        };
        Agent::start(settings).await.unwrap()
    }

    async fn publish(&self, section: &str, base: Option<&str>, text: &str, change: u64) {
        let endpoints = vec![format!("http://{}", self.store.address())];
        let store = Store::new(StoreOptions { endpoints, ..StoreOptions::default() });
        let publication = Publication {
            section: section.to_owned(),
            text: text.to_owned(),
            base: base.map(BodyHash::of),
            change: ChangeId(change),
        };
        configuration::publish::<()>(&store, &publication, |_| Ok(())).await.unwrap();
    }
}

/// `Views` is the view stream of a proxy without work. It sends no reports, so its agent releases
/// shares only after a timeout.
struct Views(ReplyStream);

impl Views {
    async fn open(agent: &Agent) -> Self {
        let request = SubscribeRequest { revision: Revision(0), sent: Time(0) };
        let client = PeerClient::default();
        let stream = client.subscribe(agent.address(), &Request::Subscribe(request)).await;
        Self(stream.unwrap())
    }

    async fn until(&mut self, accept: impl Fn(&View) -> bool) -> View {
        let search = async {
            loop {
                match self.0.next().await.unwrap() {
                    Some(Reply::View(view)) if accept(&view) => return *view,
                    Some(_) => {}
                    None => panic!("the stream of views ended"),
                }
            }
        };
        bounded(search).await
    }
}

/// Returns `true` if all shares have an owner and are divided among `count` VMs, each owning its
/// equal part give or take one.
fn is_divided(view: &View, count: usize) -> bool {
    let mut owned = BTreeMap::new();
    for owner in view.shares.owners.iter().flatten() {
        *owned.entry(owner.vm).or_insert(0_usize) += 1;
    }
    let fair = usize::from(SHARES) / count;
    let is_fair = owned.values().all(|owned| owned.abs_diff(fair) <= 1);
    is_fair && owned.len() == count && owned.values().sum::<usize>() == usize::from(SHARES)
}

async fn bounded<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work).await.expect("the wait timed out")
}
