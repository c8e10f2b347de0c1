//! A drill: the store comes back from a copy that has a key that was withdrawn since, while a VM
//! restarts.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::caller::Caller;
use crate::platform::configuration;
use crate::platform::Platform;
use crate::platform::BOUNDED;
use crate::platform::OTHER_KEY;
use crate::platform::SMALL;
use crate::record::Record;
use crate::Outcome;

/// `RevokeMs` of the deployment, in seconds.
const REVOKE: f64 = 5.0;

/// The time from the confirmation of the withdrawal until the store is away.
const UNTIL_DRILL: Duration = Duration::from_millis(5_200);

/// The time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// The time from the return of the store until the operator has written the configuration again.
const REWRITE: Duration = Duration::from_millis(1_500);

/// The VM that restarts.
const RESTARTED: usize = 2;

pub fn play(program: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let started = Platform::start(program, folder, record, SMALL);
    let Some(platform) = started else { return Outcome::Failed };
    let platform = Arc::new(platform);
    // The key works at first.
    let before = (0..50).any(|attempt| {
        thread::sleep(Duration::from_millis(100));
        read(&platform, RESTARTED, &format!("before-{attempt}")).is_some()
    });
    if !before {
        return Outcome::Failed;
    }
    let copy = platform.store.copy();
    record.line("store: this is the state of the copy");
    thread::sleep(Duration::from_millis(500));
    platform.store.put("op/config", &configuration(2, &[], SMALL));
    let confirmed = record.now();
    record.line("operator: version 2, which withdraws the key, is confirmed");
    thread::sleep(UNTIL_DRILL);
    let sent = Arc::new(Mutex::new(Vec::new()));
    let requesters: Vec<_> = (0..platform.fleet.count())
        .map(|index| {
            let (platform, sent) = (platform.clone(), sent.clone());
            thread::spawn(move || {
                for attempt in 0..100 {
                    let id = format!("late-{index}-{attempt}");
                    if let Some(at) = read(&platform, index, &id) {
                        sent.lock().unwrap().push((id, at));
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    if trouble {
        platform.store.set_down(true);
        platform.fleet.kill(RESTARTED);
        thread::sleep(AWAY);
        platform.store.restore(copy);
        platform.fleet.start(RESTARTED);
        thread::sleep(REWRITE);
        platform.store.put("op/config", &configuration(2, &[], SMALL));
        record.line("operator: version 2 is written again");
    }
    for requester in requesters {
        let _ = requester.join();
    }
    let ran = platform.group.ran();
    let mut broken = 0;
    for (id, at) in sent.lock().unwrap().iter() {
        let run = ran.iter().find(|(_, ran, _)| ran == id);
        if let (Some((when, _, tenant)), true) = (run, REVOKE < at - confirmed) {
            broken += 1;
            record.line(&format!(
                "CONFIG: {id}, sent {:.3} s after the confirmation that took its key away, ran for {tenant} at {when:.3}",
                at - confirmed
            ));
        }
    }
    record.line(&format!("{broken} requests ran with the withdrawn key"));
    if broken == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Sends a read with the key in a session of its own; returns when, if it was served.
fn read(platform: &Platform, index: usize, id: &str) -> Option<f64> {
    let address = platform.fleet.callers(index);
    let opened = Caller::open(address, BOUNDED, OTHER_KEY, &platform.record);
    let mut caller = match opened {
        Ok(caller) => caller,
        Err(error) => {
            let name = platform.fleet.name(index);
            platform.record.line(&format!("requester: {id} is turned away by {name}: {error}"));
            return None;
        }
    };
    let answer = caller.run(id, "READ loaf").ok()?;
    answer.outcome.is_ok().then_some(answer.sent)
}
