//! Measurements of the processor time and the memory of this process.

use std::hint::black_box;
use std::time::Instant;

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// The clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The number of timed runs, of which the fastest counts.
const REPEATS: usize = 5;

/// The number of times that the resident memory must grow before freed memory counts as used up.
const MIN_GROWTHS: usize = 20;

/// The maximum number of values that are created to use up freed memory.
const MAX_FILLERS: usize = 20_000;

/// Returns the time of one `call` in nanoseconds, from the fastest of several runs of `count`
/// calls.
///
/// The fastest run is disturbed least by other processes.
pub fn nanos_per_call(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let mut fastest = f64::INFINITY;
    for _ in 0..REPEATS {
        let start = Instant::now();
        for iteration in 0..count {
            call(iteration);
        }
        fastest = fastest.min(start.elapsed().as_nanos() as f64 / f64::from(count));
    }
    fastest
}

/// Returns the resident memory of one value in bytes, averaged over `count` values.
pub fn bytes_per_value<T>(count: usize, make: impl Fn() -> T) -> f64 {
    let fillers = fill_freed_memory(&make);
    let mut kept = Vec::with_capacity(count);
    let before = resident_bytes();
    for _ in 0..count {
        kept.push(make());
    }
    let bytes = (resident_bytes() - before) / count as f64;
    black_box((&kept, &fillers));
    bytes
}

/// Creates values until they no longer fit into memory that the allocator kept from earlier work.
/// The caller keeps them alive during its measurement.
fn fill_freed_memory<T>(make: &impl Fn() -> T) -> Vec<T> {
    let mut fillers = Vec::with_capacity(MAX_FILLERS);
    let mut growths = 0;
    while growths < MIN_GROWTHS && fillers.len() < MAX_FILLERS {
        let before = resident_bytes();
        fillers.push(make());
        growths += usize::from(before < resident_bytes());
    }
    fillers
}

/// Returns the resident memory of this process in bytes; 0 if `/proc` does not provide it.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the processor time of this process in seconds; 0 if `/proc` does not provide it.
pub fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the program, in parentheses, may contain spaces; only numbers follow it.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}
