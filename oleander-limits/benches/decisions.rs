//! Benchmarks of a single decision, at the current fleet size and at the target size.

use divan::Bencher;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::queue::Connection;
use oleander_limits::home::queue::HomeQueue;
use oleander_limits::home::queue::QueueOptions;
use oleander_limits::home::request::Class;
use oleander_limits::home::request::QueuedRequest;
use oleander_limits::home::request::Ticket as HomeTicket;
use oleander_limits::home::slots::Quota;
use oleander_limits::home::slots::Slots;
use oleander_limits::rates::actions::Ticket;
use oleander_limits::rates::limiter::RateLimiter;
use oleander_limits::rates::tokens::Limit;

/// The numbers of VMs and workspaces, current and target.
const SIZES: [(u64, u64); 2] = [(9, 8), (420, 5_000)];
/// The number of shares in the fleet, several for each VM.
const SHARES: u64 = 2_048;
/// The virtual time between two requests.
const STEP: Span = Span::from_micros(50);
/// The number of samples of each benchmark.
const SAMPLES: u32 = 500;
/// The number of decisions in one sample.
const SAMPLE_SIZE: u32 = 200;
const START: Time = Time(60_000_000);

fn main() {
    divan::main();
}

/// Admits one request of each workspace in turn with tokens of the local bucket.
#[divan::bench(args = SIZES, sample_count = SAMPLES, sample_size = SAMPLE_SIZE)]
fn bucket_take(bencher: Bencher<'_, '_>, (vms, workspaces): (u64, u64)) {
    // This VM owns the same part of the shares at both sizes, so that both use a local bucket.
    let owner = |share: u64| if share.is_multiple_of(9) { 0 } else { 1 + share % (vms - 1) };
    let owners: Vec<Option<VmId>> = (0..SHARES).map(|share| Some(VmId(owner(share)))).collect();
    let ids: Vec<WorkspaceId> =
        (0..workspaces).map(|at| WorkspaceId::from_name(&format!("workspace-{at}"))).collect();
    let mut limiter = RateLimiter::new(VmId(0), 1);
    let limit = Limit { rate: 100_000, burst: 100_000 };
    limiter.set_limits(Time(0), ids.iter().map(|id| (*id, limit)), &mut Vec::new());
    limiter.set_shares(Time(0), &owners, Time(u64::MAX));
    let mut out = Vec::new();
    let (mut now, mut serial) = (START, 0);
    // The first request of a workspace creates its state, which is not part of the benchmark.
    for id in &ids {
        limiter.acquire(now, Ticket(0), *id, 1, now, &mut out);
    }
    bencher.bench_local(|| {
        now = now + STEP;
        serial += 1;
        out.clear();
        let workspace = ids[(serial % workspaces) as usize];
        limiter.acquire(now, Ticket(serial), workspace, 1, now + Span::from_secs(1), &mut out)
    });
}

/// Pushes, starts and finishes one request while each workspace has one waiting.
#[divan::bench(args = SIZES, sample_count = SAMPLES, sample_size = SAMPLE_SIZE)]
fn queue_push_pop(bencher: Bencher<'_, '_>, (_, workspaces): (u64, u64)) {
    let mut slots = Slots::default();
    slots.set_quotas([Quota { slots: 2, connections: 16 }; 3], Time(0));
    let options = QueueOptions { total: 100_000, workspace: 100 };
    let mut queue = HomeQueue::new(options, slots);
    let request = |serial: u64| QueuedRequest {
        ticket: HomeTicket(serial),
        workspace: WorkspaceId(serial % workspaces),
        weight: 1,
        cost: 1,
        deadline: Time(u64::MAX),
        class: Class::Read,
    };
    let mut serial = 0;
    while serial < workspaces {
        let pushed = queue.push(START, request(serial));
        assert!(pushed.is_ok());
        serial += 1;
    }
    bencher.bench_local(|| {
        serial += 1;
        let pushed = queue.push(START, request(serial));
        let start = queue.pop(START, |_, slots| slots.is_free(START, 1).then_some(1));
        if let Some(start) = start {
            queue.finish(start.request.ticket, Span::from_millis(1), Connection::Free);
        }
        pushed
    });
}
