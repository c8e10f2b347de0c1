//! Probes of membership: heartbeats, state, views, the propagation of an edit and a lost zone.

use std::hint::black_box;

use oleander_core::time::Span;
use oleander_membership::messages::View;
use oleander_peer::codec;
use oleander_peer::codec::FrameBuffer;
use oleander_peer::messages::Reply;

use crate::capacity::fleet::Fleet;
use crate::capacity::line::Axis;
use crate::capacity::line::Point;
use crate::capacity::line::Series;
use crate::capacity::measure::bytes_per_value;
use crate::capacity::measure::nanos_per_call;

/// The measured numbers of VMs.
const FLEET_SIZES: [u16; 3] = [60, 120, 240];

/// The target size, measured to check the extrapolation.
const TARGET_VMS: u16 = 420;

/// The virtual time before the counters start.
const WARM_UP: Span = Span::from_secs(10);

/// The virtual time over which the counters run.
const COUNTING_TIME: Span = Span::from_secs(30);

/// The maximum time that an edit takes to come into force everywhere, or the shares of a lost zone
/// to get new owners, before the measurement gives up.
const SPREAD_LIMIT: Span = Span::from_secs(120);

/// The number of node states whose memory is measured.
const STATE_COPIES: usize = 200;

/// The number of views of a timed run.
const TIMED_VIEWS: u32 = 50;

/// The series of the processor time of heartbeat decisions.
pub const CPU: &str = "heartbeats: decision time, us a second a VM";
/// The series of heartbeat calls.
pub const CALLS: &str = "heartbeats: calls a second a VM";
/// The series of heartbeat bytes.
pub const BYTES: &str = "heartbeats: frame bytes a second a VM";
/// The series of the memory of the membership state.
pub const STATE: &str = "agent: state of membership, bytes";
/// The series of the size of a view that the agent sends to the proxy.
pub const VIEW: &str = "agent to proxy: bytes of a view";
/// The series of the time to encode and decode a view.
pub const VIEW_TIME: &str = "agent to proxy: write and read a view, us";
/// The series of the size of the share record.
pub const SHARES: &str = "store: bytes of the record of shares";
/// The series of reads of the store.
pub const READS: &str = "store: reads a second of the fleet";
/// The series of the number of watchers.
pub const WATCHERS: &str = "store: VMs that watch it";
/// The series of the hops until an edit is in force everywhere.
pub const HOPS: &str = "edit: hops until in force everywhere";
/// The series of the time until an edit is in force everywhere.
pub const SPREAD: &str = "edit: s until in force everywhere, without latency";
/// The series of the bytes that an edit adds to heartbeats.
pub const EDIT_BYTES: &str = "edit: frame bytes a VM beside heartbeats";
/// The series of the time until all shares of a lost zone have new owners.
pub const ZONE_TIME: &str = "lost zone: s until all shares have owners";
/// The series of the commits to the store after the loss of a zone.
pub const ZONE_COMMITS: &str = "lost zone: commits to the store";

/// The number of quantities measured for each fleet.
const QUANTITY_COUNT: usize = 14;

/// The names of the series, in the order in which `measure_fleet` returns their values.
const NAMES: [&str; QUANTITY_COUNT] = [
    CPU,
    CALLS,
    BYTES,
    STATE,
    VIEW,
    VIEW_TIME,
    SHARES,
    READS,
    WATCHERS,
    HOPS,
    SPREAD,
    EDIT_BYTES,
    ZONE_TIME,
    ZONE_COMMITS,
];

/// Measures fleets of several sizes and of the target size.
pub fn measure(seed: u64) -> Vec<Series> {
    let mut series: Vec<Series> = NAMES.iter().map(|name| Series::new(name, Axis::Vms)).collect();
    for size in FLEET_SIZES {
        for (series, value) in series.iter_mut().zip(measure_fleet(size, seed)) {
            series.push(size, value);
        }
    }
    for (series, value) in series.iter_mut().zip(measure_fleet(TARGET_VMS, seed)) {
        series.check = Some(Point { size: f64::from(TARGET_VMS), value });
    }
    series
}

/// Measures one fleet and returns the values in the order of `NAMES`.
fn measure_fleet(size: u16, seed: u64) -> [f64; QUANTITY_COUNT] {
    let vms = f64::from(size);
    let mut fleet = Fleet::new(usize::from(size), seed);
    fleet.publish("- name: a\n");
    fleet.run(WARM_UP);

    fleet.counters = Default::default();
    fleet.run(COUNTING_TIME);
    let quiet = fleet.counters;
    let per_vm = |count: u64| count as f64 / vms / COUNTING_TIME.as_secs_f64();
    let reads = quiet.reads as f64 / COUNTING_TIME.as_secs_f64();
    let state = bytes_per_value(STATE_COPIES, || fleet.nodes[0].clone());
    let watchers = fleet.watchers() as f64;
    let (view, view_time) = measure_view(&fleet);

    let (spread, hops, edit_bytes) = measure_edit(&mut fleet, per_vm(quiet.bytes));
    let (zone_time, zone_commits) = measure_zone(&mut fleet);
    [
        per_vm(quiet.nanos) / 1_000.0,
        per_vm(quiet.calls),
        per_vm(quiet.bytes),
        state,
        view,
        view_time,
        fleet.share_bytes() as f64,
        reads,
        watchers,
        hops,
        spread,
        edit_bytes,
        zone_time,
        zone_commits,
    ]
}

/// Publishes an edit and returns the seconds and hops until it is in force everywhere, and the
/// bytes per VM that it adds to `quiet_bytes` per second.
fn measure_edit(fleet: &mut Fleet, quiet_bytes: f64) -> (f64, f64, f64) {
    let vms = fleet.nodes.len() as f64;
    let start = fleet.now;
    fleet.counters = Default::default();
    fleet.publish("- name: a\n  weight: 2\n");
    let mut hops = 0;
    while 0 < fleet.outdated_nodes() && fleet.now < start + SPREAD_LIMIT {
        fleet.round();
        hops = hops.max(fleet.max_hops());
    }
    let seconds = fleet.now.since(start).as_secs_f64();
    let bytes = fleet.counters.bytes as f64 / vms - quiet_bytes * seconds;
    (seconds, f64::from(hops), bytes.max(0.0))
}

/// Stops a zone and returns the seconds until all shares have running owners, and the commits.
fn measure_zone(fleet: &mut Fleet) -> (f64, f64) {
    let start = fleet.now;
    fleet.counters = Default::default();
    fleet.stop_zone();
    while 0 < fleet.orphaned_shares() && fleet.now < start + SPREAD_LIMIT {
        fleet.round();
    }
    (fleet.now.since(start).as_secs_f64(), fleet.counters.commits as f64)
}

/// Returns the size of a view in bytes and the time to encode and decode it in microseconds.
fn measure_view(fleet: &Fleet) -> (f64, f64) {
    let node = &fleet.nodes[0];
    let view =
        View { members: node.members(fleet.now), shares: node.shares().clone(), ..View::default() };
    let reply = Reply::View(Box::new(view));
    let write = || codec::encode(&reply).unwrap_or_default();
    let nanos = nanos_per_call(TIMED_VIEWS, |_| {
        let mut buffer = FrameBuffer::default();
        // A frame that cannot be decoded would be a fault of the codec.
        buffer.extend(&write()).expect("the frame is within its limit");
        black_box(buffer.take::<Reply>().is_ok());
    });
    (write().len() as f64, nanos / 1_000.0)
}
