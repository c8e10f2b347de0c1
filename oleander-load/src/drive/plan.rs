//! The plan of a load: which call starts when, decided from a seed before the run.

use oleander_core::time::Span;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::cluster::profile::Profile;
use crate::cluster::profile::WorkspaceProfile;
use crate::history::record::KeyValue;
use crate::history::record::Operation;

/// The keys of each workspace; few, so that sessions meet.
const KEYS: u32 = 8;

/// The sessions of each workspace.
const SESSIONS: u64 = 6;

/// The writes in one transaction.
const TRANSACTION_WRITES: usize = 2;

/// `PlanOptions` describe a load.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// The seed.
    pub seed: u64,
    /// The length of the load.
    pub length: Span,
    /// The offered load as a part of each workspace's rate, in percent.
    pub load: u32,
    /// The part of writes, in percent.
    pub writes: u32,
    /// The part of transactions among the writes, in percent.
    pub transactions: u32,
    /// The part of reads that accept data of a stated age, in percent.
    pub aged: u32,
    /// The workspace that sends several times its rate, and how many times; `None` for none.
    pub flood: Option<Flood>,
}

/// `Flood` is a workspace that sends more than its rate.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// The number of the workspace in the profile.
    pub workspace: usize,
    /// The multiple of its rate.
    pub times: u32,
}

/// `Planned` is one call of a plan.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The number of the call.
    pub id: u64,
    /// The time at which it starts, from the start of the load.
    pub at: Span,
    /// The workspace's number in the profile.
    pub workspace: usize,
    /// The session, unique over the workspaces.
    pub session: u64,
    /// The numbers of the VMs that get the steps of the call, drawn for each step.
    pub vms: [usize; TRANSACTION_WRITES + 2],
    /// What is asked for.
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

/// Makes the plan of a load on `vms` VMs, in order of time.
pub fn plan(profile: &Profile, vms: usize, options: &PlanOptions) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut calls = Vec::new();
    for (number, workspace) in profile.workspaces.iter().enumerate() {
        for at in arrivals(&mut rng, number, workspace, options) {
            calls.push(draw_call(&mut rng, number, at, vms, options));
        }
    }
    calls.sort_by_key(|call| call.at);
    for (id, call) in calls.iter_mut().enumerate() {
        call.id = id as u64;
        name_values(call);
    }
    calls
}

/// Draws Poisson arrivals at the workspace's part of the load.
fn arrivals(
    rng: &mut ChaCha8Rng,
    number: usize,
    workspace: &WorkspaceProfile,
    options: &PlanOptions,
) -> Vec<Span> {
    let times =
        options.flood.filter(|flood| flood.workspace == number).map_or(1, |flood| flood.times);
    let rate = f64::from(workspace.rate) * f64::from(options.load) / 100.0 * f64::from(times);
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
    at: Span,
    vms: usize,
    options: &PlanOptions,
) -> Planned {
    let session = workspace as u64 * SESSIONS + rng.random_range(0..SESSIONS);
    let vms = std::array::from_fn(|_| rng.random_range(0..vms));
    let operation = if rng.random_range(0..100) < options.writes {
        draw_write(rng, options)
    } else {
        let age = rng.random_range(0..100) < options.aged;
        Operation::Read { key: draw_key(rng), age: age.then_some(Span::from_secs(2).0) }
    };
    Planned { id: 0, at, workspace, session, vms, operation }
}

fn draw_write(rng: &mut ChaCha8Rng, options: &PlanOptions) -> Operation {
    let mut write = || KeyValue { key: draw_key(rng), value: String::new() };
    let first = write();
    let more: Vec<KeyValue> = (1..TRANSACTION_WRITES).map(|_| write()).collect();
    if rng.random_range(0..100) < options.transactions {
        Operation::Transaction(std::iter::once(first).chain(more).collect())
    } else {
        Operation::Write(first)
    }
}

fn draw_key(rng: &mut ChaCha8Rng) -> String {
    format!("key-{}", rng.random_range(0..KEYS))
}

/// Names each value after its call, so that it is unique over the run.
fn name_values(call: &mut Planned) {
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
