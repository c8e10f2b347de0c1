//! The settings of a node, without those of its adapters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_failover::keeper::messages::KeeperOptions;
use oleander_runtime::settings::span;
use serde::Deserialize;
use serde::Serialize;

use crate::control::follow::REWRITE_TIME;

/// The part of `NodeSettings::revocation` reserved for clock drift and for a process that is held
/// up between reading the clock and sending its answer.
const CURRENCY_MARGIN: Span = Span::from_millis(300);

/// The TTL that is requested for a lease. Shares are used for at most this long without the store, so
/// it is close to the time for which the configuration counts as current. A lost VM leaves the roster
/// when its lease has expired.
const LEASE_TTL: Span = Span::from_millis(4_000);

/// The number of renewal intervals within one TTL: after two renewals that fail at once, a third
/// still reaches the store before the lease ends.
const RENEWALS_PER_LEASE: u64 = 4;

/// The time added to the longest use of a lost lease, for a VM that is held up while it acts.
const LOST_LEASE_MARGIN: Span = Span::from_millis(500);

/// The part of `NodeSettings::recovery` reserved for the start of a process and the return of callers.
const RECOVERY_MARGIN: Span = Span::from_millis(2_000);

/// The part of `NodeSettings::drain` reserved for the change to travel through the store and for a
/// statement to pass a queue.
const DRAIN_MARGIN: Span = Span::from_millis(1_500);

/// The part of the half of `NodeSettings::evacuation` reserved for a statement on its way to the
/// instance.
const EVACUATION_MARGIN: Span = Span::from_millis(300);

/// The time after which a promotion order without an answer can no longer take effect. Calls that
/// lost their answer are executed up to 6 s late, and an order takes up to 1 s to have its effect.
const ORDER_EXPIRY: Span = Span::from_millis(8_000);

/// The time that is added to the life of an entry, since entries may not expire while the store is
/// unavailable for less.
const PAUSED_EXPIRY: Span = Span::from_secs(3);

/// `StoreWatch` says which VMs of a region watch the store for the others.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreWatch {
    /// Two VMs, of which each other VM prefers the nearer one.
    #[default]
    Pair,
    /// One VM, of those with the most processor time. A second one follows it like the others and
    /// watches the store only while the first is lost or has lost the store.
    Standby,
}

/// `HomePlacement` says which instances have the same VM as their home. It must be the same on all
/// VMs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HomePlacement {
    /// Each instance has a home of its own.
    #[default]
    Instance,
    /// All instances of a region have one home, the VM there with the most processor time, or a few
    /// homes if the region has many VMs. The first of them also owns the region's shares of the
    /// rates, and operations are charged at the homes. This suits fleets of many VMs that each see
    /// few requests of a workspace.
    Region,
}

/// `NodeSettings` are the identity of one VM and the time limits that it has to keep.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of the VM, unique in the fleet.
    pub name: String,
    /// The region and the availability zone of the VM.
    pub place: Place,
    /// The region of each availability zone, by the name of the zone.
    pub zones: BTreeMap<String, String>,
    /// The address for the streams of other VMs; port 0 stands for any free port.
    pub peers: SocketAddr,
    /// The time after which a withdrawn API key must have stopped working.
    #[serde(with = "span")]
    pub revocation: Span,
    /// The time from the request to stop to the end of the process.
    #[serde(with = "span")]
    pub grace: Span,
    /// The time after which a leaving instance must get no new work.
    #[serde(with = "span")]
    pub drain: Span,
    /// The shortest lease TTL that the store grants; a longer one may be requested.
    #[serde(with = "span")]
    pub lease: Span,
    /// `true` if the platform rejects a promotion order whose token is lower than one that it has
    /// seen.
    pub fenced: bool,
    /// `true` if requests are served in the order of their priorities and refusals spread the
    /// callers' return.
    #[serde(default)]
    pub overload: bool,
    /// `true` if instances that fail or are slow compared with others of their database are set
    /// aside for a time.
    #[serde(default)]
    pub outliers: bool,
    /// Which instances have the same home.
    #[serde(default)]
    pub homes: HomePlacement,
    /// Which VMs watch the store.
    #[serde(default)]
    pub watch: StoreWatch,
    /// The processor time that the VM may use, in cores; 0 if unknown.
    #[serde(default)]
    pub cpu: f64,
    /// The time within which no instance of an availability zone gets statements any more after an
    /// operator has requested its evacuation.
    #[serde(with = "span", default = "default_evacuation")]
    pub evacuation: Span,
    /// The time between two reports of an instance to the directory. Its entry lapses after three of
    /// them without one.
    #[serde(with = "span", default = "default_reports")]
    pub reports: Span,
    /// The time within which callers must be served again after all VMs have started anew.
    #[serde(with = "span", default = "default_recovery")]
    pub recovery: Span,
}

/// Returns the time for an evacuation where the platform states none.
fn default_evacuation() -> Span {
    Span::from_secs(5)
}

/// Returns the time between two reports of an instance where the platform states none.
fn default_reports() -> Span {
    Span::from_secs(3)
}

/// Returns the time for a recovery where the platform states none.
fn default_recovery() -> Span {
    Span::from_secs(12)
}

impl NodeSettings {
    /// Returns the time for which the configuration counts as current, counted from the sending of
    /// the last request that the store answered.
    pub fn currency_ttl(&self) -> Span {
        self.revocation.saturating_sub(CURRENCY_MARGIN)
    }

    /// Returns the TTL that is requested for the VM's lease. The store may apply another one; the VM
    /// counts its lease by the shorter of the two.
    pub fn lease_ttl(&self) -> Span {
        LEASE_TTL.max(self.lease)
    }

    /// Returns the time from the first reading of a store that was restored from a copy to the next
    /// one, which counts in full: all have written again by then, and nobody goes by a lease that the
    /// store has lost. A VM does so until the requested TTL is over or it has no current configuration.
    pub fn settle_time(&self) -> Span {
        let longest_use = self.lease_ttl().min(self.currency_ttl());
        REWRITE_TIME.max(longest_use + LOST_LEASE_MARGIN)
    }

    /// Returns the longest time for which a process that starts after the store was restored waits for
    /// operators to write again.
    pub fn operator_wait(&self) -> Span {
        REWRITE_TIME.max(self.recovery.saturating_sub(RECOVERY_MARGIN))
    }

    /// Returns the time between two renewals of a lease with this TTL. They are no rarer under a longer
    /// lease, since they also show that the VM reaches the store.
    pub fn renewal_interval(&self, ttl: Span) -> Span {
        Span(ttl.min(LEASE_TTL).0 / RENEWALS_PER_LEASE)
    }

    /// Returns the time for which a leaving instance still gets new work that no other instance can
    /// do.
    pub fn drain_window(&self) -> Span {
        self.drain.saturating_sub(DRAIN_MARGIN)
    }

    /// Returns half of the time for an evacuation: the part for the way of the request from the
    /// store to a VM.
    pub fn half_evacuation(&self) -> Span {
        Span(self.evacuation.0 / 2)
    }

    /// Returns the time for which open transactions may go on in an evacuated zone after this VM
    /// has learned of the request.
    pub fn evacuation_window(&self) -> Span {
        self.half_evacuation().saturating_sub(EVACUATION_MARGIN)
    }

    /// Returns the regions that have a home each, in the order of their names; none if each instance
    /// has its own.
    pub fn home_regions(&self) -> Vec<String> {
        let regions: BTreeSet<&String> = match self.homes {
            HomePlacement::Instance => BTreeSet::new(),
            HomePlacement::Region => self.zones.values().collect(),
        };
        regions.into_iter().cloned().collect()
    }

    /// Returns the processor time that the VM may use, in thousandths of a core.
    pub fn cpu_millis(&self) -> u32 {
        (self.cpu * 1e3) as u32
    }

    /// Returns the options of the keepers.
    pub fn keeper_options(&self) -> KeeperOptions {
        let order_expiry = (!self.fenced).then_some(ORDER_EXPIRY);
        let entry_ttl = self.reports.times(3) + PAUSED_EXPIRY;
        KeeperOptions { order_expiry, entry_ttl, ..KeeperOptions::default() }
    }

    /// Returns the place of an availability zone; an unknown zone gets an empty region.
    pub fn place_of(&self, zone: &str) -> Place {
        let region = self.zones.get(zone).cloned().unwrap_or_default();
        Place { region, zone: zone.to_owned() }
    }
}
