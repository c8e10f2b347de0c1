//! Faults in pairs on a running fleet under load, with the checks that must hold through all of them.

use std::time::Duration;

use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_standin::relay::Passage;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoEnumIterator as _;

use crate::cluster::fleet::Fleet;
use crate::cluster::fleet::FleetOptions;
use crate::cluster::fleet::vm_name;
use crate::cluster::profile::INSTANCES;
use crate::cluster::profile::Profile;
use crate::cluster::profile::User;
use crate::drive::client::Address;
use crate::drive::client::Client;
use crate::drive::plan::PlanOptions;
use crate::drive::run::ReadClass;
use crate::history::check;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::measures::summary::Summary;
use crate::measures::summary::percent;
use crate::report::Report;
use crate::report::Table;
use crate::runs::live;
use crate::runs::live::Load;

/// The VMs of the fleet.
const VMS: usize = 4;

/// The load as a part of each workspace's rate, in percent.
const LOAD: u32 = 40;

/// The length of the load.
const LENGTH: Span = Span::from_secs(8);

/// The times of the first and the second fault and of their end, from the start of the load.
const FIRST: Span = Span::from_millis(1_000);
const SECOND: Span = Span::from_millis(1_500);
const HEAL: Span = Span::from_millis(4_000);

/// The time within which a withdrawn key must stop working everywhere.
const WITHDRAWAL: Span = Span::from_secs(5);

/// The time within which every database takes writes again at every VM once the faults have ended.
const RECOVERY: Duration = Duration::from_secs(10);

/// The time between two probes for recovery.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// The lag of the replica that falls behind.
const LONG_LAG: Duration = Duration::from_secs(1);

/// The answers of the store that are lost.
const LOST_ANSWERS: u64 = 3;

/// `Fault` is something that goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The primary of the first database is cut off from everything.
    PrimaryCut,
    /// A replica of the first database falls behind.
    ReplicaBehind,
    /// A VM ends at once, with its open transactions.
    VmKilled,
    /// A workspace's key is withdrawn while its callers are connected.
    KeyWithdrawn,
    /// The store refuses all calls.
    StoreDown,
    /// Answers of the store are lost after the change has taken effect, while operators edit.
    StoreAnswersLost,
    /// Two operators edit the same section at once.
    RacingEdits,
    /// All open connections to databases and the store fall silent; new ones work.
    ConnectionsSilent,
    /// An availability zone is lost: a VM and the instances in its zone.
    ZoneLost,
}

/// `Scene` is a fleet with what the faults did to it.
struct Scene {
    fleet: Fleet,
    killed: Vec<usize>,
    withdrawn: Option<Withdrawal>,
}

/// `Withdrawal` is an accepted withdrawal of a workspace's key.
struct Withdrawal {
    workspace: &'static str,
    /// The time, in microseconds since the start of the load.
    at: u64,
}

/// Runs each pair of different faults, or the one pair that is named.
///
/// Fails if a fleet does not come up.
pub async fn run(only: Option<(Fault, Fault)>, seed: u64) -> Result<Report, String> {
    let all = Fault::iter().enumerate();
    let pairs =
        all.flat_map(|(at, first)| Fault::iter().skip(at + 1).map(move |second| (first, second)));
    let pairs: Vec<(Fault, Fault)> = only.map_or_else(|| pairs.collect(), |pair| vec![pair]);
    let mut report = Report::new("Faults in pairs under load", seed);
    let columns = ["first", "second", "calls", "timely", "failed", "recovery s", "broken"];
    let mut table = Table::new("Pairs", &columns);
    for (first, second) in pairs {
        eprintln!("{first} and {second}");
        run_pair(&mut report, &mut table, first, second, seed).await?;
    }
    report.tables.push(table);
    Ok(report)
}

async fn run_pair(
    report: &mut Report,
    table: &mut Table,
    first: Fault,
    second: Fault,
    seed: u64,
) -> Result<(), String> {
    let profile = Profile { vms: VMS, ..Profile::of(User::Magnolia) };
    let fleet =
        Fleet::start(profile, FleetOptions::default()).await.map_err(|error| error.to_string())?;
    let mut scene = Scene { fleet, killed: Vec::new(), withdrawn: None };
    let plan = PlanOptions { seed, length: LENGTH, load: LOAD, ..PlanOptions::default() };
    let load = Load::start(&scene.fleet, &plan, ReadClass::Routed)?;
    let at = load.wait_until(FIRST).await;
    scene.inject(first, at).await;
    let at = load.wait_until(SECOND).await;
    scene.inject(second, at).await;
    load.wait_until(HEAL).await;
    scene.heal().await?;
    let recovery = scene.recover().await;
    let history = load.finish(&scene.fleet).await?;

    let mut broken: Vec<String> = check::check(&history).iter().map(ToString::to_string).collect();
    broken.extend(scene.used_after_withdrawal(&history.calls));
    if recovery.is_none() {
        broken.push(format!("no recovery within {} s", RECOVERY.as_secs()));
    }
    let summary = Summary::new(&history.calls, &live::limits(&history));
    table.push([
        first.to_string(),
        second.to_string(),
        summary.total.calls.to_string(),
        percent(summary.total.timely_share()),
        summary.total.failed.to_string(),
        recovery.map_or_else(|| "none".to_owned(), |time| format!("{:.2}", time.as_secs_f64())),
        broken.len().to_string(),
    ]);
    report.missed.extend(broken.into_iter().map(|text| format!("{first} and {second}: {text}")));
    Ok(())
}

impl Scene {
    async fn inject(&mut self, fault: Fault, at: u64) {
        let group = &self.fleet.groups[0];
        let primary = group.primary().unwrap_or_default();
        match fault {
            Fault::PrimaryCut => group.partition(primary),
            Fault::ReplicaBehind => group.set_lag((primary + 1) % INSTANCES, LONG_LAG),
            Fault::VmKilled => self.kill_vm(1),
            Fault::KeyWithdrawn => self.withdraw(at).await,
            Fault::StoreDown => self.fleet.store.relay().set_passage(Passage::Refuse),
            Fault::StoreAnswersLost => {
                self.fleet.store.relay().lose_answers("/v3/kv/txn", LOST_ANSWERS);
                self.edit_rates("lost answers").await;
            }
            Fault::RacingEdits => {
                tokio::join!(self.edit_rates("one"), self.edit_rates("other"));
            }
            Fault::ConnectionsSilent => {
                self.fleet.store.relay().silence_established();
                for group in &self.fleet.groups {
                    (0..INSTANCES).for_each(|ordinal| group.relay(ordinal).silence_established());
                }
            }
            Fault::ZoneLost => self.lose_zone(2),
        }
    }

    /// Ends the faults; a killed VM is replaced.
    async fn heal(&mut self) -> Result<(), String> {
        self.fleet.store.relay().set_passage(Passage::Open);
        for group in &self.fleet.groups {
            for ordinal in 0..INSTANCES {
                group.heal(ordinal);
                group.set_lag(ordinal, self.fleet.profile.lag.duration());
            }
        }
        for number in std::mem::take(&mut self.killed) {
            self.fleet.start_node(number).await.map_err(|error| error.to_string())?;
        }
        self.fleet.update_endpoints();
        Ok(())
    }

    /// Waits until each database takes a write at each VM; `None` if that takes too long.
    async fn recover(&self) -> Option<Duration> {
        let started = tokio::time::Instant::now();
        let client = Client::new(Span::from_secs(2)).ok()?;
        let probes = async {
            for node in self.fleet.nodes.iter().flatten() {
                for (number, database) in self.fleet.profile.databases.iter().enumerate() {
                    let workspace = self.fleet.profile.workspaces[number].name;
                    let key = self.fleet.profile.key(workspace);
                    let class = format!("{database}.upsert");
                    let address = Address { proxy: node.callers, key: &key, session: None };
                    while client.read(address, &class, "probe").await.is_err() {
                        tokio::time::sleep(PROBE_PAUSE).await;
                    }
                }
            }
        };
        tokio::time::timeout(RECOVERY, probes).await.ok().map(|()| started.elapsed())
    }

    fn kill_vm(&mut self, number: usize) {
        if let Some(node) = self.fleet.take(number) {
            node.kill();
            self.fleet.vms.remove(&vm_name(number));
            self.killed.push(number);
        }
    }

    fn lose_zone(&mut self, number: usize) {
        let zone = self.fleet.profile.place(number).zone;
        self.kill_vm(number);
        for (database, group) in self.fleet.groups.iter().enumerate() {
            for ordinal in 0..INSTANCES {
                if self.fleet.profile.place(database + ordinal).zone == zone {
                    group.kill(ordinal);
                }
            }
        }
    }

    /// Withdraws the key of the last workspace; a store that is down accepts no withdrawal.
    async fn withdraw(&mut self, at: u64) {
        let profile = &self.fleet.profile;
        let Some(last) = profile.workspaces.last() else { return };
        let workspace = last.name;
        if self.fleet.publish("workspaces", profile.workspaces_without_key(workspace)).await.is_ok()
        {
            self.withdrawn = Some(Withdrawal { workspace, at });
        }
    }

    /// Publishes the same rates with another comment; a conflict or an outage refuses it.
    async fn edit_rates(&self, comment: &str) {
        let text = format!("# {comment}\n{}", self.fleet.profile.rates_section());
        // What became of the edit shows in the fleet, which must go on either way.
        let _ = self.fleet.publish("rates", text).await;
    }

    /// Gets what was served to a withdrawn key too late.
    fn used_after_withdrawal(&self, calls: &[Call]) -> Option<String> {
        let Withdrawal { workspace, at } = self.withdrawn.as_ref()?;
        let end = at + WITHDRAWAL.0;
        let late = calls.iter().filter(|call| call.workspace == *workspace && end <= call.invoked);
        let served = late.filter(|call| !is_key_rejected(call)).count();
        (0 < served).then(|| format!("{served} requests with a withdrawn key were not rejected"))
    }
}

fn is_key_rejected(call: &Call) -> bool {
    let rejected = matches!(&call.outcome, Outcome::Refused { code: RefusalCode::KeyRejected, .. });
    // A VM that is not current and one that is gone serve nobody either.
    rejected || !matches!(call.outcome, Outcome::Answered { .. })
}
