//! A stand-in of the platform's store and of its promotion interface, by PROTOCOL.md.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::group::Group;
use crate::json;
use crate::json::Json;
use crate::record::Record;

/// The longest time between two checks for ended leases.
const TICK: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
    /// The time at which an entry of an instance lapses; `None` for other keys.
    lapses: Option<Instant>,
}

#[derive(Clone)]
struct Lease {
    ends: Instant,
    ttl: Duration,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    era: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    leases: HashMap<u64, Lease>,
    serial: u64,
    down: bool,
    /// The time since which leases and entries do not expire; `None` if they do.
    paused: Option<Instant>,
}

/// A copy of the store, from which it can be restored.
pub struct Copy(State);

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"Key":"{key}","Value":"{}","Revision":{},"Created":{},"Lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64, lapses: Option<Instant>) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease, lapses };
        self.history.push((self.revision, item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#);
            self.history.push((revision, event));
        }
    }

    fn delete_where(&mut self, is_ended: impl Fn(&Item) -> bool) -> Vec<String> {
        let ended = self.items.iter().filter(|(_, item)| is_ended(item));
        let keys: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
        keys
    }
}

impl Store {
    pub fn new(record: Arc<Record>) -> Self {
        Self { state: Mutex::default(), changed: Condvar::new(), record }
    }

    /// Writes as an operator does; fails while the store is down.
    pub fn put(&self, key: &str, value: &str) -> bool {
        self.write(key, value, None)
    }

    /// Writes the entry of an instance, which lapses after `ttl`.
    pub fn report(&self, key: &str, value: &str, ttl: Duration) -> bool {
        self.write(key, value, Some(Instant::now() + ttl))
    }

    /// Deletes as an operator does.
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    /// Takes the store down as `set_down` does, but leases and entries do not expire meanwhile.
    pub fn pause(&self) {
        let mut state = self.state.lock().unwrap();
        (state.down, state.paused) = (true, Some(Instant::now()));
        self.changed.notify_all();
        self.record.line("store: down = true, leases pause");
    }

    /// Ends an outage that `pause` began with a write of the operator, who has waited for it.
    pub fn return_with(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.down = false;
        if let Some(paused) = state.paused.take() {
            let away = paused.elapsed();
            state.leases.values_mut().for_each(|lease| lease.ends += away);
            let entries = state.items.values_mut().filter_map(|item| item.lapses.as_mut());
            entries.for_each(|lapses| *lapses += away);
        }
        state.put(key, json::to_base64(value.as_bytes()), 0, None);
        self.changed.notify_all();
        self.record.line(&format!("store: down = false, operator: writes {key}"));
    }

    fn write(&self, key: &str, value: &str, lapses: Option<Instant>) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return false;
        }
        state.put(key, json::to_base64(value.as_bytes()), 0, lapses);
        self.changed.notify_all();
        true
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    /// While the store is down, each call is answered with 503 and not executed. Leases and the
    /// entries of instances expire meanwhile.
    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        self.changed.notify_all();
        self.record.line(&format!("store: down = {down}"));
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().clone())
    }

    /// Brings the content of a copy back, in a new era. Leases that the copy has run on.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        let era = state.era + 1;
        *state = State { era, down: false, ..copy.0 };
        let now = Instant::now();
        for lease in state.leases.values_mut() {
            lease.ends = now + lease.ttl;
        }
        for item in state.items.values_mut().filter(|item| item.lapses.is_some()) {
            item.lapses = Some(now + Duration::from_millis(3_600));
        }
        self.changed.notify_all();
        self.record
            .line(&format!("store: back from a copy, era {era}, revision {}", state.revision));
    }

    /// Ends leases and the entries of instances in time, until the process ends.
    pub fn run(&self) {
        loop {
            thread::sleep(TICK);
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            if state.paused.is_some() {
                continue;
            }
            state.leases.retain(|_, lease| now < lease.ends);
            let leases: Vec<u64> = state.leases.keys().copied().collect();
            let is_ended = |item: &Item| {
                (item.lease != 0 && !leases.contains(&item.lease))
                    || item.lapses.is_some_and(|at| at <= now)
            };
            let ended = state.delete_where(is_ended);
            if !ended.is_empty() {
                self.record.line(&format!("store: ended {}", ended.join(" ")));
                self.changed.notify_all();
            }
        }
    }

    pub fn serve(self: &Arc<Self>, group: Arc<Group>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, group) = (store.clone(), group.clone());
                thread::spawn(move || store.serve_connection(stream, &group));
            }
        });
        address
    }

    fn serve_connection(&self, stream: TcpStream, group: &Arc<Group>) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let target = line.split(' ').nth(1)?.to_owned();
            let (mut length, mut token) = (0, 0_u64);
            let mut holder = String::new();
            loop {
                let mut header = String::new();
                reader.read_line(&mut header).ok()?;
                let header = header.trim();
                if header.is_empty() {
                    break;
                }
                let (name, value) = header.split_once(':')?;
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().ok()?,
                    "x-fencing-token" => token = value.trim().parse().ok()?,
                    "x-lease-holder" => holder = value.trim().to_owned(),
                    _ => {}
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).ok()?;
            let body = json::parse(&String::from_utf8_lossy(&body));
            let (status, answer) = if target == "/promote" {
                let status = group.promote(body.get("Id").text(), &holder, token);
                (status, "{}".to_owned())
            } else {
                self.answer(&target, &body)
            };
            let era = self.state.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all((head + &answer).as_bytes()).ok()?;
        }
    }

    fn answer(&self, target: &str, body: &Json) -> (u16, String) {
        let none = || "{}".to_owned();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        if state.down {
            return (503, none());
        }
        let now = Instant::now();
        match path {
            "/kv-key" => match state.items.get(&text("Key")) {
                Some(item) => {
                    let found = item.json(&text("Key"));
                    let found = found.trim_end_matches('}');
                    (200, format!(r#"{found},"AsOf":{}}}"#, state.revision))
                }
                None => (404, none()),
            },
            "/kv-range" => {
                let (prefix, after) = (text("Prefix"), text("after"));
                let found = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || after.as_str() < key.as_str())
                });
                let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
                let revision = state.revision;
                let items = items.join(",");
                (200, format!(r#"{{"items":[{items}],"HasMore":false,"AsOf":{revision}}}"#))
            }
            "/kv-watch" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait: u64 = text("WaitMs").parse().unwrap_or(0);
                let (end, era) = (now + Duration::from_millis(wait), state.era);
                loop {
                    if state.down {
                        return (503, none());
                    }
                    if state.era != era || state.revision < after {
                        return (410, none());
                    }
                    let events = state.history.iter().filter(|(revision, _)| after < *revision);
                    let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || end <= now {
                        let (events, revision) = (events.join(","), state.revision);
                        return (200, format!(r#"{{"events":[{events}],"AsOf":{revision}}}"#));
                    }
                    state = self.changed.wait_timeout(state, end - now).unwrap().0;
                }
            }
            "/kv-txn" => {
                for expected in body.get("ExpectedRev").list() {
                    let found = state.items.get(expected.get("Key").text());
                    if found.map_or(0, |item| item.revision) != expected.get("Revision").number() {
                        return (412, r#"{"items":[]}"#.to_owned());
                    }
                }
                let puts = body.get("Puts").list();
                let lease_of = |put: &Json| put.get("Lease").number();
                let is_gone =
                    |put: &Json| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put));
                if puts.iter().any(is_gone) {
                    return (404, none());
                }
                for put in puts {
                    let (key, value) = (put.get("Key").text(), put.get("Value").text());
                    state.put(key, value.to_owned(), lease_of(put), None);
                }
                for key in body.get("Deletes").list() {
                    state.delete(key.text());
                }
                self.changed.notify_all();
                (200, format!(r#"{{"Revision":{}}}"#, state.revision))
            }
            "/kv-lease" => {
                let ttl = Duration::from_millis(body.get("TtlMs").number().max(1_000));
                state.serial += 1;
                let lease = state.serial;
                state.leases.insert(lease, Lease { ends: now + ttl, ttl });
                (200, format!(r#"{{"Lease":{lease},"TtlMs":{}}}"#, ttl.as_millis()))
            }
            _ => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let id: u64 = id.parse().unwrap_or(0);
                if call == "/kv-lease-end" {
                    state.leases.remove(&id);
                    return (200, none());
                }
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = now + lease.ttl;
                        (200, format!(r#"{{"TtlMs":{}}}"#, lease.ttl.as_millis()))
                    }
                    None => (404, none()),
                }
            }
        }
    }
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let code = std::str::from_utf8(&digits).ok();
        out.push(code.and_then(|code| u8::from_str_radix(code, 16).ok()).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}
