//! Slopes of membership: heartbeats, state, views, the spread of an edit and a lost zone.

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

/// The sizes of the fleets.
const SIZES: [u16; 3] = [60, 120, 240];

/// The target size, measured as a check.
const CHECK: u16 = 420;

/// The time before the counting starts.
const WARM_UP: Span = Span::from_secs(10);

/// The time over which a fleet is counted.
const COUNTED: Span = Span::from_secs(30);

/// The time within which an edit must have spread, and a lost zone's shares have new owners.
const LIMIT: Span = Span::from_secs(120);

/// The copies of a state whose memory is measured.
const COPIES: usize = 200;

/// The views of a timed run.
const VIEWS: u32 = 50;

/// The name of the series of heartbeats' processor time.
pub const CPU: &str = "heartbeats: decision time, us a second a VM";
/// The name of the series of calls.
pub const CALLS: &str = "heartbeats: calls a second a VM";
/// The name of the series of bytes.
pub const BYTES: &str = "heartbeats: frame bytes a second a VM";
/// The name of the series of the agent's state.
pub const STATE: &str = "agent: state of membership, bytes";
/// The name of the series of views.
pub const VIEW: &str = "agent to proxy: bytes of a view";
/// The name of the series of the time of views.
pub const VIEW_TIME: &str = "agent to proxy: write and read a view, us";
/// The name of the series of the record of shares.
pub const SHARES: &str = "store: bytes of the record of shares";
/// The name of the series of store reads.
pub const READS: &str = "store: reads a second of the fleet";
/// The name of the series of watchers.
pub const WATCHERS: &str = "store: VMs that watch it";
/// The name of the series of the spread's hops.
pub const HOPS: &str = "edit: hops until in force everywhere";
/// The name of the series of the spread's time.
pub const SPREAD: &str = "edit: s until in force everywhere, without latency";
/// The name of the series of an edit's bytes.
pub const EDIT_BYTES: &str = "edit: frame bytes a VM beside heartbeats";
/// The name of the series of a lost zone's time.
pub const ZONE_TIME: &str = "lost zone: s until all shares have owners";
/// The name of the series of a lost zone's commits.
pub const ZONE_COMMITS: &str = "lost zone: commits to the store";

/// The quantities of a fleet.
const COUNT: usize = 14;

const NAMES: [&str; COUNT] = [
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

/// Measures fleets of several sizes.
pub fn measure(seed: u64) -> Vec<Series> {
    let mut series: Vec<Series> = NAMES.iter().map(|name| Series::new(name, Axis::Vms)).collect();
    for size in SIZES {
        for (series, value) in series.iter_mut().zip(measure_fleet(size, seed)) {
            series.push(size, value);
        }
    }
    for (series, value) in series.iter_mut().zip(measure_fleet(CHECK, seed)) {
        series.check = Some(Point { size: f64::from(CHECK), value });
    }
    series
}

/// Measures one fleet; the values come in the order of `NAMES`.
fn measure_fleet(size: u16, seed: u64) -> [f64; COUNT] {
    let vms = f64::from(size);
    let mut fleet = Fleet::new(usize::from(size), seed);
    fleet.publish("- name: a\n");
    fleet.run(WARM_UP);

    fleet.tally = Default::default();
    fleet.run(COUNTED);
    let quiet = fleet.tally;
    let per_vm = |count: u64| count as f64 / vms / COUNTED.as_secs_f64();
    let reads = quiet.reads as f64 / COUNTED.as_secs_f64();
    let state = bytes_per_value(COPIES, || fleet.nodes[0].clone());
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

/// Publishes an edit; gets the seconds and hops until it is in force and its bytes a VM.
fn measure_edit(fleet: &mut Fleet, quiet_bytes: f64) -> (f64, f64, f64) {
    let vms = fleet.nodes.len() as f64;
    let start = fleet.now;
    fleet.tally = Default::default();
    fleet.publish("- name: a\n  weight: 2\n");
    let mut hops = 0;
    while 0 < fleet.behind() && fleet.now < start + LIMIT {
        fleet.round();
        hops = hops.max(fleet.most_hops());
    }
    let seconds = fleet.now.since(start).as_secs_f64();
    let bytes = fleet.tally.bytes as f64 / vms - quiet_bytes * seconds;
    (seconds, f64::from(hops), bytes.max(0.0))
}

/// Loses a zone; gets the seconds until all shares have owners that run, and the commits.
fn measure_zone(fleet: &mut Fleet) -> (f64, f64) {
    let start = fleet.now;
    fleet.tally = Default::default();
    fleet.lose_zone();
    while 0 < fleet.orphans() && fleet.now < start + LIMIT {
        fleet.round();
    }
    (fleet.now.since(start).as_secs_f64(), fleet.tally.commits as f64)
}

/// Gets the bytes of a view and the microseconds to write and read it.
fn measure_view(fleet: &Fleet) -> (f64, f64) {
    let node = &fleet.nodes[0];
    let view =
        View { members: node.members(fleet.now), shares: node.shares().clone(), ..View::default() };
    let reply = Reply::View(Box::new(view));
    let write = || codec::encode(&reply).unwrap_or_default();
    let nanos = nanos_per_call(VIEWS, |_| {
        let mut buffer = FrameBuffer::default();
        // A frame that cannot be read back would be a fault of the codec.
        buffer.extend(&write()).expect("the frame is within its limit");
        black_box(buffer.take::<Reply>().is_ok());
    });
    (write().len() as f64, nanos / 1_000.0)
}
