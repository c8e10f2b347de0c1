//! The cost of pings at the size to come, from the measured cost of one.

use std::time::Duration;
use std::time::Instant;

use oleander_core::time::Span;
use oleander_failover::options::Options;
use oleander_standin::group::Group;
use oleander_standin::group::GroupOptions;
use oleander_upstream::group::Admin;
use oleander_upstream::pool::PoolOptions;

use crate::report::Report;
use crate::report::Table;

/// The number of databases at the size to come.
const DATABASES: f64 = 670.0;

/// The number of VMs at the size to come.
const VMS: f64 = 420.0;

/// The number of instances of a database.
const INSTANCES: f64 = 3.0;

/// The pings by which one is measured.
const SAMPLES: u32 = 500;

/// The bytes of IPv4 and TCP headers with timestamps for a ping's two segments and one bare acknowledgement.
const HEADER_BYTES: f64 = 3.0 * 52.0;

/// The bytes a second that a VM may spend on control.
const BYTES_TARGET: f64 = 4_096.0;

/// The time that a ping may take here.
const LIMIT: Duration = Duration::from_secs(5);

/// `PingCost` is the measured cost of one ping.
#[derive(Clone, Copy, Debug)]
struct PingCost {
    bytes: f64,
    busy: Duration,
}

/// Makes the table of costs.
pub fn table(report: &mut Report) -> Table {
    let columns =
        ["pings", "a database / s", "a VM / s", "payload B/s", "with headers B/s", "core %"];
    let mut table = Table::new("Pings at 670 databases and 420 VMs, per VM", &columns);
    let Some(cost) = measure() else {
        report.require(false, "the cost of a ping could be measured");
        return table;
    };
    let usual = Options::default();
    let fast = usual.ping_interval;
    let steady = Options { standby_interval: fast, replica_interval: fast, ..usual };
    for (name, options) in [("policy", usual), ("all instances alike", steady)] {
        let database = pings_per_second(&options);
        let vm = database * DATABASES / VMS;
        let wire = vm * (cost.bytes + HEADER_BYTES);
        table.push([
            name.to_owned(),
            format!("{database:.1}"),
            format!("{vm:.1}"),
            format!("{:.0}", vm * cost.bytes),
            format!("{wire:.0}"),
            format!("{:.3}", 100.0 * vm * cost.busy.as_secs_f64()),
        ]);
        if name == "policy" {
            report.require(wire < BYTES_TARGET, "pings stay under 4 KB a second on each VM");
        }
    }
    table
}

/// Gets the pings of one database by both of its homes together, in a second.
fn pings_per_second(options: &Options) -> f64 {
    let rate = |interval: Span| 1.0 / interval.as_secs_f64();
    let replicas = 2.0 * (INSTANCES - 1.0) * rate(options.replica_interval);
    rate(options.ping_interval) + rate(options.standby_interval) + replicas
}

/// Pings a stand-in over real sockets; the time is that of both sides together.
fn measure() -> Option<PingCost> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        let group = Group::start(GroupOptions::default()).await.ok()?;
        let address = group.addresses()[0].to_string();
        let admin = Admin::new(&address, &PoolOptions::default()).ok()?;
        admin.status(LIMIT).await.ok()?;
        let (bytes, start) = (group.relay(0).bytes(), Instant::now());
        for _ in 0..SAMPLES {
            admin.status(LIMIT).await.ok()?;
        }
        let busy = start.elapsed() / SAMPLES;
        let bytes = (group.relay(0).bytes() - bytes) as f64 / f64::from(SAMPLES);
        Some(PingCost { bytes, busy })
    })
}
