//! A running fleet with stand-ins of its platform and databases.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use oleander_agent::settings::Times;
use oleander_config::sections::parse_stored;
use oleander_core::ids::ChangeId;
use oleander_core::ids::VmId;
use oleander_core::time::Span;
use oleander_limits::rates::owner::LOAN_EXPIRY_WAIT;
use oleander_membership::messages::SectionBody;
use oleander_proxy::fleet::view::FleetView;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_standin::store::Store;
use oleander_standin::vms::VmList;
use oleander_standin::vms::VmState;
use oleander_store::configuration;
use oleander_store::configuration::Publication;
use oleander_store::configuration::PublishError;
use oleander_store::store::StoreOptions;

use crate::cluster::errors::Error;
use crate::cluster::errors::Result;
use crate::cluster::errors::configuration_error;
use crate::cluster::node::Node;
use crate::cluster::node::NodeOptions;
use crate::cluster::profile::INSTANCES;
use crate::cluster::profile::Profile;
use crate::drive::run::Endpoint;
use crate::drive::run::Endpoints;

/// The number of shares of the fleet.
const SHARE_COUNT: u16 = 64;

/// The maximum difference between the numbers of shares that two VMs of a ready fleet own.
const MAX_IMBALANCE: usize = 2;

/// The time within which a fleet must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between checks of whether a fleet is ready.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `FleetOptions` are the options of all VMs of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetOptions {
    /// The intervals and timeouts of the agents.
    pub times: Times,
    /// The time between a proxy's loss of readiness and the end of accepting connections.
    pub settle: Span,
    /// The time after which a stop aborts requests and transactions that are still open.
    pub drain: Span,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self { times: Times::default(), settle: Span::from_millis(300), drain: Span::from_secs(20) }
    }
}

/// `Fleet` is a running fleet in this process.
pub struct Fleet {
    /// The profile that sets the size and the configuration of the fleet.
    pub profile: Arc<Profile>,
    /// The stand-in for the platform's store.
    pub store: Store,
    /// The stand-in for the platform's VM list.
    pub vms: VmList,
    /// The stand-ins for the databases, in the order of the profile.
    pub groups: Vec<Group>,
    /// The VMs by number; `None` for a VM that was stopped or killed.
    pub nodes: Vec<Option<Node>>,
    /// The VMs that accept clients.
    pub endpoints: Endpoints,
    options: FleetOptions,
}

impl Fleet {
    /// Starts a fleet and waits until each VM is ready.
    ///
    /// Returns an error if a part cannot listen or the fleet is not ready in time.
    pub async fn start(profile: Profile, options: FleetOptions) -> Result<Self> {
        let store = Store::start().await?;
        let vms = VmList::start().await?;
        let mut groups = Vec::new();
        for _ in profile.databases {
            groups.push(Group::start(group_options(&profile)).await?);
        }
        let count = profile.vms;
        let mut fleet = Self {
            profile: Arc::new(profile),
            store,
            vms,
            groups,
            nodes: Vec::new(),
            endpoints: Endpoints::default(),
            options,
        };
        fleet.publish_all().await?;
        for number in 0..count {
            fleet.vms.set(vm_name(number), VmState::Live);
            let node = Node::start(fleet.node_options(number)).await?;
            fleet.nodes.push(Some(node));
        }
        fleet.wait_ready().await?;
        // New owners of rate shares must wait until all loans of possible earlier owners have expired.
        tokio::time::sleep(LOAN_EXPIRY_WAIT.duration()).await;
        Ok(fleet)
    }

    /// Publishes a section of the configuration, as an operator does, and returns the new revision.
    ///
    /// Returns an error if the configuration is refused or the store does not answer.
    pub async fn publish(&self, section: &str, text: String) -> Result<u64> {
        let store = self.store_client();
        let document = configuration::read_document(&store).await.map_err(configuration_error)?;
        let base = document.head.hash(section);
        let publication = Publication {
            section: section.to_owned(),
            text,
            base,
            change: ChangeId(rand::random()),
        };
        let applied = configuration::publish(&store, &publication, check_sections).await;
        applied.map(|applied| applied.revision.0).map_err(|error| match error {
            PublishError::Rejected(reason) => configuration_error(reason),
            other => configuration_error(format!("{other:?}")),
        })
    }

    /// Restarts the VM with this number and waits until the fleet is ready.
    ///
    /// Returns an error if the VM cannot listen or the fleet is not ready in time.
    pub async fn restart(&mut self, number: usize) -> Result<()> {
        self.start_node(number).await?;
        self.wait_ready().await
    }

    /// Restarts the VM with this number without waiting for it.
    ///
    /// Returns an error if the VM cannot listen.
    pub async fn start_node(&mut self, number: usize) -> Result<()> {
        self.vms.set(vm_name(number), VmState::Live);
        self.nodes[number] = Some(Node::start(self.node_options(number)).await?);
        Ok(())
    }

    /// Removes the VM from the fleet and from the endpoints, and returns it still running; `None`
    /// if there is none with this number.
    pub fn take_node(&mut self, number: usize) -> Option<Node> {
        let node = self.nodes[number].take();
        self.update_endpoints();
        node
    }

    /// Waits until each running VM is ready, has a configuration and sees the shares spread evenly
    /// over all running VMs. Then updates the endpoints.
    ///
    /// Returns an error after `START_TIMEOUT`.
    pub async fn wait_ready(&self) -> Result<()> {
        let ready = async {
            while !self.is_ready() {
                tokio::time::sleep(START_POLL_INTERVAL).await;
            }
        };
        let outcome = tokio::time::timeout(START_TIMEOUT, ready).await;
        self.update_endpoints();
        outcome.map_err(|_| Error::NotReady("a VM is not current or a share has no owner"))
    }

    /// Creates a client of the store.
    pub fn store_client(&self) -> oleander_store::store::Store {
        let endpoints = vec![format!("http://{}", self.store.address())];
        oleander_store::store::Store::new(StoreOptions { endpoints, ..StoreOptions::default() })
    }

    /// Replaces the endpoints by the running VMs.
    pub fn update_endpoints(&self) {
        let endpoint = |node: &Node| Endpoint { name: node.name.clone(), address: node.callers };
        self.endpoints.set(self.nodes.iter().flatten().map(endpoint).collect());
    }

    fn is_ready(&self) -> bool {
        let running = self.nodes.iter().flatten().count();
        self.nodes.iter().flatten().all(|node| {
            let view = node.proxy().fleet();
            node.proxy().is_ready() && 0 < view.snapshot.revision.0 && is_balanced(&view, running)
        })
    }

    async fn publish_all(&self) -> Result<()> {
        let profile = &self.profile;
        let addresses: Vec<_> = self.groups.iter().map(Group::addresses).collect();
        self.publish("workspaces", profile.workspaces_section()).await?;
        self.publish("rates", profile.rates_section()).await?;
        self.publish("upstreams", profile.upstreams_section(&addresses)).await?;
        self.publish("routes", profile.routes_section()).await?;
        Ok(())
    }

    fn node_options(&self, number: usize) -> NodeOptions {
        NodeOptions {
            name: vm_name(number),
            place: self.profile.place(number),
            store: format!("http://{}", self.store.address()),
            vms: format!("http://{}", self.vms.address()),
            shares: SHARE_COUNT,
            times: self.options.times,
            settle: self.options.settle,
            drain: self.options.drain,
        }
    }
}

/// Returns the name of the VM with this number.
pub fn vm_name(number: usize) -> String {
    format!("vm-{number}")
}

/// Returns `true` if all shares have owners and are spread evenly over the `running` VMs.
fn is_balanced(view: &FleetView, running: usize) -> bool {
    let mut counts: HashMap<VmId, usize> = HashMap::new();
    for owner in &view.shares.owners {
        let Some(owner) = owner else { return false };
        *counts.entry(owner.vm).or_default() += 1;
    }
    let least = counts.values().min().copied().unwrap_or_default();
    let most = counts.values().max().copied().unwrap_or_default();
    counts.len() == running && most <= least + MAX_IMBALANCE
}

fn group_options(profile: &Profile) -> GroupOptions {
    GroupOptions {
        instances: INSTANCES as u8,
        slots: profile.slots,
        connections: profile.connections,
        lag: profile.lag.duration(),
        service: profile.service.duration(),
        connect: profile.connect.duration(),
    }
}

fn check_sections(bodies: &[SectionBody]) -> std::result::Result<(), String> {
    let lines = |problems: Vec<oleander_config::problems::Problem>| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    parse_stored(bodies.iter().map(SectionBody::named)).map(|_| ()).map_err(lines)
}
