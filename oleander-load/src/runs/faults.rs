//! Pairs of faults on a running fleet under load, and the checks that must hold throughout.

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
use crate::drive::client::CallContext;
use crate::drive::client::Client;
use crate::drive::plan::PlanOptions;
use crate::drive::run::ReadClass;
use crate::history::check;
use crate::history::record::Call;
use crate::history::record::Outcome;
use crate::measures::summary::Summary;
use crate::measures::summary::format_percent;
use crate::report::Report;
use crate::report::Table;
use crate::runs::live;
use crate::runs::live::Load;

/// The number of VMs of the fleet.
const VMS: usize = 4;

/// The load, in percent of each workspace's rate limit.
const LOAD_PERCENT: u32 = 40;

/// The duration of the load.
const LOAD_LENGTH: Span = Span::from_secs(8);

/// The time of the first fault, since the start of the load.
const FIRST_FAULT_AT: Span = Span::from_millis(1_000);
/// The time of the second fault, since the start of the load.
const SECOND_FAULT_AT: Span = Span::from_millis(1_500);
/// The time at which all faults end, since the start of the load.
const HEAL_AT: Span = Span::from_millis(4_000);

/// The time within which all VMs must reject a withdrawn API key.
const WITHDRAWAL_LIMIT: Span = Span::from_secs(5);

/// The time within which every database takes writes again at every VM once the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between probes for recovery.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The replication lag set by `Fault::ReplicaBehind`.
const RAISED_LAG: Duration = Duration::from_secs(1);

/// The number of store answers that `Fault::StoreAnswersLost` discards.
const LOST_ANSWER_COUNT: u64 = 3;

/// `Fault` is a fault that a run injects.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The primary of the first database is partitioned off.
    PrimaryCut,
    /// The replication lag of a replica of the first database rises.
    ReplicaBehind,
    /// A VM crashes with open transactions.
    VmKilled,
    /// The API key of a workspace is withdrawn while its clients are connected.
    KeyWithdrawn,
    /// The store refuses all connections.
    StoreDown,
    /// Answers of the store are lost after its transactions took effect, while an operator edits.
    StoreAnswersLost,
    /// Two operators publish the same section at the same time.
    RacingEdits,
    /// All established connections to databases and the store carry no more data; new ones work.
    ConnectionsSilent,
    /// A VM and all instances in its availability zone crash.
    ZoneLost,
}

/// `FaultRun` is a fleet with the state of its injected faults.
struct FaultRun {
    fleet: Fleet,
    /// The numbers of the killed VMs.
    killed: Vec<usize>,
    /// The accepted withdrawal of a key; `None` if none was accepted.
    withdrawn: Option<Withdrawal>,
}

/// `Withdrawal` is the withdrawal of a workspace's API key.
struct Withdrawal {
    workspace: &'static str,
    /// The time at which the fault was injected, in microseconds since the start of the load.
    at: u64,
}

/// Runs each pair of different faults, or only the pair `only`.
///
/// Returns an error if a fleet, its load or a replaced VM cannot be started or the load fails.
pub async fn run(only: Option<(Fault, Fault)>, seed: u64) -> Result<Report, String> {
    let all = Fault::iter().enumerate();
    let pairs = all.flat_map(|(index, first)| {
        Fault::iter().skip(index + 1).map(move |second| (first, second))
    });
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
    let mut run = FaultRun { fleet, killed: Vec::new(), withdrawn: None };
    let plan =
        PlanOptions { seed, length: LOAD_LENGTH, load: LOAD_PERCENT, ..PlanOptions::default() };
    let load = Load::start(&run.fleet, &plan, ReadClass::Routed)?;
    let at = load.wait_until(FIRST_FAULT_AT).await;
    run.inject(first, at).await;
    let at = load.wait_until(SECOND_FAULT_AT).await;
    run.inject(second, at).await;
    load.wait_until(HEAL_AT).await;
    run.heal().await?;
    let recovery = run.wait_recovered().await;
    let history = load.finish(&run.fleet).await?;

    let mut violations: Vec<String> =
        check::check(&history).iter().map(ToString::to_string).collect();
    violations.extend(run.used_after_withdrawal(&history.calls));
    if let Err(reason) = &recovery {
        violations.push(format!("no recovery within {} s: {reason}", RECOVERY_TIMEOUT.as_secs()));
    }
    let summary = Summary::new(&history.calls, &live::limits(&history));
    table.push([
        first.to_string(),
        second.to_string(),
        summary.total.calls.to_string(),
        format_percent(summary.total.timely_share()),
        summary.total.failed.to_string(),
        recovery.map_or_else(|_| "none".to_owned(), |time| format!("{:.2}", time.as_secs_f64())),
        violations.len().to_string(),
    ]);
    report
        .missed
        .extend(violations.into_iter().map(|text| format!("{first} and {second}: {text}")));
    Ok(())
}

impl FaultRun {
    /// Injects a fault at the present time `at`, in microseconds since the start of the load.
    async fn inject(&mut self, fault: Fault, at: u64) {
        let group = &self.fleet.groups[0];
        let primary = group.primary().unwrap_or_default();
        match fault {
            Fault::PrimaryCut => group.partition(primary),
            Fault::ReplicaBehind => group.set_lag((primary + 1) % INSTANCES, RAISED_LAG),
            Fault::VmKilled => self.kill_vm(1),
            Fault::KeyWithdrawn => self.withdraw_key(at).await,
            Fault::StoreDown => self.fleet.store.relay().set_passage(Passage::Refuse),
            Fault::StoreAnswersLost => {
                self.fleet.store.relay().lose_answers("/v3/kv/txn", LOST_ANSWER_COUNT);
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

    /// Ends all faults and restarts the killed VMs.
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

    /// Waits until each VM serves a request to the primary of each database, and returns how long
    /// that took. If it takes longer than `RECOVERY_TIMEOUT`, the error names the request that was
    /// not served, with the last outcome.
    async fn wait_recovered(&self) -> Result<Duration, String> {
        let started = tokio::time::Instant::now();
        let client = Client::new(Span::from_secs(2)).map_err(|error| error.to_string())?;
        let mut unserved = String::new();
        let probes = async {
            for node in self.fleet.nodes.iter().flatten() {
                for (number, database) in self.fleet.profile.databases.iter().enumerate() {
                    let workspace = self.fleet.profile.workspaces[number].name;
                    let key = self.fleet.profile.api_key(workspace);
                    let class = format!("{database}.upsert");
                    let context = CallContext { proxy: node.callers, api_key: &key, session: None };
                    while let Err(outcome) = client.read(context, &class, "probe").await {
                        unserved = format!("{class} at {}: {outcome:?}", node.name);
                        tokio::time::sleep(PROBE_INTERVAL).await;
                    }
                }
            }
        };
        let outcome = tokio::time::timeout(RECOVERY_TIMEOUT, probes).await;
        outcome.map(|()| started.elapsed()).map_err(|_| unserved)
    }

    /// Crashes a VM and removes it from the VM list.
    fn kill_vm(&mut self, number: usize) {
        if let Some(node) = self.fleet.take_node(number) {
            node.kill();
            self.fleet.vms.remove(&vm_name(number));
            self.killed.push(number);
        }
    }

    /// Crashes a VM and all instances in its availability zone.
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

    /// Withdraws the API key of the last workspace. Fails without effect if the store is down.
    async fn withdraw_key(&mut self, at: u64) {
        let profile = &self.fleet.profile;
        let Some(last) = profile.workspaces.last() else { return };
        let workspace = last.name;
        if self.fleet.publish("workspaces", profile.workspaces_without_key(workspace)).await.is_ok()
        {
            self.withdrawn = Some(Withdrawal { workspace, at });
        }
    }

    /// Publishes the same rates with another comment. A conflict or an outage may refuse the edit.
    async fn edit_rates(&self, comment: &str) {
        let text = format!("# {comment}\n{}", self.fleet.profile.rates_section());
        // The outcome is ignored because the fleet must keep working either way.
        let _ = self.fleet.publish("rates", text).await;
    }

    /// Returns a violation if requests with a withdrawn key were served later than
    /// `WITHDRAWAL_LIMIT` after the withdrawal.
    fn used_after_withdrawal(&self, calls: &[Call]) -> Option<String> {
        let Withdrawal { workspace, at } = self.withdrawn.as_ref()?;
        let end = at + WITHDRAWAL_LIMIT.0;
        let late = calls.iter().filter(|call| call.workspace == *workspace && end <= call.invoked);
        let served = late.filter(|call| !is_unserved(call)).count();
        (0 < served).then(|| format!("{served} requests with a withdrawn key were not rejected"))
    }
}

fn is_unserved(call: &Call) -> bool {
    let rejected = matches!(&call.outcome, Outcome::Refused { code: RefusalCode::KeyRejected, .. });
    // A VM whose configuration is not current or that does not run also serves no request.
    rejected || !matches!(call.outcome, Outcome::Answered { .. })
}
