//! Figures of the roles that serve clients: entry VM, rate limits and home.

use crate::capacity::connections;
use crate::capacity::homes;
use crate::capacity::rates;
use crate::capacity::requests;
use crate::capacity::roles::Figure;
use crate::capacity::roles::limited;
use crate::capacity::roles::slopes::HOMES_PER_DATABASE;
use crate::capacity::roles::slopes::Slopes;
use crate::capacity::roles::unlimited;

/// The number of marks in a typical token, one for each database that the session has seen.
const TOKEN_MARKS: f64 = 2.0;

/// The number of requests that wait in a home's queue under load.
const WAITING_REQUESTS: f64 = 100.0;

pub(super) fn entry(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "entry VM";
    let requests = slopes.requests();
    let decision = slopes.at_target(requests::ADMIT) + slopes.at(requests::TOKEN_TIME, TOKEN_MARKS);
    let connections = slopes.target.connections / slopes.target.vms;
    vec![
        unlimited(role, "client connections", connections, "the platform's balancer"),
        unlimited(
            role,
            "memory of client connections, MB",
            slopes.at_target(connections::MEMORY) / 1e6,
            "a task a connection; no session state",
        ),
        unlimited(role, "requests a second", requests, "the platform's balancer"),
        unlimited(
            role,
            "key, route and token, % of a core",
            decision * requests / 1e4,
            "hash look-ups in the compiled snapshot; the token travels with the caller",
        ),
        unlimited(
            role,
            "forwarding to homes, % of a core",
            slopes.call_micros() * requests / 1e4,
            "one stream a request on shared peer connections",
        ),
    ]
}

pub(super) fn rate_limits(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "entry VM, rates";
    let target = slopes.target;
    let frame = slopes.at_target(rates::CALL_BYTES) + slopes.call_overhead();
    let spread = slopes.at_target(rates::SPREAD_CALLS) * slopes.requests();
    let few = slopes.at_target(rates::FEW_CALLS) * target.workspaces / target.vms;
    let bytes = "bytes a second, callers spread evenly";
    let few_bytes = "bytes a second, each workspace on 4 VMs";
    let one = slopes.at_target(rates::ONE_CALLS) * target.workspaces / target.vms;
    let one_bytes = "bytes a second, each workspace on 1 VM";
    let state = slopes.at_target(rates::STATE) * target.workspaces;
    vec![
        unlimited(
            role,
            "calls a second, callers spread evenly",
            spread,
            "single tokens from owners",
        ),
        limited(role, bytes, spread * frame, target.control_bytes, "single tokens from owners"),
        limited(
            role,
            "calls, % of a core, callers spread evenly",
            spread * 2.0 * slopes.call_micros() / 1e4,
            target.control_core * 100.0,
            "single tokens from owners",
        ),
        unlimited(
            role,
            "calls a second, each workspace on 4 VMs",
            few,
            "single tokens from owners",
        ),
        limited(role, few_bytes, few * frame, target.control_bytes, "single tokens from owners"),
        unlimited(role, "calls a second, each workspace on 1 VM", one, "loans of fractions"),
        limited(role, one_bytes, one * frame, target.control_bytes, "loans of fractions"),
        limited(
            role,
            "refused within the rate, %, callers spread evenly",
            slopes.at_target(rates::REFUSED),
            0.0,
            "single tokens from owners",
        ),
        limited(
            role,
            "refused within the rate, %, each workspace on 4 VMs",
            slopes.at_target(rates::FEW_REFUSED),
            0.0,
            "single tokens from owners",
        ),
        limited(
            role,
            "refused within the rate, %, each workspace on 1 VM",
            slopes.at_target(rates::ONE_REFUSED),
            0.0,
            "loans of fractions",
        ),
        unlimited(role, "state of all workspaces, MB", state / 1e6, "an account a workspace seen"),
    ]
}

pub(super) fn home(slopes: &Slopes<'_>) -> Vec<Figure> {
    let role = "home";
    let target = slopes.target;
    let databases = HOMES_PER_DATABASE * target.databases / target.vms;
    let decision =
        slopes.at(homes::QUEUE_TIME, WAITING_REQUESTS) + slopes.at_target(requests::CHOICE);
    vec![
        unlimited(role, "databases of a VM", databases, "two shares a database, by hashing"),
        unlimited(
            role,
            "queue and choice of an instance, % of a core",
            decision * slopes.requests() / 1e4,
            "deficit round robin; known positions as a hint",
        ),
        unlimited(
            role,
            "requests from entry VMs, % of a core",
            slopes.call_micros() * slopes.requests() / 1e4,
            "one stream a request on shared peer connections",
        ),
        unlimited(
            role,
            "state of queues, MB",
            slopes.at(homes::STATE, WAITING_REQUESTS) * databases / 1e6,
            "bounded queues",
        ),
    ]
}
