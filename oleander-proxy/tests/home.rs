//! The start and close of a home.

use std::sync::Arc;

use arc_swap::ArcSwap;
use oleander_config::model::Acknowledge;
use oleander_config::model::Database;
use oleander_config::model::Instance;
use oleander_core::ids::Incarnation;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_proxy::fleet::view::FleetView;
use oleander_proxy::home::database::Home;
use oleander_proxy::home::database::HomeContext;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Journal;
use oleander_runtime::timer::TimerService;

/// The number of times that the test yields, so that the tasks of a closed home can end.
const MAX_YIELDS: usize = 1_000;

fn context() -> HomeContext {
    let clock = Clock::new();
    HomeContext {
        vm: VmId::from_name("vm-0"),
        incarnation: Incarnation(1),
        place: Place::default(),
        timers: TimerService::start(clock),
        journal: Journal::new("test", clock),
        fleet: Arc::<ArcSwap<FleetView>>::default(),
    }
}

fn database() -> Database {
    let instance = |name: &str| Instance {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        place: Place::default(),
        leaving: false,
    };
    Database {
        name: "orders".to_owned(),
        acknowledge: Acknowledge::Replicated,
        slots: 2,
        connections: 16,
        leaving: false,
        instances: ["a", "b", "c"].map(instance).to_vec(),
        warmup: None,
    }
}

#[tokio::test]
async fn a_closed_home_leaves_no_task_and_no_connection_behind() {
    let home = Home::start(context(), Revision(1), &database(), 0);
    tokio::task::yield_now().await;
    let weak = Arc::downgrade(&home);
    home.close();
    drop(home);
    for _ in 0..MAX_YIELDS {
        tokio::task::yield_now().await;
    }
    assert!(weak.upgrade().is_none(), "a task of the home still runs");
}
