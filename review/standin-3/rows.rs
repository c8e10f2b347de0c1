//! Callers read results of many rows.

use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::limit::Ends;
use crate::load::Load;
use crate::platform::MENUS;
use crate::platform::Platform;

/// The callers at each VM.
const CALLERS: usize = 3;
/// The length of a row.
const ROW: usize = 64 << 10;
/// The rows of a result.
const MANY: usize = 1_280;
/// The rows of a result without the disruption.
const FEW: usize = 6;
/// The pause of a caller after a read.
const PAUSE: Duration = Duration::from_millis(100);

pub fn play(setting: &mut Setting) -> Verdict {
    let platform = Platform::start();
    {
        let mut group = platform.group.lock().unwrap();
        group.row = "r".repeat(ROW);
        group.rows = if setting.trouble { MANY } else { FEW };
    }
    let Some(mut vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let mut load = Load::default();
    vms.iter().for_each(|vm| load.add(vm, CALLERS, MENUS, operation));
    let ends = Ends::watch(&mut vms);
    setting.conclude(&platform, &vms, ends, load)
}

fn operation(mut caller: Caller, number: u64) -> String {
    let answer = caller.run(&format!("{number:016x}"), &format!("READ a{}", number % 2_000));
    caller.end();
    thread::sleep(PAUSE);
    answer
}
