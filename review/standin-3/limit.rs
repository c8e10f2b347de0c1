//! The memory limit of the machines: the platform kills a process that exceeds it, and starts it again.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Vm;

/// `MemoryMb` of the machines.
const MEMORY_LIMIT: u64 = 260 << 20;
/// The number of ends of a process, on two VMs at least, that make a day count for nothing.
const ENDS: usize = 3;
/// The time after which a case ends.
const LENGTH: Duration = Duration::from_secs(80);
/// The pause before a process that was killed starts again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// The interval at which the memory is measured.
const INTERVAL: Duration = Duration::from_millis(20);

/// `Ends` is what the platform has seen of the processes.
pub struct Ends {
    /// The number of ends of each VM.
    pub counts: Vec<usize>,
    /// The most memory that each VM has used, in bytes.
    pub most: Vec<u64>,
    /// A line for each end.
    pub lines: Vec<String>,
}

impl Ends {
    /// Enforces the limit until the time is over or the ends on two VMs suffice.
    pub fn watch(vms: &mut [Vm]) -> Self {
        let (counts, most) = (vec![0; vms.len()], vec![0; vms.len()]);
        let mut ends = Self { counts, most, lines: Vec::new() };
        let started = Instant::now();
        while started.elapsed() < LENGTH && !ends.is_fault() {
            thread::sleep(INTERVAL);
            for (index, vm) in vms.iter_mut().enumerate() {
                let memory = vm.memory();
                ends.most[index] = memory.max(ends.most[index]);
                if MEMORY_LIMIT < memory {
                    ends.counts[index] += 1;
                    ends.lines.push(format!(
                        "{:.1} s: {} uses {} MB and is killed, as its limit is 260 MB",
                        started.elapsed().as_secs_f64(),
                        vm.name,
                        memory >> 20
                    ));
                    vm.kill();
                    thread::sleep(RESTART_PAUSE);
                    vm.start();
                }
            }
        }
        ends
    }

    /// Returns `true` if processes on two VMs have ended three times each.
    pub fn is_fault(&self) -> bool {
        2 <= self.counts.iter().filter(|count| ENDS <= **count).count()
    }
}
