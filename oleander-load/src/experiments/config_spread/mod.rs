//! Propagation of the configuration, cost of control traffic, and currency, by fleet size.
//!
//! The agents' state machines run in virtual time with a simulated network and store. The policy is
//! compared with three variants: no immediate heartbeats about new revisions, whole sections
//! instead of differences, and a fleet in which all VMs read the store.

mod document;
mod fleet;
mod fake_store;
mod store;
mod traffic;

use oleander_core::time::Span;
use oleander_core::time::Time;

use crate::experiments::config_spread::fleet::Fleet;
use crate::experiments::config_spread::fleet::FleetOptions;
use crate::experiments::config_spread::traffic::new_histogram;
use crate::report::Report;
use crate::report::Table;

/// The fleet sizes, each with the number of changes that are published.
const SIZES: [(usize, u32); 4] = [(9, 24), (50, 8), (150, 3), (420, 2)];

/// The number of configuration changes per day.
const CHANGES_PER_DAY: u64 = 2_200;

/// The time between two changes.
const CHANGE_INTERVAL: Span = Span::from_millis(86_400_000 / CHANGES_PER_DAY);

/// The time before the measurement, in which the fleet starts up.
const WARM_UP: Span = Span::from_secs(20);

/// The maximum number of bytes that one VM may send and receive for control per second.
const MAX_CONTROL_BYTES: f64 = 4_096.0;

/// The maximum number of reads per second that the store can serve.
const MAX_STORE_READS: f64 = 2_000.0;

/// The maximum time until an isolated VM refuses keyed work.
const CUT_OFF_LIMIT: Span = Span::from_secs(5);

/// Runs the experiment from its seed.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("configuration: spread, cost of control, currency", seed);
    measure_spread(seed, &mut report);
    measure_cut_off(seed, &mut report);
    measure_outage(seed, &mut report);
    report
}

/// `Policy` is a method of propagating the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// The production policy: watchers, heartbeats, immediate heartbeats about new revisions, and
    /// differences.
    Full,
    /// Like `Full`, but new revisions are sent with the next regular heartbeats.
    NoPush,
    /// Like `Full`, but sections are sent whole.
    WholeSections,
    /// Like `Full`, but all VMs are watchers and read the store at their interval.
    AllRead,
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Policy::Full => "watchers, push, differences",
            Policy::NoPush => "without push",
            Policy::WholeSections => "whole sections",
            Policy::AllRead => "all VMs read the store",
        }
    }

    fn options(self, vms: usize) -> FleetOptions {
        let mut options = FleetOptions::new(vms);
        match self {
            Policy::Full => {}
            Policy::NoPush => options.node.push_fanout = 0,
            Policy::WholeSections => options.whole_sections = true,
            Policy::AllRead => options.node.watchers = vms,
        }
        options
    }
}

fn measure_spread(seed: u64, report: &mut Report) {
    let mut spread = Table::new(
        "time from the commit until the revision is in force on a VM",
        &["VMs", "policy", "changes", "p50 ms", "p99 ms", "max ms"],
    );
    let mut cost = Table::new(
        "cost of control for one VM, sent and received, and calls to the store by all VMs",
        &[
            "VMs",
            "policy",
            "mean B/s",
            "busiest B/s",
            "messages/s",
            "store reads/s",
            "watches",
            "store writes/s",
            "state KB",
            "decisions us/s",
        ],
    );
    for (vms, changes) in SIZES {
        for policy in [Policy::Full, Policy::NoPush, Policy::WholeSections, Policy::AllRead] {
            if is_skipped(vms, policy) {
                continue;
            }
            let mut fleet = Fleet::new(seed, policy.options(vms));
            fleet.run(WARM_UP);
            fleet.traffic.reset(fleet.now());
            for _ in 0..changes {
                fleet.publish();
                fleet.run(CHANGE_INTERVAL);
            }
            add_spread(&mut spread, policy, vms, changes, &fleet);
            add_cost(&mut cost, policy, vms, &fleet);
            if policy == Policy::Full {
                check_targets(report, vms, changes, &fleet);
            }
        }
    }
    report.tables.push(spread);
    report.tables.push(cost);
}

/// Returns `true` if a policy is not run at a fleet size. The largest fleets run fewer variants, and
/// finally only the policy that has targets, to keep the experiment short.
fn is_skipped(vms: usize, policy: Policy) -> bool {
    match policy {
        Policy::Full => false,
        Policy::NoPush | Policy::WholeSections => 50 < vms,
        Policy::AllRead => 150 < vms,
    }
}

fn add_spread(table: &mut Table, policy: Policy, vms: usize, changes: u32, fleet: &Fleet) {
    let times = &fleet.spread;
    table.push([
        vms.to_string(),
        policy.name().to_owned(),
        changes.to_string(),
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99)),
        millis(times.max()),
    ]);
}

fn add_cost(table: &mut Table, policy: Policy, vms: usize, fleet: &Fleet) {
    let rates = fleet.traffic.rates(fleet.now());
    table.push([
        vms.to_string(),
        policy.name().to_owned(),
        format!("{:.0}", rates.mean_bytes),
        format!("{:.0}", rates.max_bytes),
        format!("{:.1}", rates.messages),
        format!("{:.1}", rates.reads),
        fleet.watchers().to_string(),
        format!("{:.3}", rates.writes),
        format!("{:.0}", fleet.state_bytes() as f64 / 1_024.0),
        format!("{:.0}", rates.decision_micros),
    ]);
}

fn check_targets(report: &mut Report, vms: usize, changes: u32, fleet: &Fleet) {
    let limit = if vms <= 9 { Span::from_secs(1) } else { Span::from_secs(10) };
    let complete = fleet.spread.len() == u64::from(changes) * vms as u64;
    let max = Span(fleet.spread.max());
    report.require(
        complete && max <= limit,
        format!("{vms} VMs: every revision in force on every VM within {} s", limit.as_secs_f64()),
    );
    let rates = fleet.traffic.rates(fleet.now());
    report.require(
        rates.max_bytes <= MAX_CONTROL_BYTES,
        format!("{vms} VMs: at most 4 KB a second for control on each VM"),
    );
    let calls = rates.reads + fleet.watchers() as f64;
    report.require(calls <= MAX_STORE_READS, format!("{vms} VMs: the store's limit of reads"));
    report.require(!fleet.lost_currency, format!("{vms} VMs: no VM loses currency"));
}

/// Isolates one VM at a time and measures how long it stays current.
fn measure_cut_off(seed: u64, report: &mut Report) {
    let mut table = Table::new(
        "time from a cut until the VM refuses keyed work",
        &["VMs", "cuts", "p50 ms", "max ms"],
    );
    for (vms, cuts) in [(9, 40), (150, 8)] {
        let mut times = new_histogram();
        let mut fleet = Fleet::new(seed, FleetOptions::new(vms));
        fleet.run(WARM_UP);
        for cut in 0..cuts {
            let vm = cut % vms;
            fleet.isolate(vm);
            let start = fleet.now();
            while fleet.is_current(vm) && fleet.now() < start + CUT_OFF_LIMIT.times(4) {
                fleet.run(Span::from_millis(10));
            }
            times.saturating_record(fleet.now().since(start).0);
            fleet.reconnect(vm);
            fleet.run(Span::from_millis(3_137));
        }
        report.require(
            Span(times.max()) <= CUT_OFF_LIMIT,
            format!("{vms} VMs: a VM that is cut off refuses keyed work within 5 s"),
        );
        table.push([
            vms.to_string(),
            cuts.to_string(),
            millis(times.value_at_quantile(0.5)),
            millis(times.max()),
        ]);
    }
    report.tables.push(table);
}

/// Makes the store unavailable and counts the VMs that can no longer serve.
fn measure_outage(seed: u64, report: &mut Report) {
    let mut table = Table::new(
        "store outage: VMs that lose currency or the use of their shares",
        &["VMs", "outage s", "samples", "refusing samples", "probes/s by all VMs"],
    );
    for (vms, outage) in [(9, Span::from_secs(3_600)), (150, Span::from_secs(30))] {
        let mut fleet = Fleet::new(seed, FleetOptions::new(vms));
        fleet.run(WARM_UP);
        fleet.traffic.reset(fleet.now());
        fleet.set_store(false);
        let end = fleet.now() + outage;
        let (mut samples, mut refusing) = (0, 0);
        while fleet.now() < end {
            fleet.run(Span::from_millis(100));
            samples += vms;
            refusing += (0..vms).filter(|vm| !fleet.can_serve(*vm)).count();
        }
        let rates = fleet.traffic.rates(fleet.now());
        report.require(refusing == 0, format!("{vms} VMs: a store outage refuses nothing"));
        report.require(
            rates.reads <= MAX_STORE_READS,
            format!("{vms} VMs: probes within the store's limit"),
        );
        table.push([
            vms.to_string(),
            format!("{:.0}", outage.as_secs_f64()),
            samples.to_string(),
            refusing.to_string(),
            format!("{:.1}", rates.reads),
        ]);
    }
    report.tables.push(table);
}

fn millis(micros: u64) -> String {
    format!("{:.0}", Time(micros).0 as f64 / 1_000.0)
}
