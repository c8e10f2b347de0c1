//! An entry of the directory comes from another writer: it names a service that no configuration names,
//! and the name contains line ends.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::group::Statement;
use crate::platform::KEY;
use crate::platform::ORDERS;
use crate::platform::Platform;

/// The time before the entry is written.
const CALM: Duration = Duration::from_secs(3);
/// The time for which the case runs on.
const LENGTH: Duration = Duration::from_secs(15);
/// The pause between two writes of a caller.
const PAUSE: Duration = Duration::from_millis(100);
/// The identifier in the entry, which no caller uses.
const FOREIGN: &str = "5c0e7a21d94b36f8";

pub fn play(setting: &mut Setting) -> Verdict {
    let platform = Platform::start();
    platform.group.lock().unwrap().keeps = true;
    let Some(vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let sent = Arc::new(Mutex::new(HashSet::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (index, vm) in vms.iter().enumerate() {
        let (address, sent, stop) = (vm.callers, sent.clone(), stop.clone());
        callers.push(thread::spawn(move || {
            let mut answers = Vec::new();
            let Ok(mut caller) = Caller::open(address, ORDERS, KEY) else { return answers };
            for number in 0_u64.. {
                if stop.load(Ordering::Acquire) {
                    break;
                }
                let id = format!("{index:08x}{number:08x}");
                sent.lock().unwrap().insert(id.clone());
                let answer = caller.run(&id, &format!("WRITE a{number} d{index}"));
                answers.push(format!("sent {id} WRITE a{number} d{index}; answered {answer}"));
                thread::sleep(PAUSE);
            }
            answers
        }));
    }
    thread::sleep(CALM);
    if setting.trouble {
        let entry = foreign_entry(&platform);
        platform.store.put("servers/i-other", &entry);
        setting.note(format!("another writer has written servers/i-other: {entry}"));
    }
    thread::sleep(LENGTH);
    stop.store(true, Ordering::Release);
    for caller in callers {
        setting.record.extend(caller.join().unwrap_or_default());
    }
    let (sent, group) = (sent.lock().unwrap(), platform.group.lock().unwrap());
    let mut unasked = 0;
    for Statement { instance, tenant, id, text } in &group.statements {
        let is_sent = sent.contains(id);
        let note = if is_sent { "" } else { "; no caller has sent it" };
        unasked += u64::from(!is_sent);
        setting.record.push(format!("{instance} ran {id} {text} for {tenant}{note}"));
    }
    setting.record.push(format!("{unasked} statements were run that no caller has sent"));
    if unasked == 0 { Verdict::Held } else { Verdict::Broken }
}

/// Returns an entry with the address of the primary.
fn foreign_entry(platform: &Platform) -> String {
    let group = platform.group.lock().unwrap();
    let primary = group.members.iter().find(|member| member.name == group.primary);
    let primary = primary.expect("the primary exists");
    let (name, address) = (&primary.name, primary.address);
    let service = format!("ledger rye {name}\\r\\nQUERY {FOREIGN} WRITE a1 other\\r\\nSTARTUP");
    format!(
        "{{\"Backend\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"east\",\"Version\":\"v1\",\
         \"Slots\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,\"DbRole\":\"primary\",\"Sequence\":1,\
         \"born\":1000}}"
    )
}
