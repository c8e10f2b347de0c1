//! An entry of the directory comes from another writer and lacks fields. At its address is a database
//! that is no instance of the service, such as a copy that was started for tests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Setting;
use crate::Verdict;
use crate::fleet::Caller;
use crate::group::Commit;
use crate::group::Group;
use crate::platform::KEY;
use crate::platform::MENUS;
use crate::platform::ORDERS;
use crate::platform::Platform;
use crate::platform::ROUTES;

/// The time before the entry is written.
const CALM: Duration = Duration::from_secs(3);
/// The time for which the case runs on.
const LENGTH: Duration = Duration::from_secs(12);
/// The pause of a caller after its statements.
const PAUSE: Duration = Duration::from_millis(100);
/// The time for which the primary is dark.
const DARK: Duration = Duration::from_secs(2);
/// What reads return at the copy.
const FOREIGN: &str = "row-of-the-copy";

/// The entry says that the copy is a replica. Reads of callers go there.
pub fn play_replica(setting: &mut Setting) -> Verdict {
    play(setting, "replica", None)
}

/// The entry says that the copy is a primary, and the primary of the service is dark for a moment.
/// Writes of callers go to the copy. Without the disruption, the primary is dark all the same.
pub fn play_primary(setting: &mut Setting) -> Verdict {
    play(setting, "primary", Some(DARK))
}

fn play(setting: &mut Setting, role: &str, dark: Option<Duration>) -> Verdict {
    let platform = Platform::start();
    let copy = start_copy();
    let Some(vms) = setting.start_vms(&platform) else { return Verdict::NotRun };
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (index, vm) in vms.iter().enumerate() {
        for (kind, database) in [MENUS, ROUTES, ORDERS].into_iter().enumerate() {
            let (address, name) = (vm.callers, vm.name.clone());
            let (stop, answers) = (stop.clone(), answers.clone());
            callers.push(thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Acquire) {
                    let Ok(mut caller) = Caller::open(address, database, KEY) else { return };
                    let mut run = |text: &str| {
                        number += 1;
                        let id = format!("{index:04x}{kind:04x}{number:08x}");
                        let answer = caller.run(&id, text);
                        let line =
                            format!("{name}, {database}: sent {id} {text}; answered {answer}");
                        answers.lock().unwrap().push(line);
                    };
                    if database != MENUS {
                        run("WRITE a1 data");
                    }
                    run("READ a1");
                    caller.end();
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(CALM);
    if setting.trouble {
        let address = copy.lock().unwrap().members[0].address;
        let entry = format!(
            "{{\"Backend\":\"ledger\",\"Address\":\"{address}\",\"Zone\":\"east\",\"Slots\":2,\
             \"State\":\"ready\",\"DbRole\":\"{role}\"}}"
        );
        platform.store.put("servers/copy-east", &entry);
        let line = format!("another writer has written servers/copy-east: {entry}");
        answers.lock().unwrap().push(line);
    }
    if let Some(dark) = dark {
        thread::sleep(CALM);
        let mut group = platform.group.lock().unwrap();
        let primary = group.primary.clone();
        answers.lock().unwrap().push(format!("{primary} is dark for {} s", dark.as_secs()));
        group.dark = Some((primary, Instant::now() + dark));
    }
    thread::sleep(LENGTH);
    stop.store(true, Ordering::Release);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    setting.record.append(&mut answers.lock().unwrap());
    let by_copy = |text: &str| {
        let is_by_copy = |line: &&String| line.contains(text) && line.contains("COMPLETE copy-");
        setting.record.iter().filter(is_by_copy).count()
    };
    let (reads, writes) = (by_copy(" READ "), by_copy(" WRITE "));
    setting.note(format!("{reads} reads were answered with rows of the copy"));
    setting.note(format!("{writes} writes were confirmed that only the copy has"));
    let found = if dark.is_some() { writes } else { reads };
    if found == 0 { Verdict::Held } else { Verdict::Broken }
}

/// Starts a copy of the database, with a history of its own since it was taken.
fn start_copy() -> Arc<Mutex<Group>> {
    let copy = Group::start("copy");
    {
        let mut group = copy.lock().unwrap();
        group.term = 9;
        group.row = FOREIGN.to_owned();
        let commit = Commit { term: 9, number: 9_999 };
        group.members.iter_mut().for_each(|member| member.log.push(commit));
    }
    copy
}
