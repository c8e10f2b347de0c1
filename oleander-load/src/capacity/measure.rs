//! Processor time and memory of this process.

use std::hint::black_box;
use std::time::Instant;

/// The bytes of a page.
const PAGE_BYTES: f64 = 4_096.0;

/// The clock ticks of a second in the process's statistics.
const TICKS: f64 = 100.0;

/// The repetitions of a timed call of which the fastest counts.
const REPEATS: usize = 5;

/// The times that the memory must have grown before the gaps count as filled.
const GROWN_ENOUGH: usize = 20;

/// The most values that are made to fill gaps.
const MAX_SPARE: usize = 20_000;

/// Gets the nanoseconds of one `call`, as the fastest of several runs of `count` calls.
///
/// The fastest run has the least work of other processes in it.
pub fn nanos_per_call(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let mut fastest = f64::INFINITY;
    for _ in 0..REPEATS {
        let start = Instant::now();
        for turn in 0..count {
            call(turn);
        }
        fastest = fastest.min(start.elapsed().as_nanos() as f64 / f64::from(count));
    }
    fastest
}

/// Gets the bytes of resident memory that one value takes, from `count` copies of it.
pub fn bytes_per_value<T>(count: usize, make: impl Fn() -> T) -> f64 {
    let spare = fill_gaps(&make);
    let mut kept = Vec::with_capacity(count);
    let before = resident_bytes();
    for _ in 0..count {
        kept.push(make());
    }
    let bytes = (resident_bytes() - before) / count as f64;
    black_box((&kept, &spare));
    bytes
}

/// Makes values until they no longer fit into memory that the allocator kept from earlier work.
fn fill_gaps<T>(make: &impl Fn() -> T) -> Vec<T> {
    let mut spare = Vec::with_capacity(MAX_SPARE);
    let mut grown = 0;
    while grown < GROWN_ENOUGH && spare.len() < MAX_SPARE {
        let before = resident_bytes();
        spare.push(make());
        grown += usize::from(before < resident_bytes());
    }
    spare
}

/// Gets the resident memory of this process in bytes; 0 where the system does not tell.
pub fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Gets the processor time that this process has used, in seconds; 0 where the system does not
/// tell.
pub fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the program may hold blanks; the fields after it are numbers.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|field| field.parse::<f64>().ok()).sum::<f64>() / TICKS
}
