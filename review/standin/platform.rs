//! The platform with one database of three instances and a fleet of three VMs.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::ZONES;
use crate::group::Group;
use crate::record::Record;
use crate::store::Store;

pub const DATABASE: &str = "ledger";
/// The names under which requesters open sessions on the routes of each type.
pub const PRIMARY: &str = "orders";
pub const BOUNDED: &str = "menus";
pub const OWN_WRITES: &str = "routes";
/// The name of a route of type `bounded_staleness` that needs no key.
pub const PUBLIC: &str = "boards";
pub const KEY: &str = "key-of-rye";
pub const OTHER_KEY: &str = "key-of-oat";
pub const NAMES: [&str; 3] = ["i-a", "i-b", "i-c"];

/// The time between two liveness reports of an instance; after three of them its entry lapses.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The longest time until the fleet serves.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The size of the instances of a deployment.
#[derive(Clone, Copy)]
pub struct Size {
    pub slots: u32,
    pub connections: u32,
}

/// The instances of `crumbrudder`.
pub const SMALL: Size = Size { slots: 2, connections: 16 };

/// The instances of `crumbrudder-now-grown`.
pub const GROWN: Size = Size { slots: 5, connections: 70 };

pub struct Platform {
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub fleet: Fleet,
    pub record: Arc<Record>,
    /// The time from the return of the store until each instance reports again.
    pub report_delays: Arc<Mutex<[Duration; 3]>>,
}

impl Platform {
    /// Starts all of it; `None` if the fleet does not become ready.
    pub fn start(program: &Path, folder: &Path, record: &Arc<Record>, size: Size) -> Option<Self> {
        let store = Arc::new(Store::new(record.clone()));
        let group = Arc::new(Group::new(DATABASE, &NAMES, record.clone()));
        let address = store.serve(group.clone());
        let report_delays = Arc::new(Mutex::new([Duration::from_millis(300); 3]));
        for (index, name) in NAMES.iter().enumerate() {
            let instance = group.serve(name);
            let (store, group, delays) = (store.clone(), group.clone(), report_delays.clone());
            thread::spawn(move || report(&store, &group, index, size.slots, instance, &delays));
        }
        let (ending, replicating) = (store.clone(), group.clone());
        thread::spawn(move || ending.run());
        thread::spawn(move || replicating.run());
        store.put("op/config", &configuration(1, &[OTHER_KEY], size));
        let fleet = Fleet::new(program, folder, address, record.clone());
        (0..fleet.count()).for_each(|index| fleet.start(index));
        let started = Instant::now();
        while !(0..fleet.count()).all(|index| fleet.is_ready(index)) {
            if START_LIMIT < started.elapsed() {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(Self { store, group, fleet, record: record.clone(), report_delays })
    }
}

/// Returns a configuration in which the tenant `oat` has `keys`.
pub fn configuration(version: u64, keys: &[&str], size: Size) -> String {
    let connections = size.connections;
    let route = |name: &str, kind: &str, public: bool| {
        format!(
            r#"{{"Name":"r-{name}","Database":"{name}","RouteType":"{kind}","TimeoutMs":800,"TargetLatencyMs":600,"Priority":1,"Backend":"{DATABASE}","MaxStalenessMs":2500,"Public":{public}}}"#
        )
    };
    let routes = [
        route(PRIMARY, "primary", false),
        route(BOUNDED, "bounded_staleness", false),
        route(OWN_WRITES, "own_writes", false),
        route(PUBLIC, "bounded_staleness", true),
    ];
    let routes = routes.join(",");
    let keys: Vec<String> = keys.iter().map(|key| format!(r#""{key}""#)).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"Version":{version},"Routes":[{routes}],"Backends":[{{"Name":"{DATABASE}","MaxConnections":{connections},"SyncReplicas":1}}],"Limits":{{"TxIdleMs":2000}},"Tenants":[{{"Name":"rye","ApiKeys":["{KEY}"],"Priority":1,"RatePerS":1000,"Burst":1000}},{{"Name":"oat","ApiKeys":[{keys}],"Priority":1,"RatePerS":1000,"Burst":1000}}]}}"#
    )
}

/// Reports an instance to the store until the process ends; again at once when its role changes.
fn report(
    store: &Store,
    group: &Group,
    index: usize,
    slots: u32,
    address: SocketAddr,
    delays: &Mutex<[Duration; 3]>,
) {
    let name = NAMES[index];
    let mut sequence = 0;
    loop {
        let is_primary = group.primary() == name;
        sequence += 1;
        let role = if is_primary { "primary" } else { "replica" };
        let zone = ZONES[index].0;
        let entry = format!(
            r#"{{"Backend":"{DATABASE}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"ready","WarmupLeftMs":0,"DbRole":"{role}","Sequence":{sequence},"born":1000}}"#
        );
        if !store.report(&format!("servers/{name}"), &entry, 3 * HEARTBEAT) {
            while store.is_down() {
                thread::sleep(Duration::from_millis(5));
            }
            let delay = delays.lock().unwrap()[index];
            thread::sleep(delay);
            continue;
        }
        let reported = Instant::now();
        while reported.elapsed() < HEARTBEAT && (group.primary() == name) == is_primary {
            thread::sleep(Duration::from_millis(10));
        }
    }
}
