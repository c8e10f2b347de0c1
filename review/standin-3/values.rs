//! One caller sets long values in its session, and opens the next session at another VM once the
//! connection is lost.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::limit::Ends;
use crate::load;
use crate::load::Load;
use crate::platform::KEY;
use crate::platform::ORDERS;
use crate::platform::Platform;

/// The values of one session.
const COUNT: usize = 400;
/// The length of a value, below that of the longest message.
const LONG: usize = 1_000_000;
/// The length of a value without the disruption.
const SHORT: usize = 100;
/// The pause after a session.
const PAUSE: Duration = Duration::from_millis(500);

pub fn play(setting: &mut Setting) -> Verdict {
    let platform = Platform::start();
    let Some(mut vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let addresses: Vec<_> = vms.iter().map(|vm| (vm.name.clone(), vm.callers)).collect();
    let value = "v".repeat(if setting.trouble { LONG } else { SHORT });
    let (stop, lines) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let (stopped, noted) = (stop.clone(), lines.clone());
    let caller = thread::spawn(move || {
        for (name, address) in addresses.iter().cycle() {
            if stopped.load(Ordering::Acquire) {
                return;
            }
            let outcome = match Caller::open(*address, ORDERS, KEY) {
                Ok(caller) => session(caller, &value),
                Err(answer) => format!("not opened: {answer}"),
            };
            noted.lock().unwrap().push(format!("a session at {name}: {outcome}"));
            thread::sleep(PAUSE);
        }
    });
    let mut load = Load::default();
    vms.iter().for_each(|vm| load.add(vm, 1, ORDERS, load::write));
    let ends = Ends::watch(&mut vms);
    stop.store(true, Ordering::Release);
    let _ = caller.join();
    setting.record.append(&mut lines.lock().unwrap());
    setting.conclude(&platform, &vms, ends, load)
}

/// Sets the values of a session, then reads once.
fn session(mut caller: Caller, value: &str) -> String {
    for number in 0..COUNT {
        let answer = caller.run(&format!("{number:016x}"), &format!("SET v{number} {value}"));
        if !answer.contains("COMPLETE") {
            return format!("{number} values were confirmed, then: {answer}");
        }
    }
    let answer = caller.run("ffffffffffffffff", "READ a1");
    caller.end();
    format!("{COUNT} values were confirmed; a read: {answer}")
}
