//! Figures of the roles that only some VMs or operators have, and of the platform's store.

use crate::capacity::configuration;
use crate::capacity::membership;
use crate::capacity::roles::Figure;
use crate::capacity::roles::limited;
use crate::capacity::roles::slopes::HOMES_PER_DATABASE;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::roles::unlimited;
use crate::capacity::target::SECONDS_PER_DAY;

/// The store reads for an edit: the head, the bodies and the second read of a watcher.
const READS_PER_EDIT: f64 = 6.0;

/// The factor by which base64 in JSON increases the size of a store value.
const STORE_ENCODING_FACTOR: f64 = 4.0 / 3.0;

/// The store calls of a starting VM: its registration, the head, the bodies, the shares and the
/// roster.
const CALLS_PER_START: f64 = 10.0;

pub(super) fn watcher(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "watcher";
    let target = slopes.target;
    let read = slopes.at_target(membership::SHARES) * STORE_ENCODING_FACTOR;
    vec![
        unlimited(
            role,
            "VMs that watch the store",
            slopes.at_target(membership::WATCHERS),
            "rendezvous hashing over the roster; one more for 64 VMs",
        ),
        limited(
            role,
            "bytes a second from the store",
            read,
            target.control_bytes,
            "head and record of shares read whole each second",
        ),
        limited(
            role,
            "time of an edit to all VMs without latency, s",
            slopes.at_target(membership::SPREAD),
            target.edit_gap,
            "eager heartbeats to 3 peers on news, then ordinary heartbeats",
        ),
        unlimited(
            role,
            "hops of an edit",
            slopes.at_target(membership::HOPS),
            "each hop is a heartbeat, a fetch and a check",
        ),
        limited(
            role,
            "time of an edit with checks at each hop, s",
            slopes.at_target(membership::SPREAD)
                + slopes.at_target(membership::HOPS) * slopes.at_target(configuration::CHECK_TIME)
                    / 1e6,
            target.edit_gap,
            "a VM tells others after its own check",
        ),
    ]
}

pub(super) fn promoter(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "promoter";
    let target = slopes.target;
    // Fences of all instances, one promotion, the redirection of the others, and two opinions.
    let calls = 3.0 * target.instances + 2.0;
    vec![
        unlimited(
            role,
            "calls a day of the fleet",
            calls * target.failovers,
            "the home's agent; terms settle rivals",
        ),
        unlimited(
            role,
            "databases with one home left after a lost zone",
            HOMES_PER_DATABASE * target.databases / target.zones,
            "homes in different zones where possible",
        ),
    ]
}

pub(super) fn operator(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "operator tool";
    let target = slopes.target;
    vec![
        unlimited(
            role,
            "check of all sections, ms",
            slopes.at_target(configuration::CHECK_TIME) / 1e3,
            "all sections are checked together",
        ),
        unlimited(
            role,
            "bytes read for an edit, KB",
            slopes.at_target(configuration::ALL_SECTIONS) * STORE_ENCODING_FACTOR / 1e3,
            "all sections are read",
        ),
        limited(
            role,
            "bytes of the largest section, KB",
            slopes.at_target(configuration::LARGEST_SECTION) / 1e3,
            target.store_value / 1e3,
            "a store value a section",
        ),
    ]
}

pub(super) fn store(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "store";
    let target = slopes.target;
    let watchers = slopes.at_target(membership::WATCHERS);
    let edits = target.edits / SECONDS_PER_DAY;
    let starts = (target.failures + target.replacements) / SECONDS_PER_DAY;
    let moves = slopes.moved_shares() / SECONDS_PER_DAY;
    let zone = slopes.at_target(membership::ZONE_COMMITS) / slopes.at_target(membership::ZONE_TIME);
    let reads =
        slopes.at_target(membership::READS) + edits * READS_PER_EDIT + starts * CALLS_PER_START;
    vec![
        limited(
            role,
            "reads a second, with waiting watches",
            reads + watchers,
            target.store_reads,
            "few watchers; the others hear of the head from peers",
        ),
        limited(
            role,
            "reads a second, no VM hears a watcher",
            target.vms + reads,
            target.store_reads,
            "a VM reads for itself when its news is 2.5 s old",
        ),
        limited(
            role,
            "writes a second",
            edits + starts + moves,
            target.store_writes,
            "writes for edits, starts and moved shares only",
        ),
        limited(
            role,
            "writes a second after a lost zone",
            zone,
            target.store_writes,
            "one VM reassigns all shares of dropped VMs in one commit",
        ),
        limited(
            role,
            "bytes of the record of shares, KB",
            slopes.at_target(membership::SHARES) / 1e3,
            target.store_value / 1e3,
            "one value for all shares",
        ),
    ]
}
