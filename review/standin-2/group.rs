//! The instances of a service: one primary and its replicas, over the line protocol.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record;
use crate::store::Store;

/// The time between two reports of an instance to the store.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1200);

/// The time that a read, write or commit takes.
const WORK_TIME: Duration = Duration::from_millis(2);

#[derive(Clone, Debug, PartialEq)]
struct Commit {
    term: u64,
    number: u64,
    writes: Vec<(String, String)>,
    received: Instant,
}

/// `Instance` is the state of one instance.
struct Instance {
    id: String,
    zone: String,
    address: SocketAddr,
    up: bool,
    /// `true` while the instance does not reach the store.
    unreported: bool,
    log: Vec<Commit>,
    /// The term that the instance leads; `None` for a replica.
    leads: Option<u64>,
    /// The newest term that it knows.
    term: u64,
    paused: bool,
    /// How much later than received commits are applied.
    lag: Duration,
    reported: Instant,
    sequence: u64,
}

struct State {
    instances: Vec<Instance>,
    /// Pairs of instances that do not reach each other.
    cut: Vec<(usize, usize)>,
    /// The highest fencing token seen, and whether lower ones are refused.
    token: u64,
    fenced: bool,
}

/// `Group` is the instances of one service; clones share them.
#[derive(Clone)]
pub struct Group {
    pub name: String,
    born: u128,
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    store: Store,
}

impl Group {
    /// Starts one instance in each of `zones`; the first one is the primary of `term`. Their logs
    /// have `commits` commits.
    pub fn start(store: &Store, name: &str, zones: &[&str], term: u64, commits: u64) -> Self {
        let now = Instant::now();
        let log = (1..=commits).map(|number| {
            let writes = vec![("seed".to_owned(), number.to_string())];
            Commit { term, number, writes, received: now - Duration::from_secs(60) }
        });
        let log: Vec<Commit> = log.collect();
        let epoch = std::time::SystemTime::UNIX_EPOCH;
        let born = epoch.elapsed().expect("a time after 1970").as_millis();
        let (mut instances, mut listeners) = (Vec::new(), Vec::new());
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            instances.push(Instance {
                id: format!("i-{name}-{}", index + 1),
                zone: (*zone).to_owned(),
                address,
                up: true,
                unreported: false,
                log: log.clone(),
                leads: (index == 0).then_some(term),
                term,
                paused: false,
                lag: Duration::ZERO,
                reported: now,
                sequence: 0,
            });
            listeners.push(listener);
        }
        let state = State { instances, cut: Vec::new(), token: 0, fenced: true };
        let group = Self {
            name: name.to_owned(),
            born,
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            store: store.clone(),
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || {
                        let _ = group.serve(index, stream);
                    });
                }
            });
        }
        group.report_all(true);
        let following = group.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1));
                following.replicate();
                following.report_all(false);
            }
        });
        group
    }

    /// Sets whether the platform refuses lower fencing tokens.
    pub fn set_fenced(&self, fenced: bool) {
        self.lock().fenced = fenced;
    }

    /// Returns the real addresses of the instances.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().instances.iter().map(|instance| instance.address).collect()
    }

    /// Sets how much later than received an instance applies commits.
    pub fn set_lag(&self, index: usize, lag: Duration) {
        self.lock().instances[index].lag = lag;
    }

    /// Cuts an instance off from the store, or joins it again.
    pub fn set_unreported(&self, index: usize, unreported: bool) {
        self.lock().instances[index].unreported = unreported;
    }

    /// Cuts the link between two instances.
    pub fn cut(&self, one: usize, other: usize) {
        self.lock().cut.push((one, other));
    }

    /// Returns the identifier and the term of the instance that leads the newest term, and whether its log
    /// has a write of `data`.
    pub fn leader_has(&self, data: &str) -> (String, u64, bool) {
        let state = self.lock();
        let leader = state.instances.iter().max_by_key(|instance| instance.leads);
        let leader = leader.expect("a group has instances");
        let mut writes = leader.log.iter().flat_map(|commit| &commit.writes);
        let has = writes.any(|(_, written)| written == data);
        (leader.id.clone(), leader.leads.unwrap_or_default(), has)
    }

    /// Handles `POST /promote`. Returns the status of the answer.
    pub fn promote(&self, id: &str, token: u64, delay: Duration) -> u16 {
        let mut state = self.lock();
        let found = state.instances.iter().position(|instance| instance.id == id && instance.up);
        if state.fenced && token < state.token {
            return 409;
        }
        state.token = state.token.max(token);
        let Some(index) = found else { return 409 };
        if state.instances[index].leads.is_some_and(|term| term == state.newest_term()) {
            return 200;
        }
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(delay);
            group.take_lead(index);
        });
        200
    }

    fn take_lead(&self, index: usize) {
        let mut state = self.lock();
        let term = state.newest_term() + 1;
        let fenced = state.fenced;
        for (other, instance) in state.instances.iter_mut().enumerate() {
            if other == index {
                instance.leads = Some(term);
                instance.term = term;
            } else if fenced {
                instance.leads = None;
            }
            instance.paused = false;
        }
        let id = state.instances[index].id.clone();
        let last = state.instances[index].last();
        record(&format!("{id} leads term {term} from position {}.{}", last.0, last.1));
        drop(state);
        self.changed.notify_all();
        self.report_all(true);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread has failed")
    }

    /// Passes what the primaries have on to the replicas that reach them.
    fn replicate(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let mut is_changed = false;
        for replica in 0..state.instances.len() {
            let instance = &state.instances[replica];
            if !instance.up || instance.leads.is_some() || instance.paused {
                continue;
            }
            let known = instance.term;
            let leaders = state.instances.iter().enumerate().filter(|(index, leader)| {
                leader.up
                    && leader.leads.is_some_and(|term| known <= term)
                    && !state.is_cut(*index, replica)
            });
            let Some((leader, _)) = leaders.max_by_key(|(_, leader)| leader.leads) else {
                continue;
            };
            let log = state.instances[leader].log.clone();
            let term = state.instances[leader].leads.unwrap_or_default();
            let follower = &mut state.instances[replica];
            follower.term = term;
            let is_same =
                |(own, led): &(&Commit, &Commit)| own.term == led.term && own.number == led.number;
            let same = follower.log.iter().zip(&log).take_while(is_same).count();
            if same < follower.log.len() {
                follower.log.truncate(same);
            }
            for commit in &log[same..] {
                follower.log.push(Commit { received: now, ..commit.clone() });
                is_changed = true;
            }
        }
        drop(state);
        if is_changed {
            self.changed.notify_all();
        }
    }

    /// Writes the entries of the instances into the store: when one is due, or all of them.
    fn report_all(&self, now: bool) {
        let mut reports = Vec::new();
        {
            let mut state = self.lock();
            for (index, instance) in state.instances.iter_mut().enumerate() {
                let age = instance.reported.elapsed();
                let key = format!("servers/{}", instance.id);
                if instance.unreported || !instance.up {
                    if 3 * REPORT_INTERVAL <= age {
                        reports.push((key, None));
                    }
                    continue;
                }
                if !now && age < REPORT_INTERVAL {
                    continue;
                }
                // The instances report at different times.
                let offset = if now { REPORT_INTERVAL / 3 * index as u32 } else { Duration::ZERO };
                instance.reported = Instant::now() - offset;
                instance.sequence += 1;
                let Instance { address, zone, sequence, .. } = instance;
                let role = if instance.leads.is_some() { "primary" } else { "replica" };
                let value = format!(
                    "{{\"Backend\":\"{}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":3,\"State\":\"ready\",\"WarmupLeftMs\":0,\"DbRole\":\"{role}\",\"Sequence\":{sequence},\"born\":{}}}",
                    self.name, self.born
                );
                reports.push((key, Some(value)));
            }
        }
        for (key, value) in reports {
            match value {
                Some(value) => drop(self.store.put(&key, value.as_bytes())),
                None => self.store.delete(&key),
            }
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut lines = BufReader::new(stream);
        let mut session = Session::default();
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? == 0 || !self.lock().instances[index].up {
                return Ok(());
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if let Some(rest) = line.strip_prefix("STARTUP ") {
                let words: Vec<&str> = rest.split(' ').collect();
                let id = self.lock().instances[index].id.clone();
                if words[0] != self.name || words.get(2).is_some_and(|wanted| *wanted != id) {
                    writer.write_all(b"ERROR MOVED another one is here\r\n")?;
                    return Ok(());
                }
                session.who = words.get(1).copied().unwrap_or_default().to_owned();
                let ready = self.ready(index, &session);
                writer.write_all(ready.as_bytes())?;
            } else if let Some(rest) = line.strip_prefix("QUERY ") {
                let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let outcome = self.run(index, &mut session, text);
                if id != "-" {
                    let name = self.lock().instances[index].id.clone();
                    let shown = match &outcome {
                        Ok((rows, _)) => format!("{rows:?}"),
                        Err(code) => code.clone(),
                    };
                    let text: String = text.chars().take(60).collect();
                    record(&format!("{name} runs {id} for {}: {text} -> {shown}", session.who));
                }
                let mut out = String::new();
                match outcome {
                    Ok((rows, signature)) => {
                        for row in rows {
                            out.push_str(&format!("DATAROW {row}\r\n"));
                        }
                        out.push_str(&format!("COMPLETE {signature}\r\n"));
                    }
                    Err(code) => {
                        session.failed = session.transaction.is_some();
                        out.push_str(&format!("ERROR {code} refused\r\n"));
                    }
                }
                out.push_str(&self.ready(index, &session));
                writer.write_all(out.as_bytes())?;
            } else {
                return Ok(());
            }
        }
    }

    fn ready(&self, index: usize, session: &Session) -> String {
        let (term, number) = self.lock().instances[index].applied();
        let state = match &session.transaction {
            None => 'I',
            Some(_) if session.failed => 'E',
            Some(_) => 'T',
        };
        format!("READY {state} {term}.{number}\r\n")
    }

    fn run(
        &self,
        index: usize,
        session: &mut Session,
        text: &str,
    ) -> Result<(Vec<String>, String), String> {
        let done = |rows| Ok((rows, "-".to_owned()));
        let (mut text, mut needed) = (text, None);
        if let Some(rest) = text.strip_prefix("SYNCPOS ") {
            let (point, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = point.split_once('.').unwrap_or(("0", "0"));
            needed = Some((term.parse().unwrap_or(0), number.parse().unwrap_or(0)));
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if session.failed && word != "ROLLBACK" && word != "COMMIT" {
            return Err("MALFORMED".to_owned());
        }
        if let Some(needed) = needed
            && self.lock().instances[index].applied() < needed
        {
            return Err("LAGGING".to_owned());
        }
        let leads = self.lock().instances[index].leads;
        let is_plain = session.transaction.as_ref().is_some_and(|open| open.leads.is_some());
        if is_plain && session.transaction.as_ref().and_then(|open| open.leads) != leads {
            let wrote = session.transaction.as_ref().is_some_and(|open| !open.writes.is_empty());
            if word != "ROLLBACK" && (word != "COMMIT" || wrote) {
                return Err("READONLY".to_owned());
            }
        }
        match word {
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && leads.is_none() {
                    return Err("READONLY".to_owned());
                }
                let leads = leads.filter(|_| !read_only);
                session.transaction = Some(Transaction { leads, writes: Vec::new() });
                done(Vec::new())
            }
            "COMMIT" | "ROLLBACK" => {
                let open = session.transaction.take();
                let failed = std::mem::take(&mut session.failed);
                let writes = open.map(|open| open.writes).unwrap_or_default();
                if word == "ROLLBACK" {
                    return done(Vec::new());
                }
                if failed {
                    return Err("FAILED".to_owned());
                }
                if !writes.is_empty() {
                    self.commit(index, writes)?;
                }
                Ok((Vec::new(), signature()))
            }
            "READ" => self.read(index, session, rest),
            "WRITE" => self.write(index, session, rest),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match session.prepared.get(name).map(String::as_str) {
                    Some("READ") => self.read(index, session, arguments),
                    Some(_) => self.write(index, session, arguments),
                    None => Err("NOSTMT".to_owned()),
                }
            }
            "PARSE" => {
                let mut words = rest.split(' ');
                let name = words.next().unwrap_or_default().to_owned();
                session.prepared.insert(name, words.next().unwrap_or_default().to_owned());
                done(Vec::new())
            }
            "RESET" => {
                session.prepared.clear();
                done(Vec::new())
            }
            "SET" | "CLOSE" => done(Vec::new()),
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let mut state = self.lock();
                let newest = state.instances[index].term;
                let instance = &mut state.instances[index];
                let term: u64 = rest.parse().unwrap_or(0);
                match word {
                    "PAUSE" if instance.leads.is_none() && newest < term => instance.paused = true,
                    "RESUME" => instance.paused = false,
                    "STEPDOWN" if instance.leads.is_some_and(|leads| leads < term) => {
                        instance.leads = None;
                    }
                    _ => {}
                }
                let role = if instance.leads.is_some() { "primary" } else { "replica" };
                let (term, number) = instance.last();
                let row = format!("{role} {} {term}.{number} 0 0 0 1", instance.term);
                if word != "STATUS" {
                    record(&format!(
                        "{} is told {word} {rest} by {}: {row}",
                        instance.id, session.who
                    ));
                }
                done(vec![row])
            }
            _ => Err("MALFORMED".to_owned()),
        }
    }

    fn read(
        &self,
        index: usize,
        session: &Session,
        item: &str,
    ) -> Result<(Vec<String>, String), String> {
        // An item of this name is a statement that works for long.
        let long = item.strip_prefix("long-").and_then(|millis| millis.parse().ok());
        thread::sleep(long.map_or(WORK_TIME, Duration::from_millis));
        let own = session.transaction.iter().flat_map(|open| open.writes.iter().rev());
        let own = own.clone().find(|(name, _)| name == item).map(|(_, data)| data.clone());
        let state = self.lock();
        let instance = &state.instances[index];
        let applied = &instance.log[..instance.applied_count()];
        let writes = applied.iter().rev().flat_map(|commit| commit.writes.iter().rev());
        let found = writes.clone().find(|(name, _)| name == item).map(|(_, data)| data.clone());
        Ok((vec![own.or(found).unwrap_or_else(|| "none".to_owned())], signature()))
    }

    fn write(
        &self,
        index: usize,
        session: &mut Session,
        arguments: &str,
    ) -> Result<(Vec<String>, String), String> {
        thread::sleep(WORK_TIME);
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (item.to_owned(), data.to_owned());
        if self.lock().instances[index].leads.is_none() {
            return Err("READONLY".to_owned());
        }
        match &mut session.transaction {
            Some(open) => open.writes.push(write),
            None => self.commit(index, vec![write])?,
        }
        Ok((Vec::new(), signature()))
    }

    /// Commits at a primary and waits until one replica has received it.
    fn commit(&self, index: usize, writes: Vec<(String, String)>) -> Result<(), String> {
        let mut state = self.lock();
        let Some(term) = state.instances[index].leads else { return Err("READONLY".to_owned()) };
        let number = state.instances[index].last().1 + 1;
        let received = Instant::now();
        state.instances[index].log.push(Commit { term, number, writes, received });
        let until = received + Duration::from_secs(10);
        loop {
            let is_received = state.instances.iter().enumerate().any(|(other, instance)| {
                let mut log = instance.log.iter().rev();
                other != index && log.any(|known| (known.term, known.number) == (term, number))
            });
            if is_received {
                return Ok(());
            }
            if until < Instant::now() {
                return Err("TIMEOUT".to_owned());
            }
            let wait = Duration::from_millis(5);
            state = self.changed.wait_timeout(state, wait).expect("no thread has failed").0;
        }
    }
}

impl State {
    fn newest_term(&self) -> u64 {
        self.instances.iter().map(|instance| instance.term).max().unwrap_or(0)
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&(one, other)) || self.cut.contains(&(other, one))
    }
}

impl Instance {
    fn last(&self) -> (u64, u64) {
        self.log.last().map_or((0, 0), |commit| (commit.term, commit.number))
    }

    fn applied_count(&self) -> usize {
        if self.leads.is_some() {
            return self.log.len();
        }
        let is_applied = |commit: &&Commit| self.lag <= commit.received.elapsed();
        self.log.iter().take_while(is_applied).count()
    }

    fn applied(&self) -> (u64, u64) {
        let last = self.applied_count().checked_sub(1).map(|last| &self.log[last]);
        last.map_or((0, 0), |commit| (commit.term, commit.number))
    }
}

#[derive(Default)]
struct Session {
    who: String,
    transaction: Option<Transaction>,
    failed: bool,
    prepared: HashMap<String, String>,
}

struct Transaction {
    /// The term that the instance led at the start of a plain transaction.
    leads: Option<u64>,
    writes: Vec<(String, String)>,
}

fn signature() -> String {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;
    static LAST: AtomicU64 = AtomicU64::new(0);
    format!("s.{}", LAST.fetch_add(1, Ordering::Relaxed))
}
