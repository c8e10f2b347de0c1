//! The plan of a load: all calls with their start times, drawn from a seed before the run.

use oleander_core::time::Span;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::profile::Profile;
use crate::cluster::profile::WorkspaceProfile;
use crate::history::record::KeyValue;
use crate::history::record::Operation;

/// The number of keys of each workspace. It is low so that sessions access the same keys.
const KEYS_PER_WORKSPACE: u32 = 8;

/// The number of sessions of each workspace.
const SESSIONS_PER_WORKSPACE: u64 = 6;

/// The number of writes in a transaction.
const WRITES_PER_TRANSACTION: usize = 2;

/// `PlanOptions` are the parameters of a planned load.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// The seed of all random draws.
    pub seed: u64,
    /// The duration of the load.
    pub length: Span,
    /// The offered load, in percent of each workspace's rate limit.
    pub load: u32,
    /// The percentage of calls that write.
    pub writes: u32,
    /// The percentage of writing calls that are transactions.
    pub transactions: u32,
    /// The percentage of reads that state a maximum age.
    pub aged: u32,
    /// The workspace that sends a multiple of its load; `None` if all send the same share.
    pub flood: Option<Flood>,
}

/// `Flood` selects a workspace that sends a multiple of its load.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// The index of the workspace in the profile.
    pub workspace: usize,
    /// The factor by which its load is multiplied.
    pub factor: u32,
}

/// `PlannedCall` is a call with its start time.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// The number of the call, in order of start times.
    pub id: u64,
    /// The time at which the call starts, since the start of the load.
    pub start: Span,
    /// The index of the workspace in the profile.
    pub workspace: usize,
    /// The number of the session, unique over all workspaces.
    pub session: u64,
    /// A drawn number for each step of the call, which selects the VM that the step is sent to. A
    /// transaction has a step for each write, its opening and its commit.
    pub vms: [usize; WRITES_PER_TRANSACTION + 2],
    /// The requested operation.
    pub operation: Operation,
}

impl Default for PlanOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Span::from_secs(5),
            load: 70,
            writes: 20,
            transactions: 25,
            aged: 30,
            flood: None,
        }
    }
}

/// Creates the plan of a load on `vms` VMs, in order of start times.
pub fn plan(profile: &Profile, vms: usize, options: &PlanOptions) -> Vec<PlannedCall> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut calls = Vec::new();
    for (number, workspace) in profile.workspaces.iter().enumerate() {
        for start in arrivals(&mut rng, number, workspace, options) {
            calls.push(draw_call(&mut rng, number, start, vms, options));
        }
    }
    calls.sort_by_key(|call| call.start);
    for (id, call) in calls.iter_mut().enumerate() {
        call.id = id as u64;
        name_values(call);
    }
    calls
}

/// Draws the start times of a workspace's calls as a Poisson process.
fn arrivals(
    rng: &mut ChaCha8Rng,
    number: usize,
    workspace: &WorkspaceProfile,
    options: &PlanOptions,
) -> Vec<Span> {
    let factor =
        options.flood.filter(|flood| flood.workspace == number).map_or(1, |flood| flood.factor);
    let rate = f64::from(workspace.rate) * f64::from(options.load) / 100.0 * f64::from(factor);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / rate;
        let span = Span::from_micros((at * 1e6) as u64);
        if options.length <= span {
            return arrivals;
        }
        arrivals.push(span);
    }
}

fn draw_call(
    rng: &mut ChaCha8Rng,
    workspace: usize,
    start: Span,
    vms: usize,
    options: &PlanOptions,
) -> PlannedCall {
    let session =
        workspace as u64 * SESSIONS_PER_WORKSPACE + rng.random_range(0..SESSIONS_PER_WORKSPACE);
    let vms = std::array::from_fn(|_| rng.random_range(0..vms));
    let operation = if rng.random_range(0..100) < options.writes {
        draw_write(rng, options)
    } else {
        let age = rng.random_range(0..100) < options.aged;
        Operation::Read { key: draw_key(rng), age: age.then_some(Span::from_secs(2).0) }
    };
    PlannedCall { id: 0, start, workspace, session, vms, operation }
}

fn draw_write(rng: &mut ChaCha8Rng, options: &PlanOptions) -> Operation {
    let mut write = || KeyValue { key: draw_key(rng), value: String::new() };
    let first = write();
    let more: Vec<KeyValue> = (1..WRITES_PER_TRANSACTION).map(|_| write()).collect();
    if rng.random_range(0..100) < options.transactions {
        Operation::Transaction(std::iter::once(first).chain(more).collect())
    } else {
        Operation::Write(first)
    }
}

fn draw_key(rng: &mut ChaCha8Rng) -> String {
    format!("key-{}", rng.random_range(0..KEYS_PER_WORKSPACE))
}

/// Derives each value from the number of its call, which makes it unique in the run.
fn name_values(call: &mut PlannedCall) {
    let id = call.id;
    match &mut call.operation {
        Operation::Read { .. } => {}
        Operation::Write(write) => write.value = format!("{id}"),
        Operation::Transaction(writes) => {
            for (step, write) in writes.iter_mut().enumerate() {
                write.value = format!("{id}.{step}");
            }
        }
    }
}
