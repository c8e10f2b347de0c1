//! Callers without a key name databases that never existed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::limit::Ends;
use crate::load;
use crate::load::Load;
use crate::platform::ORDERS;
use crate::platform::Platform;

/// The callers at each VM.
const CALLERS: usize = 2;
/// The length of a name: a quarter of the longest message.
const LONG: usize = 256 << 10;
/// The length of a name without the disruption.
const SHORT: usize = 16;
/// The pause after a session.
const PAUSE: Duration = Duration::from_millis(10);

pub fn play(setting: &mut Setting) -> Verdict {
    let platform = Platform::start();
    let Some(mut vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let length = if setting.trouble { LONG } else { SHORT };
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let serial = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for vm in &vms {
        for _ in 0..CALLERS {
            let (name, address) = (vm.name.clone(), vm.callers);
            let (stop, answers, serial) = (stop.clone(), answers.clone(), serial.clone());
            callers.push(thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let number = serial.fetch_add(1, Ordering::AcqRel);
                    let answer = ask(address, number, length);
                    if number % 100 == 0 {
                        let line = format!("session {number} at {name}: {answer}");
                        answers.lock().unwrap().push(line);
                    }
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    let mut load = Load::default();
    vms.iter().for_each(|vm| load.add(vm, 1, ORDERS, load::write));
    let ends = Ends::watch(&mut vms);
    stop.store(true, Ordering::Release);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    setting.record.append(&mut answers.lock().unwrap());
    setting.note(format!("{} sessions were asked for", serial.load(Ordering::Acquire)));
    setting.conclude(&platform, &vms, ends, load)
}

/// Asks for a session on a database that does not exist; returns the answer.
fn ask(address: SocketAddr, number: u64, length: usize) -> String {
    let name = format!("{number:016x}{}", "d".repeat(length - 16));
    match Caller::open(address, &name, "") {
        Ok(_) => "opened".to_owned(),
        Err(answer) => answer,
    }
}
