//! Figures of the roles that few VMs or operators have, and of the platform's store.

use crate::capacity::configuration;
use crate::capacity::membership;
use crate::capacity::roles::Figure;
use crate::capacity::roles::bounded;
use crate::capacity::roles::free;
use crate::capacity::roles::slopes::HOMES;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::target::DAY;

/// The reads of the store for one edit: the head, the bodies and the re-read of a watcher.
const EDIT_READS: f64 = 6.0;

/// The times that base64 and JSON lengthen a value of the store.
const STORE_FORM: f64 = 4.0 / 3.0;

/// The store calls of a VM that starts: its registration, the head, the bodies, shares and roster.
const START_CALLS: f64 = 10.0;

pub(super) fn watcher(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "watcher";
    let target = slopes.target;
    let read = slopes.at_target(membership::SHARES) * STORE_FORM;
    vec![
        free(
            role,
            "VMs that watch the store",
            slopes.at_target(membership::WATCHERS),
            "rendezvous hashing over the roster; one more for 64 VMs",
        ),
        bounded(
            role,
            "bytes a second from the store",
            read,
            target.control_bytes,
            "head and record of shares read whole each second",
        ),
        bounded(
            role,
            "time of an edit to all VMs without latency, s",
            slopes.at_target(membership::SPREAD),
            target.edit_gap,
            "eager heartbeats to 3 peers on news, then ordinary heartbeats",
        ),
        free(
            role,
            "hops of an edit",
            slopes.at_target(membership::HOPS),
            "each hop is a heartbeat, a fetch and a check",
        ),
        bounded(
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
    // Fences to all instances, one promotion, the others follow, and two opinions.
    let calls = 3.0 * target.instances + 2.0;
    vec![
        free(
            role,
            "calls a day of the fleet",
            calls * target.failovers,
            "the home's agent; terms settle rivals",
        ),
        free(
            role,
            "databases with one home left after a lost zone",
            HOMES * target.databases / target.zones,
            "homes in different zones where possible",
        ),
    ]
}

pub(super) fn operator(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "operator tool";
    let target = slopes.target;
    vec![
        free(
            role,
            "check of all sections, ms",
            slopes.at_target(configuration::CHECK_TIME) / 1e3,
            "all sections are checked together",
        ),
        free(
            role,
            "bytes read for an edit, KB",
            slopes.at_target(configuration::TEXT) * STORE_FORM / 1e3,
            "all sections are read",
        ),
        bounded(
            role,
            "bytes of the largest section, KB",
            slopes.at_target(configuration::LARGEST) / 1e3,
            target.store_value / 1e3,
            "a store value a section",
        ),
    ]
}

pub(super) fn store(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "store";
    let target = slopes.target;
    let watchers = slopes.at_target(membership::WATCHERS);
    let edits = target.edits / DAY;
    let starts = (target.failures + target.replacements) / DAY;
    let moves = slopes.moved_shares() / DAY;
    let zone = slopes.at_target(membership::ZONE_COMMITS) / slopes.at_target(membership::ZONE_TIME);
    let reads = slopes.at_target(membership::READS) + edits * EDIT_READS + starts * START_CALLS;
    vec![
        bounded(
            role,
            "reads a second, with waiting watches",
            reads + watchers,
            target.store_reads,
            "few watchers; the others hear of the head from peers",
        ),
        bounded(
            role,
            "reads a second, no VM hears a watcher",
            target.vms + reads,
            target.store_reads,
            "a VM reads for itself when its news is 2.5 s old",
        ),
        bounded(
            role,
            "writes a second",
            edits + starts + moves,
            target.store_writes,
            "writes for edits, starts and moved shares only",
        ),
        bounded(
            role,
            "writes a second after a lost zone",
            zone,
            target.store_writes,
            "one VM reassigns all shares of dropped VMs in one commit",
        ),
        bounded(
            role,
            "bytes of the record of shares, KB",
            slopes.at_target(membership::SHARES) / 1e3,
            target.store_value / 1e3,
            "one value for all shares",
        ),
    ]
}
