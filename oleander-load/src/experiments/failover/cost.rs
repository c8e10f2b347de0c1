//! The cost of pings at the planned fleet size, extrapolated from the measured cost of one ping.

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

/// The planned number of databases.
const DATABASES: f64 = 670.0;

/// The planned number of VMs.
const VMS: f64 = 420.0;

/// The number of instances of a database.
const INSTANCES: f64 = 3.0;

/// The number of pings over which the cost is averaged.
const SAMPLES: u32 = 500;

/// The bytes of IPv4 and TCP headers with timestamps for a ping's two segments and one
/// acknowledgement without data.
const HEADER_BYTES: f64 = 3.0 * 52.0;

/// The bytes that a VM may send and receive for control in a second.
const MAX_BYTES_PER_SECOND: f64 = 4_096.0;

/// The timeout of a ping in the measurement.
const PING_TIMEOUT: Duration = Duration::from_secs(5);

/// `PingCost` is the measured cost of one ping.
#[derive(Clone, Copy, Debug)]
struct PingCost {
    /// The payload in both directions.
    bytes: f64,
    /// The elapsed time, of both sides together.
    duration: Duration,
}

/// Returns the table of costs of pings.
pub fn table(report: &mut Report) -> Table {
    let columns =
        ["pings", "a database / s", "a VM / s", "payload B/s", "with headers B/s", "core %"];
    let mut table = Table::new("Pings at 670 databases and 420 VMs, per VM", &columns);
    let Some(cost) = measure() else {
        report.require(false, "the cost of a ping could be measured");
        return table;
    };
    let base = Options::default();
    let fast = base.ping_interval;
    let uniform = Options { standby_interval: fast, replica_interval: fast, ..base };
    for (name, options) in [("policy", base), ("all instances alike", uniform)] {
        let database = pings_per_second(&options);
        let vm = database * DATABASES / VMS;
        let wire = vm * (cost.bytes + HEADER_BYTES);
        table.push([
            name.to_owned(),
            format!("{database:.1}"),
            format!("{vm:.1}"),
            format!("{:.0}", vm * cost.bytes),
            format!("{wire:.0}"),
            format!("{:.3}", 100.0 * vm * cost.duration.as_secs_f64()),
        ]);
        if name == "policy" {
            report
                .require(wire < MAX_BYTES_PER_SECOND, "pings stay under 4 KB a second on each VM");
        }
    }
    table
}

/// Returns the number of pings that both homes of a database send together in a second.
fn pings_per_second(options: &Options) -> f64 {
    let rate = |interval: Span| 1.0 / interval.as_secs_f64();
    let replicas = 2.0 * (INSTANCES - 1.0) * rate(options.replica_interval);
    rate(options.ping_interval) + rate(options.standby_interval) + replicas
}

/// Pings a stand-in over real sockets, with both sides on one thread. Returns `None` if that fails.
fn measure() -> Option<PingCost> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    runtime.block_on(async {
        let group = Group::start(GroupOptions::default()).await.ok()?;
        let address = group.addresses()[0].to_string();
        let admin = Admin::new(&address, &PoolOptions::default()).ok()?;
        admin.status(PING_TIMEOUT).await.ok()?;
        let (bytes, start) = (group.relay(0).bytes(), Instant::now());
        for _ in 0..SAMPLES {
            admin.status(PING_TIMEOUT).await.ok()?;
        }
        let duration = start.elapsed() / SAMPLES;
        let bytes = (group.relay(0).bytes() - bytes) as f64 / f64::from(SAMPLES);
        Some(PingCost { bytes, duration })
    })
}
