//! Callers that repeat an operation until they are stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::fleet::Caller;
use crate::fleet::Vm;
use crate::platform::KEY;

/// The pause of a caller whose session was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// The pause of a caller after a write.
const WRITE_PAUSE: Duration = Duration::from_millis(10);

/// `Operation` is what a caller does in one session; its number is unique. Returns the answers.
pub type Operation = fn(Caller, u64) -> String;

/// Writes once in its session.
pub fn write(mut caller: Caller, number: u64) -> String {
    let answer = caller.run(&format!("{number:016x}"), &format!("WRITE a{} data", number % 2_000));
    caller.end();
    thread::sleep(WRITE_PAUSE);
    answer
}

/// `Load` is a number of running callers.
#[derive(Default)]
pub struct Load {
    callers: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    serial: Arc<AtomicU64>,
    lines: Arc<Mutex<Vec<String>>>,
    /// The number of sessions whose connection was cut before the answer, and of those refused.
    cut: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
}

impl Load {
    /// Starts `count` callers of the database name `database` at a VM.
    pub fn add(&mut self, vm: &Vm, count: usize, database: &'static str, operation: Operation) {
        for _ in 0..count {
            let (address, name) = (vm.callers, vm.name.clone());
            let (stop, serial, lines) =
                (self.stop.clone(), self.serial.clone(), self.lines.clone());
            let (cut, refused) = (self.cut.clone(), self.refused.clone());
            self.callers.push(thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let number = serial.fetch_add(1, Ordering::AcqRel);
                    let answers = session(address, database, number, operation, &refused);
                    let is_cut = answers.contains("cut");
                    cut.fetch_add(u64::from(is_cut), Ordering::AcqRel);
                    if number % 100 == 0 || is_cut {
                        lines.lock().unwrap().push(format!("{number} at {name}: {answers}"));
                    }
                }
            }));
        }
    }

    /// Stops the callers. Returns a line for each hundredth operation and each one that was cut, and
    /// the sums.
    pub fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::Release);
        self.callers.into_iter().for_each(|caller| drop(caller.join()));
        let mut lines = std::mem::take(&mut *self.lines.lock().unwrap());
        let [count, cut, refused] =
            [self.serial, self.cut, self.refused].map(|sum| sum.load(Ordering::Acquire));
        lines.push(format!("{count} operations; {cut} cut off, {refused} sessions not opened"));
        lines
    }
}

fn session(
    address: SocketAddr,
    database: &str,
    number: u64,
    operation: Operation,
    refused: &AtomicU64,
) -> String {
    match Caller::open(address, database, KEY) {
        Ok(caller) => operation(caller, number),
        Err(_) => {
            refused.fetch_add(1, Ordering::AcqRel);
            thread::sleep(REFUSED_PAUSE);
            "not opened".to_owned()
        }
    }
}
