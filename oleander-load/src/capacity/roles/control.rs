//! Figures of control on every VM: the agent and what its duties add up to.

use crate::capacity::configuration;
use crate::capacity::membership;
use crate::capacity::rates;
use crate::capacity::roles::Figure;
use crate::capacity::roles::bounded;
use crate::capacity::roles::free;
use crate::capacity::roles::slopes::CALL_PACKETS;
use crate::capacity::roles::slopes::PACKET_BYTES;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::target::DAY;
use crate::capacity::wire;

/// The pings a second that the two homes send to the instances of a database of three:
/// 4 and 2 to the primary, and one in 2 s from each home to each replica.
const DATABASE_PINGS: f64 = 4.0 + 2.0 + 2.0 * 2.0 * 0.5;

/// The time between pings of an idle peer connection, in seconds.
const IDLE_PING: f64 = 10.0;

/// The views a second that an agent sends to its proxy.
const VIEWS: f64 = 4.0;

pub(super) fn agent(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "agent";
    let target = slopes.target;
    let calls = slopes.at_target(membership::CALLS);
    // A VM answers as many calls as it makes.
    let call_core = calls * 2.0 * slopes.call_micros() / 1e4;
    let check = slopes.at_target(configuration::CHECK_TIME) * target.edits / DAY / 1e4;
    let edit_bytes = slopes.at_target(membership::EDIT_BYTES) * target.edits / DAY;
    let share_bytes = slopes.at_target(membership::SHARES) * slopes.moved_shares() / DAY;
    vec![
        free(
            role,
            "heartbeats, decisions, % of a core",
            slopes.at_target(membership::CPU) / 1e4,
            "heartbeats to random peers",
        ),
        free(role, "heartbeats, calls, % of a core", call_core, "heartbeats to random peers"),
        free(
            role,
            "check of edits by agent and proxy, % of a core",
            2.0 * check,
            "every VM checks every revision",
        ),
        free(
            role,
            "views to the proxy, both ends, % of a core",
            VIEWS * slopes.at_target(membership::VIEW_TIME) / 1e4,
            "a whole view each 250 ms, on the VM itself",
        ),
        free(
            role,
            "heartbeats, bytes a second",
            slopes.at_target(membership::BYTES) + calls * slopes.call_overhead(),
            "two ages to a byte; whole rosters only after a lasting difference",
        ),
        free(role, "edits, bytes a second", edit_bytes, "differences of sections between peers"),
        free(
            role,
            "moved shares, bytes a second",
            share_bytes,
            "the whole record after each change",
        ),
        free(
            role,
            "pings of idle connections, bytes a second",
            idle_bytes(slopes),
            "a connection to every peer",
        ),
        free(
            role,
            "pings of instances a second",
            DATABASE_PINGS * target.databases / target.vms,
            "two homes a database; replicas are pinged seldom",
        ),
    ]
}

/// Gets the bytes a second that pings of idle connections to all peers cost one VM.
fn idle_bytes(slopes: &Slopes<'_>) -> f64 {
    let ping = slopes.at(wire::IDLE_BYTES, 1.0) + CALL_PACKETS * PACKET_BYTES;
    // Each connection is pinged from its opening end; a VM sends half of each exchange and has
    // as many connections from its peers as to them.
    ping * (slopes.target.vms - 1.0) / IDLE_PING
}

pub(super) fn agent_sums(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "agent, sum";
    let target = slopes.target;
    let parts = agent(slopes);
    let sum = |ending: &str| {
        let found = parts.iter().filter(|figure| figure.quantity.ends_with(ending));
        found.map(|figure| figure.value).sum::<f64>()
    };
    let configuration =
        2.0 * (slopes.at_target(configuration::SNAPSHOT) + slopes.at_target(configuration::TEXT));
    // Each VM has one end of a connection to each peer, and one of a connection from it.
    let connections = slopes.at_target(wire::MEMORY);
    let accounts = slopes.at_target(rates::STATE) * target.workspaces;
    let memory = slopes.at_target(membership::STATE) + configuration + connections + accounts;
    let view = 2.0 * slopes.at_target(membership::VIEW);
    vec![
        bounded(
            role,
            "control, % of a core",
            sum("% of a core"),
            target.control_core * 100.0,
            "all of the above; pings of instances not measured",
        ),
        bounded(
            role,
            "control, bytes a second",
            sum("bytes a second"),
            target.control_bytes,
            "all of the above with packet headers; pings of instances not measured",
        ),
        free(
            role,
            "memory of connections to all peers, MB",
            connections / 1e6,
            "a connection to every peer",
        ),
        free(
            role,
            "memory of the configuration, MB",
            configuration / 1e6,
            "text and snapshot, twice",
        ),
        bounded(
            role,
            "control, MB of memory",
            (memory + view) / 1e6,
            target.control_memory / 1e6,
            "roster, shares, configuration in agent and proxy, peer connections, rates of all workspaces",
        ),
        free(
            role,
            "a view to the proxy, KB",
            view / 2e3,
            "the whole roster and record of shares each time, on the VM itself",
        ),
    ]
}
