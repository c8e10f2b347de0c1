//! The entries of all instances lapse while the store is down, and are back within two seconds of its
//! return, that of a replica that receives nothing first.

use std::collections::HashSet;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::caller::Caller;
use crate::platform::Platform;
use crate::platform::KEY;
use crate::platform::PRIMARY;
use crate::platform::SMALL;
use crate::record::Record;
use crate::Outcome;

/// The time for which one replica receives nothing.
const DEAF: Duration = Duration::from_millis(6_500);

/// The time for which the store is down.
const DOWN: Duration = Duration::from_millis(4_500);

/// The times from the return of the store until the instances report again.
const REPORT_DELAYS: [Duration; 3] =
    [Duration::from_millis(1_900), Duration::from_millis(1_900), Duration::from_millis(100)];

/// The number of lost commits that are shown.
const MAX_SHOWN: u32 = 20;

/// An acknowledged write.
struct Acknowledged {
    id: String,
    at: f64,
}

pub fn play(program: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let started = Platform::start(program, folder, record, SMALL);
    let Some(platform) = started else { return Outcome::Failed };
    let platform = Arc::new(platform);
    *platform.report_delays.lock().unwrap() = REPORT_DELAYS;
    let stop = Arc::new(AtomicBool::new(false));
    let acknowledged = Arc::new(Mutex::new(Vec::new()));
    let writers: Vec<_> = (0..platform.fleet.count())
        .map(|index| {
            let (platform, stop) = (platform.clone(), stop.clone());
            let acknowledged = acknowledged.clone();
            thread::spawn(move || write(&platform, index, &stop, &acknowledged))
        })
        .collect();
    let pause = |time| thread::sleep(time);
    pause(Duration::from_secs(4));
    let warm = acknowledged.lock().unwrap().len();
    if trouble {
        platform.group.set_deaf("i-c", true);
        pause(Duration::from_millis(300));
        platform.store.set_down(true);
        pause(DOWN);
        platform.store.set_down(false);
        pause(DEAF - DOWN - Duration::from_millis(300));
        platform.group.set_deaf("i-c", false);
    } else {
        pause(DEAF);
    }
    pause(Duration::from_secs(6));
    stop.store(true, Ordering::Release);
    for writer in writers {
        let _ = writer.join();
    }
    record.line(&format!("commits in the logs at the end: {}", platform.group.log_lengths()));
    let acknowledged = acknowledged.lock().unwrap();
    record.line(&format!("{} writes acknowledged, {warm} of them before", acknowledged.len()));
    if warm == 0 {
        return Outcome::Failed;
    }
    let mut lost = 0;
    for (at, name, log) in platform.group.promotions() {
        let kept: HashSet<&str> = log.iter().map(|commit| commit.id.as_str()).collect();
        let missing = acknowledged.iter().filter(|write| write.at < at);
        for write in missing.filter(|write| !kept.contains(write.id.as_str())) {
            lost += 1;
            if MAX_SHOWN < lost {
                continue;
            }
            record.line(&format!(
                "LOST: {} was acknowledged at {:.3} and is not in the log of {name}, promoted at {at:.3}",
                write.id, write.at
            ));
        }
    }
    record.line(&format!("{lost} acknowledged commits lost"));
    if lost == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Writes at one VM until told to stop.
fn write(
    platform: &Platform,
    index: usize,
    stop: &AtomicBool,
    acknowledged: &Mutex<Vec<Acknowledged>>,
) {
    let address = platform.fleet.callers(index);
    let mut count = 0;
    while !stop.load(Ordering::Acquire) {
        let opened = Caller::open(address, PRIMARY, KEY, &platform.record);
        let Ok(mut caller) = opened else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stop.load(Ordering::Acquire) {
            count += 1;
            let id = format!("w{index}-{count}");
            let Ok(answer) = caller.run(&id, &format!("WRITE {id} loaf")) else { break };
            let is_success = answer.outcome.is_ok();
            if is_success {
                acknowledged.lock().unwrap().push(Acknowledged { id, at: answer.answered });
            }
            thread::sleep(Duration::from_millis(if is_success { 20 } else { 100 }));
        }
    }
}
