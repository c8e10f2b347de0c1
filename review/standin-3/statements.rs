//! Callers prepare statements with long texts, each in a session of its own. The VM that holds the
//! connections to an instance keeps the texts.

use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::limit::Ends;
use crate::load::Load;
use crate::platform::MENUS;
use crate::platform::ORDERS;
use crate::platform::Platform;

/// The callers of each route at each VM.
const CALLERS: usize = 10;
/// The length of a prepared statement: an eighth of the longest message.
const LONG: usize = 128 << 10;
/// The length of a prepared statement without the disruption.
const SHORT: usize = 128;
/// The pause within a transaction.
const PAUSE: Duration = Duration::from_millis(50);

pub fn play(setting: &mut Setting) -> Verdict {
    let platform = Platform::start();
    let Some(mut vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let mut load = Load::default();
    for vm in &vms {
        let [writes, reads] =
            if setting.trouble { [long_write, long_read] } else { [short_write, short_read] };
        load.add(vm, CALLERS, ORDERS, writes);
        load.add(vm, CALLERS, MENUS, reads);
    }
    let ends = Ends::watch(&mut vms);
    setting.conclude(&platform, &vms, ends, load)
}

fn long_write(caller: Caller, number: u64) -> String {
    operation(caller, number, "WRITE", LONG)
}

fn long_read(caller: Caller, number: u64) -> String {
    operation(caller, number, "READ", LONG)
}

fn short_write(caller: Caller, number: u64) -> String {
    operation(caller, number, "WRITE", SHORT)
}

fn short_read(caller: Caller, number: u64) -> String {
    operation(caller, number, "READ", SHORT)
}

/// Runs a transaction with one prepared statement, whose text no other session has.
fn operation(mut caller: Caller, number: u64, kind: &str, length: usize) -> String {
    let id = |step: u64| format!("{:016x}", number << 4 | step);
    let shape = format!("q{number:016x}{}", "x".repeat(length));
    let (begin, data) = if kind == "READ" { ("BEGIN READ", "") } else { ("BEGIN", " data") };
    let mut answers = vec![caller.run(&id(0), &format!("PARSE s1 {kind} {shape}"))];
    answers.push(caller.run(&id(1), begin));
    if answers[1].starts_with("COMPLETE") {
        answers.push(caller.run(&id(2), &format!("EXECUTE s1 a{}{data}", number % 2_000)));
        thread::sleep(PAUSE);
        answers.push(caller.run(&id(3), "COMMIT"));
    }
    caller.end();
    answers.join(" | ")
}
