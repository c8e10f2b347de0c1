//! A stand-in for the platform's list of VMs, which lags behind the truth.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::handler::json::Json;
use xitca_web::handler::state::StateRef;
use xitca_web::route::get;

use crate::http;
use crate::http::Running;
use crate::relay::FaultRelay;
use crate::relay::lock;

/// `VmState` is the platform's word on a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is to stop soon.
    Leaving,
}

/// `Vm` is one entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The name.
    pub name: String,
    /// The state.
    pub state: VmState,
}

/// `VmList` is a running list, served at `GET /v1/vms`.
#[derive(Debug)]
pub struct VmList {
    shared: Arc<Mutex<Shared>>,
    relay: FaultRelay,
    _server: Running,
}

impl VmList {
    /// Starts an empty list on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(Mutex::new(Shared::default()));
        let app = App::new()
            .with_state(Arc::clone(&shared))
            .at("/v1/vms", get(handler_service(list)))
            .finish();
        let server = http::start(app)?;
        let relay = FaultRelay::start(server.address()).await?;
        Ok(Self { shared, relay, _server: server })
    }

    /// Gets the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Gets the relay in front of the list, with its faults.
    pub fn relay(&self) -> &FaultRelay {
        &self.relay
    }

    /// Sets the time after which a change shows in the list.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.shared).lag = lag;
    }

    /// Adds a VM or changes its state.
    pub fn set(&self, name: impl Into<String>, state: VmState) {
        let name = name.into();
        self.edit(|vms| {
            vms.retain(|vm| vm.name != name);
            vms.push(Vm { name, state });
        });
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.edit(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Gets the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    fn edit(&self, edit: impl FnOnce(&mut Vec<Vm>)) {
        let mut shared = lock(&self.shared);
        let mut vms = shared.versions.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        edit(&mut vms);
        vms.sort_by(|left, right| left.name.cmp(&right.name));
        shared.versions.push((Instant::now(), vms));
    }
}

#[derive(Debug, Default)]
struct Shared {
    versions: Vec<(Instant, Vec<Vm>)>,
    lag: Duration,
    calls: u64,
}

async fn list(shared: StateRef<'_, Arc<Mutex<Shared>>>) -> Json<Vec<Vm>> {
    let mut shared = lock(&shared);
    shared.calls += 1;
    let now = Instant::now();
    let shown = shared.versions.iter().rev().find(|(made, _)| *made + shared.lag <= now);
    Json(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
}
