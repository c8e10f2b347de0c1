//! What each case does and checks.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::fleet::Caller;
use crate::fleet::Fleet;
use crate::fleet::Options;
use crate::group::Group;
use crate::record;
use crate::store::Store;

/// The key of the only tenant.
const KEY: &str = "u6wsjnbanfqasnmgkcuy";

/// A second key of the tenant.
const SECOND_KEY: &str = "j8pjbvk9m68k7b2ex5wa";

/// The name under which callers open sessions.
const DATABASE: &str = "lepu270";

/// Runs a case.
pub fn run(case: &str, program: &Path, folder: &Path, trouble: bool) -> Outcome {
    match case {
        "moved-route" => moved_route(program, folder, trouble),
        "lost-commit" => lost_commit(program, folder, trouble),
        "restored-key" => restored_key(program, folder, trouble),
        "stopped-waiting" => stopped_waiting(program, folder, trouble),
        "short-lease" => short_lease(program, folder, trouble),
        _ => Outcome::NotRun,
    }
}

/// Writes a configuration with one route, as the operator does.
fn publish(store: &Store, version: u64, kind: &str, service: &str, services: &[&str]) {
    publish_with(store, version, kind, service, services, 1000);
}

/// Writes a configuration with a primary route, in which the tenant has `keys`.
fn publish_keys(store: &Store, version: u64, keys: &[&str]) {
    publish_whole(store, version, "primary", "ledger", &["ledger"], 1000, keys);
}

/// Writes a configuration as `publish` does, with another timeout of the route in milliseconds.
fn publish_with(
    store: &Store,
    version: u64,
    kind: &str,
    service: &str,
    services: &[&str],
    timeout: u64,
) {
    publish_whole(store, version, kind, service, services, timeout, &[KEY]);
}

fn publish_whole(
    store: &Store,
    version: u64,
    kind: &str,
    service: &str,
    services: &[&str],
    timeout: u64,
    keys: &[&str],
) {
    let keys = keys.join("\",\"");
    let services = services.iter().map(|name| {
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":36,\"Protocol\":\"h1\",\"Tls\":false,\"SyncReplicas\":1}}")
    });
    let services: Vec<String> = services.collect();
    let staleness = if kind == "own_writes" { ",\"MaxStalenessMs\":2500" } else { "" };
    let text = format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Database\":\"{DATABASE}\",\"Prefix\":\"/\",\"RouteType\":\"{kind}\",\"TimeoutMs\":{timeout},\"TargetLatencyMs\":1000,\"Priority\":1,\"Backend\":\"{service}\",\"Attempts\":2{staleness},\"Public\":false}}],\"Backends\":[{}],\"Limits\":{{\"TxIdleMs\":3000}},\"Tenants\":[{{\"Name\":\"nypu920\",\"ApiKeys\":[\"{keys}\"],\"Priority\":1,\"RatePerS\":400,\"Burst\":400}}]}}",
        services.join(",")
    );
    store.put("op/config", text.as_bytes());
    record(&format!(
        "operator: version {version} is confirmed, {DATABASE} ({kind}) leads to {service}"
    ));
}

fn zones() -> Vec<String> {
    ["burnaby-a", "kelowna-a", "nanaimo-a"].map(str::to_owned).to_vec()
}

/// Runs `attempt` until it succeeds, for 15 s at most.
fn until_served<T>(mut attempt: impl FnMut() -> Result<T, String>) -> Option<T> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Ok(value) = attempt() {
            return Some(value);
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// A session writes at one service, its route is moved to another one and back, and it reads what it
/// wrote.
fn moved_route(program: &Path, folder: &Path, trouble: bool) -> Outcome {
    let store = Store::start(0);
    let services = ["ledger", "archive"];
    let zones = zones();
    let places: Vec<&str> = zones.iter().map(String::as_str).collect();
    let groups = [
        Group::start(&store, services[0], &places, 5, 1200),
        Group::start(&store, services[1], &places, 3, 700),
    ];
    publish(&store, 3, "own_writes", services[0], &services);
    let promote = Duration::from_millis(1000);
    let options = Options { zones, fenced: true, promote, mbps: 0.0 };
    let mut fleet = Fleet::prepare(&store, &groups, program, folder, &options);
    for index in 0..fleet.vms.len() {
        fleet.start(index);
    }
    if !fleet.wait_ready() {
        return Outcome::NotRun;
    }
    let vm = fleet.vms[1].callers;
    let opened = until_served(|| {
        let mut caller = Caller::open(vm, "start", DATABASE, KEY)?;
        caller.run("WRITE start 1")?;
        caller.run("READ start")
    });
    if opened.is_none() {
        return Outcome::NotRun;
    }
    if trouble {
        record("a replica in the callers' zone applies commits 1.5 s late");
        groups[0].set_lag(1, Duration::from_millis(1500));
    }
    let (mut version, mut broken, mut read) = (3, 0, 0);
    let mut move_to = |service: &str| {
        version += 2;
        publish(&store, version, "own_writes", service, &services);
        thread::sleep(Duration::from_millis(330));
    };
    for round in 0..6 {
        thread::sleep(Duration::from_millis(2000));
        let Ok(mut caller) = Caller::open(vm, &format!("round{round}"), DATABASE, KEY) else {
            continue;
        };
        let first = format!("first{round}");
        if caller.run(&format!("WRITE booking {first}")).is_err() {
            continue;
        }
        // Without a move, the session reads its own write on the late replica or elsewhere.
        let moved = trouble && round % 2 == 1;
        if moved {
            move_to(services[1]);
        }
        let second = caller.run(&format!("WRITE other second{round}"));
        if moved {
            move_to(services[0]);
        }
        if second.is_err() {
            continue;
        }
        match caller.run("READ booking") {
            Ok(rows) if rows == [first.clone()] => read += 1,
            Ok(rows) => {
                read += 1;
                broken += 1;
                record(&format!("STALE: the session wrote {first} and read {rows:?}"));
            }
            Err(_) => {}
        }
    }
    record(&format!("{read} reads, {broken} of them without the session's own commit"));
    match (broken, read) {
        (_, 0) => Outcome::NotRun,
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// The store applies a shorter lease than asked for. A VM and the primary are then partitioned from
/// the others, which replace the primary.
fn short_lease(program: &Path, folder: &Path, trouble: bool) -> Outcome {
    let ttl = std::env::var("TTL").ok().and_then(|ttl| ttl.parse().ok()).unwrap_or(2000);
    let store = Store::start(ttl);
    let zones = zones();
    let places: Vec<&str> = zones.iter().map(String::as_str).collect();
    let groups = [Group::start(&store, "counts", &places, 3, 1200)];
    let group = &groups[0];
    group.set_fenced(false);
    publish(&store, 3, "primary", "counts", &["counts"]);
    let promote = Duration::from_millis(600);
    let options = Options { zones, fenced: false, promote, mbps: 0.0 };
    let mut fleet = Fleet::prepare(&store, &groups, program, folder, &options);
    // The VM beside the primary starts last, so that another one has the keeper's duty.
    fleet.start(1);
    fleet.start(2);
    thread::sleep(Duration::from_millis(2500));
    fleet.start(0);
    if !fleet.wait_ready() {
        return Outcome::NotRun;
    }
    let (near, far) = (fleet.vms[0].callers, fleet.vms[1].callers);
    let opened = until_served(|| {
        let mut near = Caller::open(near, "near-start", DATABASE, KEY)?;
        near.run("WRITE count before")?;
        let mut far = Caller::open(far, "far-start", DATABASE, KEY)?;
        far.run("READ count")
    });
    let keeper = store.get("oleander/keeper/counts").unwrap_or_default();
    if opened.is_none() || keeper.contains(&fleet.vms[0].name) {
        record(&format!("not served, or the keeper is beside the primary: {keeper}"));
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_millis(3000));
    let acknowledged: Arc<Mutex<Option<Instant>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let reading = {
        let (acknowledged, ended) = (acknowledged.clone(), ended.clone());
        thread::spawn(move || {
            let (mut late, mut reads) = (0, 0);
            let mut session = None;
            while !ended.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(40));
                if session.is_none() {
                    session = Caller::open(near, "near", DATABASE, KEY).ok();
                }
                let Some(caller) = &mut session else { continue };
                let known = *acknowledged.lock().expect("no thread has failed");
                match caller.run("READ count") {
                    Ok(rows) => {
                        reads += 1;
                        if known.is_some() && rows != ["after"] {
                            late += 1;
                            record(&format!(
                                "STALE: read {rows:?} after another write was acknowledged"
                            ));
                        }
                    }
                    Err(error) if error.contains("closed") || error.contains("os error") => {
                        session = None;
                    }
                    Err(_) => {}
                }
            }
            (reads, late)
        })
    };
    thread::sleep(Duration::from_millis(500));
    if trouble {
        record("the primary and the VM in its zone are partitioned from the others");
        fleet.isolate(0, true);
        group.set_unreported(0, true);
        group.cut(0, 1);
        group.cut(0, 2);
        for (index, vm) in fleet.vms.iter().enumerate() {
            for (instance, link) in vm.to_instances[0].iter().enumerate() {
                if (index == 0) != (instance == 0) {
                    link.cut.store(true, Ordering::SeqCst);
                }
            }
        }
    }
    let cut_at = Instant::now();
    let mut session = None;
    let mut is_written = false;
    while !is_written && cut_at.elapsed() < Duration::from_secs(10) {
        if session.is_none() {
            session = Caller::open(far, "far", DATABASE, KEY).ok();
        }
        let Some(caller) = &mut session else { continue };
        is_written = caller.run("WRITE count after").is_ok();
        if is_written {
            *acknowledged.lock().expect("no thread has failed") = Some(Instant::now());
            record("the write of 'after' is acknowledged");
        } else {
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(Duration::from_millis(3000));
    ended.store(true, Ordering::SeqCst);
    drop(session);
    let (reads, late) = reading.join().unwrap_or((0, 0));
    record(&format!(
        "{reads} reads beside the former primary, {late} of them without a commit that had been acknowledged before"
    ));
    match (is_written, reads, late) {
        (false, ..) | (_, 0, _) => Outcome::NotRun,
        (_, _, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// A VM is stopped by SIGTERM while a statement of an open transaction, which it has read, waits for a
/// slot of the instance.
fn stopped_waiting(program: &Path, folder: &Path, trouble: bool) -> Outcome {
    let store = Store::start(0);
    let zones = zones();
    let places: Vec<&str> = zones.iter().map(String::as_str).collect();
    let groups = [Group::start(&store, "ledger", &places, 3, 1200)];
    publish_with(&store, 3, "primary", "ledger", &["ledger"], 3000);
    let promote = Duration::from_millis(1000);
    let options = Options { zones, fenced: true, promote, mbps: 0.0 };
    let mut fleet = Fleet::prepare(&store, &groups, program, folder, &options);
    for index in 0..fleet.vms.len() {
        fleet.start(index);
    }
    if !fleet.wait_ready() {
        return Outcome::NotRun;
    }
    // The primary and its home are in the first zone; the VM of the second zone is stopped.
    let (stopped, other) = (fleet.vms[1].callers, fleet.vms[2].callers);
    let opened = until_served(|| {
        let mut caller = Caller::open(stopped, "start", DATABASE, KEY)?;
        caller.run("WRITE start 1")?;
        let mut caller = Caller::open(other, "start", DATABASE, KEY)?;
        caller.run("READ start")
    });
    if opened.is_none() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_millis(6000));
    let Ok(mut caller) = Caller::open(stopped, "booking", DATABASE, KEY) else {
        return Outcome::NotRun;
    };
    if trouble {
        fleet.vms[1].signal("TERM");
    }
    let stopped_at = Instant::now();
    let wait_until = |millis| {
        thread::sleep(Duration::from_millis(millis).saturating_sub(stopped_at.elapsed()));
    };
    wait_until(1000);
    let began = caller.run("BEGIN").and_then(|_| caller.run("READ start"));
    if began.is_err() {
        return Outcome::NotRun;
    }
    wait_until(2300);
    let long = (0..3).map(|number| {
        thread::spawn(move || {
            let name = format!("long{number}");
            let mut caller = Caller::open(other, &name, DATABASE, KEY)?;
            caller.run("READ long-2800")
        })
    });
    let long: Vec<_> = long.collect();
    wait_until(2600);
    // Sent 2.6 s after the signal: an open transaction has 3 s to end.
    let sent = Instant::now();
    let outcome = caller.run("WRITE booking chair-7");
    let took = sent.elapsed();
    for caller in long {
        let _ = caller.join();
    }
    match outcome {
        Err(error) if error == "closed" || error.contains("os error") => {
            record(&format!(
                "LOST: the connection ended without an answer after {} ms; the route's timeout is 3000 ms",
                took.as_millis()
            ));
            Outcome::Broken
        }
        _ => Outcome::Held,
    }
}

/// A key is taken away, the store comes back from a copy that still has it, and all processes are killed
/// meanwhile. The operator writes again some seconds later.
fn restored_key(program: &Path, folder: &Path, trouble: bool) -> Outcome {
    let store = Store::start(0);
    let zones = zones();
    let places: Vec<&str> = zones.iter().map(String::as_str).collect();
    let groups = [Group::start(&store, "ledger", &places, 3, 1200)];
    publish_keys(&store, 3, &[KEY, SECOND_KEY]);
    let promote = Duration::from_millis(1000);
    let options = Options { zones, fenced: true, promote, mbps: 0.0 };
    let mut fleet = Fleet::prepare(&store, &groups, program, folder, &options);
    for index in 0..fleet.vms.len() {
        fleet.start(index);
    }
    if !fleet.wait_ready() {
        return Outcome::NotRun;
    }
    let vm = fleet.vms[1].callers;
    let opened =
        until_served(|| Caller::open(vm, "start", DATABASE, SECOND_KEY)?.run("READ start"));
    if opened.is_none() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_millis(3000));
    store.copy();
    thread::sleep(Duration::from_millis(1000));
    publish_keys(&store, 5, &[KEY]);
    let revoked = Instant::now();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        fleet.kill_all();
        store.restore(Duration::from_millis(500));
        for index in 0..fleet.vms.len() {
            fleet.start(index);
        }
    }
    let rewrite = revoked + Duration::from_millis(7500);
    let (mut is_rewritten, mut late, mut refused) = (false, 0, 0);
    while revoked.elapsed() < Duration::from_secs(10) {
        if !is_rewritten && rewrite <= Instant::now() {
            is_rewritten = true;
            publish_keys(&store, 5, &[KEY]);
        }
        thread::sleep(Duration::from_millis(100));
        let sent = revoked.elapsed();
        let ran = Caller::open(vm, "withdrawn", DATABASE, SECOND_KEY)
            .and_then(|mut caller| caller.run("READ start"));
        match ran {
            Ok(_) if Duration::from_secs(5) < sent => {
                late += 1;
                record(&format!(
                    "CONFIG: a request with the withdrawn key ran, sent {} ms after the confirmation",
                    sent.as_millis()
                ));
            }
            Ok(_) => {}
            Err(_) => refused += 1,
        }
    }
    record(&format!("{refused} requests with the withdrawn key refused, {late} ran too late"));
    match (late, refused) {
        (0, 0) => Outcome::NotRun,
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// The store applies a shorter lease than asked for. A VM is cut off from the store and the other VMs; a
/// little later, the primary and one replica are partitioned from all but this VM, which confirms a write.
fn lost_commit(program: &Path, folder: &Path, trouble: bool) -> Outcome {
    let ttl = std::env::var("TTL").ok().and_then(|ttl| ttl.parse().ok()).unwrap_or(2000);
    let store = Store::start(ttl);
    let zones = zones();
    let places: Vec<&str> = zones.iter().map(String::as_str).collect();
    let groups = [Group::start(&store, "counts", &places, 3, 1200)];
    let group = &groups[0];
    group.set_fenced(false);
    publish(&store, 3, "primary", "counts", &["counts"]);
    let promote = Duration::from_millis(600);
    let options = Options { zones, fenced: false, promote, mbps: 0.0 };
    let mut fleet = Fleet::prepare(&store, &groups, program, folder, &options);
    // The VM beside the primary starts last, so that another one has the keeper's duty.
    fleet.start(1);
    fleet.start(2);
    thread::sleep(Duration::from_millis(2500));
    fleet.start(0);
    if !fleet.wait_ready() {
        return Outcome::NotRun;
    }
    let (near, far) = (fleet.vms[0].callers, fleet.vms[1].callers);
    let opened = until_served(|| {
        let mut near = Caller::open(near, "near-start", DATABASE, KEY)?;
        near.run("WRITE count before")?;
        let mut far = Caller::open(far, "far-start", DATABASE, KEY)?;
        far.run("READ count")
    });
    let keeper = store.get("oleander/keeper/counts").unwrap_or_default();
    if opened.is_none() || keeper.contains(&fleet.vms[0].name) {
        record(&format!("not served, or the keeper is beside the primary: {keeper}"));
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_millis(3000));
    let Ok(mut caller) = Caller::open(near, "near", DATABASE, KEY) else {
        return Outcome::NotRun;
    };
    if trouble {
        record("the VM beside the primary is cut off from the store and the other VMs");
        fleet.isolate(0, true);
    }
    thread::sleep(Duration::from_millis(2400));
    if trouble {
        record(
            "the primary and the second instance are partitioned from the other VMs, the third instance and the store",
        );
        for instance in 0..2 {
            group.set_unreported(instance, true);
            group.cut(instance, 2);
            for vm in 1..3 {
                fleet.vms[vm].to_instances[0][instance].cut.store(true, Ordering::SeqCst);
            }
        }
    }
    thread::sleep(Duration::from_millis(50));
    let acknowledged = caller.run("WRITE count booked").is_ok();
    let until = Instant::now() + Duration::from_secs(12);
    let mut promoted = group.leader_has("booked");
    while trouble && promoted.1 == 3 && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        promoted = group.leader_has("booked");
    }
    let (leader, term, has) = promoted;
    record(&format!(
        "acknowledged: {acknowledged}; {leader} leads term {term}; its log has the write: {has}"
    ));
    match (acknowledged, has) {
        (true, false) => Outcome::Broken,
        (true, true) => Outcome::Held,
        // Not acknowledged, so that nothing can be lost.
        (false, _) if trouble => Outcome::Held,
        (false, _) => Outcome::NotRun,
    }
}
