//! A zone is to be evacuated as soon as the store is back from an outage, while requesters open
//! transactions on an instance of the zone; later the request is taken back.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::caller::Caller;
use crate::fleet::ZONES;
use crate::platform::Platform;
use crate::platform::GROWN;
use crate::platform::PUBLIC;
use crate::record::Record;
use crate::Outcome;

/// The time for which the store is down.
const DOWN: Duration = Duration::from_millis(4_900);

/// The time from the request to evacuate the zone until it is taken back.
const EVACUATED: Duration = Duration::from_millis(5_000);

/// The time for which the zone serves before and after.
const SERVING: Duration = Duration::from_millis(2_000);

/// The VM that the requesters connect to; its zone is evacuated.
const VM: usize = 1;

/// The number of requesters with transactions, and of those with single reads.
const REQUESTERS: (usize, usize) = (14, 22);

/// The number of times that it happens.
const ROUNDS: u32 = 7;

/// The single statements by identifier, each with the time at which it was sent.
type Singles = Mutex<HashMap<String, f64>>;

pub fn play(program: &Path, folder: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let started = Platform::start(program, folder, record, GROWN);
    let Some(platform) = started else { return Outcome::Failed };
    let platform = Arc::new(platform);
    let stop = Arc::new(AtomicBool::new(false));
    let singles = Arc::new(Singles::default());
    let (transactions, reads) = REQUESTERS;
    let requesters: Vec<_> = (0..transactions + reads)
        .map(|index| {
            let (platform, singles) = (platform.clone(), singles.clone());
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    if index < transactions {
                        transact(&platform, index, &stop);
                    } else {
                        read(&platform, index, &stop, &singles);
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let key = format!("op/evacuate/{}", ZONES[VM].0);
    for _ in 0..ROUNDS {
        thread::sleep(SERVING);
        if trouble {
            platform.store.pause();
            thread::sleep(DOWN);
            platform.store.return_with(&key, "{}");
        } else {
            thread::sleep(DOWN);
            platform.store.put(&key, "{}");
            record.line(&format!("operator: writes {key}"));
        }
        thread::sleep(EVACUATED);
        platform.store.delete(&key);
        record.line(&format!("operator: deletes {key}"));
    }
    thread::sleep(SERVING);
    stop.store(true, Ordering::Release);
    for requester in requesters {
        let _ = requester.join();
    }
    let singles = singles.lock().unwrap();
    record.line(&format!("{} single reads sent", singles.len()));
    if singles.is_empty() {
        return Outcome::Failed;
    }
    let mut broken = 0;
    for (opened, id) in platform.group.in_transaction() {
        let sent = singles.get(&id).copied();
        if let Some(sent) = sent.filter(|sent| opened < *sent) {
            broken += 1;
            record.line(&format!(
                "PINNED: {id}, a single read sent at {sent:.3}, ran in a transaction that was opened at {opened:.3} for another requester"
            ));
        }
    }
    record.line(&format!("{broken} statements ran in transactions of others"));
    if broken == 0 {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Runs transactions that read until one fails.
fn transact(platform: &Platform, index: usize, stop: &AtomicBool) -> Option<()> {
    let address = platform.fleet.callers(VM);
    let mut caller = Caller::open(address, PUBLIC, "-", &platform.record).ok()?;
    while !stop.load(Ordering::Acquire) {
        let now = (platform.record.now() * 1_000.0) as u64;
        for (part, text) in ["BEGIN READ", "READ loaf", "READ bun", "COMMIT"].iter().enumerate() {
            let answer = caller.run(&format!("t{index}-{now}-{part}"), text).ok()?;
            answer.outcome.ok()?;
        }
        thread::sleep(Duration::from_millis(5));
    }
    Some(())
}

/// Runs single reads until one fails.
fn read(platform: &Platform, index: usize, stop: &AtomicBool, singles: &Singles) -> Option<()> {
    let address = platform.fleet.callers(VM);
    let mut caller = Caller::open(address, PUBLIC, "-", &platform.record).ok()?;
    let mut count = 0;
    while !stop.load(Ordering::Acquire) {
        count += 1;
        let sent = platform.record.now();
        let id = format!("s{index}-{}-{count}", (sent * 1_000.0) as u64);
        singles.lock().unwrap().insert(id.clone(), sent);
        let answer = caller.run(&id, "READ loaf").ok()?;
        answer.outcome.ok()?;
        thread::sleep(Duration::from_millis(15));
    }
    Some(())
}
