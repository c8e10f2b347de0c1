//! The platform of a small deployment: store, promotions, one database of three instances, and the
//! operator's configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::group::Group;
use crate::store::Store;

/// The name that callers use for the route of type `primary`.
pub const ORDERS: &str = "orders";
/// The name that callers use for the route of type `bounded_staleness`.
pub const MENUS: &str = "menus";
/// The name that callers use for the route of type `own_writes`.
pub const ROUTES: &str = "routes";
/// The key of the only tenant.
pub const KEY: &str = "key-of-rye";

/// `Platform` is what the VMs see of the platform.
pub struct Platform {
    pub store: Arc<Store>,
    pub group: Arc<Mutex<Group>>,
    pub address: SocketAddr,
}

impl Platform {
    /// Starts the platform with version 1 of the configuration.
    pub fn start() -> Self {
        let group = Group::start("i");
        let (store, address) = Store::start(group.clone());
        for (key, entry) in group.lock().unwrap().entries() {
            store.put(&key, &entry);
        }
        store.put("op/config", &configuration());
        Self { store, group, address }
    }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str, timeout: u32, target: u32| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Database\":\"{name}\",\"Prefix\":\"/\",\
             \"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":{target},\"Priority\":1,\
             \"Backend\":\"ledger\",\"Attempts\":2,\"MaxStalenessMs\":1500,\"Public\":false}}"
        )
    };
    let routes = [
        route(ORDERS, "primary", 800, 600),
        route(MENUS, "bounded_staleness", 1_500, 800),
        route(ROUTES, "own_writes", 800, 1_000),
    ];
    format!(
        "{{\"Version\":1,\"Routes\":[{}],\"Backends\":[{{\"Name\":\"ledger\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":16,\"Protocol\":\"h1\",\"Tls\":false,\
         \"SyncReplicas\":1}}],\"Limits\":{{\"TxIdleMs\":3000}},\"Tenants\":[{{\"Name\":\"rye\",\
         \"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"RatePerS\":1000,\"Burst\":1000}}]}}",
        routes.join(",")
    )
}
