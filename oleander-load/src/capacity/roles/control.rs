//! Figures of the control work on every VM: the agent's tasks and their sums.

use crate::capacity::configuration;
use crate::capacity::membership;
use crate::capacity::rates;
use crate::capacity::roles::Figure;
use crate::capacity::roles::limited;
use crate::capacity::roles::slopes::PACKET_BYTES;
use crate::capacity::roles::slopes::PACKETS_PER_CALL;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::roles::unlimited;
use crate::capacity::target::SECONDS_PER_DAY;
use crate::capacity::wire;

/// The pings per second that the two homes send to the three instances of a database: 4 and 2 to
/// the primary, and one every 2 s from each home to each replica.
const PINGS_PER_DATABASE: f64 = 4.0 + 2.0 + 2.0 * 2.0 * 0.5;

/// The ping interval of an idle peer connection, in seconds.
const IDLE_PING_INTERVAL: f64 = 10.0;

/// The views per second that an agent sends to its proxy.
const VIEWS_PER_SECOND: f64 = 4.0;

pub(super) fn agent(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "agent";
    let target = slopes.target;
    let calls = slopes.at_target(membership::CALLS);
    // A VM answers as many calls as it makes.
    let call_core = calls * 2.0 * slopes.call_micros() / 1e4;
    let check = slopes.at_target(configuration::CHECK_TIME) * target.edits / SECONDS_PER_DAY / 1e4;
    let edit_bytes = slopes.at_target(membership::EDIT_BYTES) * target.edits / SECONDS_PER_DAY;
    let share_bytes =
        slopes.at_target(membership::SHARES) * slopes.moved_shares() / SECONDS_PER_DAY;
    vec![
        unlimited(
            role,
            "heartbeats, decisions, % of a core",
            slopes.at_target(membership::CPU) / 1e4,
            "heartbeats to random peers",
        ),
        unlimited(role, "heartbeats, calls, % of a core", call_core, "heartbeats to random peers"),
        unlimited(
            role,
            "check of edits by agent and proxy, % of a core",
            2.0 * check,
            "every VM checks every revision",
        ),
        unlimited(
            role,
            "views to the proxy, both ends, % of a core",
            VIEWS_PER_SECOND * slopes.at_target(membership::VIEW_TIME) / 1e4,
            "a whole view each 250 ms, on the VM itself",
        ),
        unlimited(
            role,
            "heartbeats, bytes a second",
            slopes.at_target(membership::BYTES) + calls * slopes.call_overhead(),
            "two ages to a byte; whole rosters only after a lasting difference",
        ),
        unlimited(
            role,
            "edits, bytes a second",
            edit_bytes,
            "differences of sections between peers",
        ),
        unlimited(
            role,
            "moved shares, bytes a second",
            share_bytes,
            "the whole record after each change",
        ),
        unlimited(
            role,
            "pings of idle connections, bytes a second",
            idle_bytes(slopes),
            "a connection to every peer",
        ),
        unlimited(
            role,
            "pings of instances a second",
            PINGS_PER_DATABASE * target.databases / target.vms,
            "two homes a database; replicas are pinged seldom",
        ),
    ]
}

/// Returns the bytes per second that a VM sends for pings of idle connections.
fn idle_bytes(slopes: &Slopes<'_>) -> f64 {
    let ping = slopes.at(wire::IDLE_BYTES, 1.0) + PACKETS_PER_CALL * PACKET_BYTES;
    // The end that opened a connection pings it, so a VM sends half of each exchange. It has as
    // many connections from its peers as to them.
    ping * (slopes.target.vms - 1.0) / IDLE_PING_INTERVAL
}

pub(super) fn agent_sums(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "agent, sum";
    let target = slopes.target;
    let parts = agent(slopes);
    let sum = |ending: &str| {
        let found = parts.iter().filter(|figure| figure.quantity.ends_with(ending));
        found.map(|figure| figure.value).sum::<f64>()
    };
    let configuration = 2.0
        * (slopes.at_target(configuration::SNAPSHOT)
            + slopes.at_target(configuration::ALL_SECTIONS));
    // A VM has one end of a connection to each peer and one end of a connection from each peer, and
    // the series counts both ends.
    let connections = slopes.at_target(wire::MEMORY);
    let accounts = slopes.at_target(rates::STATE) * target.workspaces;
    let memory = slopes.at_target(membership::STATE) + configuration + connections + accounts;
    let view = 2.0 * slopes.at_target(membership::VIEW);
    vec![
        limited(
            role,
            "control, % of a core",
            sum("% of a core"),
            target.control_core * 100.0,
            "all of the above; pings of instances not measured",
        ),
        limited(
            role,
            "control, bytes a second",
            sum("bytes a second"),
            target.control_bytes,
            "all of the above with packet headers; pings of instances not measured",
        ),
        unlimited(
            role,
            "memory of connections to all peers, MB",
            connections / 1e6,
            "a connection to every peer",
        ),
        unlimited(
            role,
            "memory of the configuration, MB",
            configuration / 1e6,
            "text and snapshot, twice",
        ),
        limited(
            role,
            "control, MB of memory",
            (memory + view) / 1e6,
            target.control_memory / 1e6,
            "roster, shares, configuration in agent and proxy, peer connections, rates of all workspaces",
        ),
        unlimited(
            role,
            "a view to the proxy, KB",
            view / 2e3,
            "the whole roster and record of shares each time, on the VM itself",
        ),
    ]
}
