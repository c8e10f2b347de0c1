//! A stand-in for the platform's list of VMs, which shows changes with a configurable delay.

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
use crate::http::RunningServer;
use crate::relay::FaultRelay;
use crate::relay::lock;

/// `VmState` is the state of a VM that the platform reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// `Vm` is an entry of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The name, unique in the list.
    pub name: String,
    /// The state reported for the VM.
    pub state: VmState,
}

/// `VmList` is a running list, served at `GET /v1/vms`.
#[derive(Debug)]
pub struct VmList {
    shared: Arc<Mutex<Shared>>,
    relay: FaultRelay,
    _server: RunningServer,
}

impl VmList {
    /// Starts an empty list on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Returns the error of the operating system if no port can be bound.
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

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the relay in front of the list, which injects faults.
    pub fn relay(&self) -> &FaultRelay {
        &self.relay
    }

    /// Sets the time after which a change shows in the list; it applies to earlier changes too.
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

    /// Returns the number of requests served so far.
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
    /// Each version of the list with the time of its change, oldest first.
    versions: Vec<(Instant, Vec<Vm>)>,
    lag: Duration,
    calls: u64,
}

async fn list(shared: StateRef<'_, Arc<Mutex<Shared>>>) -> Json<Vec<Vm>> {
    let mut shared = lock(&shared);
    shared.calls += 1;
    let now = Instant::now();
    let shown =
        shared.versions.iter().rev().find(|(changed_at, _)| *changed_at + shared.lag <= now);
    Json(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
}
