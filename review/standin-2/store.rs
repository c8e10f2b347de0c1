//! The platform's key-value store. Each VM calls it at an address of its own, so that one VM can be
//! cut off, and so that it sees the addresses by which its links to others are interposed.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json;
use crate::json::Json;
use crate::record;

/// The store keeps its history for this long.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    at: Instant,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// The revision up to which the history is gone.
    compacted: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// The longest lease that the store grants, in milliseconds; 0 if it grants what is asked.
    max_ttl: u64,
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    /// The copy from which the store may come back.
    copy: Option<(u64, BTreeMap<String, Item>)>,
    /// `true` while the store is away.
    away: bool,
}

/// `Store` is the store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

/// `Reader` is what the store knows of one VM that calls it.
#[derive(Clone, Default)]
pub struct Reader {
    /// `true` while the VM is partitioned from the store.
    pub cut: Arc<AtomicBool>,
    /// The addresses in entries that are replaced for this VM.
    pub links: Arc<Mutex<HashMap<String, String>>>,
    /// The speed of the VM's link in Mbit/s; 0 sets no limit.
    pub mbps: f64,
}

impl Store {
    /// Creates an empty store that ends leases on time.
    pub fn start(max_ttl: u64) -> Self {
        let store = Self::default();
        store.lock().max_ttl = max_ttl;
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ending.end_leases();
            }
        });
        store
    }

    /// Serves one VM at an address of its own.
    pub fn serve(&self, reader: Reader) -> SocketAddr {
        let store = self.clone();
        http::serve(reader.mbps, move |request| {
            if reader.cut.load(Ordering::SeqCst) {
                return Answer::Silence;
            }
            let answer = store.handle(request, &reader);
            if reader.cut.load(Ordering::SeqCst) {
                return Answer::Silence;
            }
            let state = store.lock();
            match answer {
                _ if state.away => Answer::Silence,
                Answer::Reply(status, body) => Answer::Stored(status, body, state.era),
                other => other,
            }
        })
    }

    /// Writes a key as the operator or an instance does. Returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.lock();
        let revision = state.write(vec![(key.to_owned(), Some((value.to_vec(), 0)))]);
        self.changed.notify_all();
        revision
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.write(vec![(key.to_owned(), None)]);
            self.changed.notify_all();
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let item = self.lock().items.get(key).cloned()?;
        String::from_utf8(item.value).ok()
    }

    /// Makes the copy from which `restore` comes back.
    pub fn copy(&self) {
        let mut state = self.lock();
        state.copy = Some((state.revision, state.items.clone()));
        record("store: the copy is made");
    }

    /// Takes the store away for a moment and brings it back from the copy, without leases.
    pub fn restore(&self, away: Duration) {
        self.lock().away = true;
        record("store: away");
        thread::sleep(away);
        let mut state = self.lock();
        if let Some((revision, items)) = state.copy.take() {
            state.revision = revision;
            state.items = items;
            state.items.retain(|_, item| item.lease == 0);
            state.history.clear();
            state.compacted = revision;
            state.leases.clear();
            state.era += 1;
            record(&format!("store: back from the copy, in era {}", state.era));
        }
        state.away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread has failed")
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.leases.remove(&lease);
            self.drop_keys(&mut state, lease);
        }
        let old = state.history.iter().take_while(|event| HISTORY <= now - event.at).count();
        if 0 < old {
            state.compacted = state.history[old - 1].revision;
            state.history.drain(..old);
        }
    }

    fn drop_keys(&self, state: &mut State, lease: u64) {
        let keys = state.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| (key.clone(), None)).collect();
        if !keys.is_empty() {
            for (key, _) in &keys {
                record(&format!("store: the lease of {key} has ended"));
            }
            state.write(keys);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request, reader: &Reader) -> Answer {
        let links = reader.links.lock().expect("no thread has failed").clone();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let state = self.lock();
                let key = request.query("Key");
                match state.items.get(key) {
                    Some(item) => {
                        let fields = item_fields(key, item, &links);
                        let body = format!("{{{fields},\"AsOf\":{}}}", state.revision);
                        Answer::Reply(200, body)
                    }
                    None => Answer::Reply(404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (request.query("Prefix"), request.query("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
                let (mut rows, mut size, mut more) = (Vec::new(), 0, false);
                for (key, item) in found.filter(|(key, _)| after < key.as_str()) {
                    if 500 <= rows.len() || (0 < size && 1_000_000 < size + item.value.len()) {
                        more = true;
                        break;
                    }
                    size += item.value.len();
                    rows.push(format!("{{{}}}", item_fields(key, item, &links)));
                }
                let rows = rows.join(",");
                let as_of = state.revision;
                let body = format!("{{\"items\":[{rows}],\"HasMore\":{more},\"AsOf\":{as_of}}}");
                Answer::Reply(200, body)
            }
            ("GET", "/kv-watch") => self.watch(request, reader, &links),
            ("POST", "/kv-lease") => {
                let asked = Json::parse(&request.body);
                let asked = asked.as_ref().and_then(|body| body.get("TtlMs")?.number());
                let mut state = self.lock();
                let ttl = asked.unwrap_or(1000).clamp(1000, 600_000);
                let ttl = if state.max_ttl == 0 { ttl } else { ttl.min(state.max_ttl) };
                state.last_lease += 1;
                let lease = state.last_lease;
                let length = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + length, length));
                record(&format!(
                    "store grants lease {lease}: asked {asked:?} ms, applies {ttl} ms"
                ));
                Answer::Reply(200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
            }
            ("POST", "/kv-txn") => self.commit(request),
            (method, path) => {
                let renewed = path.strip_prefix("/kv-keep/").filter(|_| method == "POST");
                let ended = path.strip_prefix("/kv-lease-end/").filter(|_| method == "DELETE");
                let mut state = self.lock();
                if let Some(lease) = renewed.and_then(|lease| lease.parse::<u64>().ok()) {
                    let Some((until, length)) = state.leases.get_mut(&lease) else {
                        return Answer::Reply(404, "{}".to_owned());
                    };
                    *until = Instant::now() + *length;
                    let ttl = length.as_millis();
                    return Answer::Reply(200, format!("{{\"TtlMs\":{ttl}}}"));
                }
                if let Some(lease) = ended.and_then(|lease| lease.parse::<u64>().ok()) {
                    if state.leases.remove(&lease).is_none() {
                        return Answer::Reply(404, "{}".to_owned());
                    }
                    self.drop_keys(&mut state, lease);
                    return Answer::Reply(200, "{}".to_owned());
                }
                Answer::Reply(400, "{}".to_owned())
            }
        }
    }

    fn watch(&self, request: &Request, reader: &Reader, links: &HashMap<String, String>) -> Answer {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let prefix = request.query("Prefix");
        let mut state = self.lock();
        loop {
            if after < state.compacted || state.revision < after {
                return Answer::Reply(410, "{}".to_owned());
            }
            let found = state.history.iter().filter(|event| after < event.revision);
            let rows: Vec<String> = found
                .filter(|event| event.key.starts_with(prefix))
                .map(|event| match &event.item {
                    Some(item) => format!("{{{}}}", item_fields(&event.key, item, links)),
                    None => format!(
                        "{{\"Key\":\"{}\",\"Revision\":{},\"Deleted\":true}}",
                        event.key, event.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !rows.is_empty() || until <= now || reader.cut.load(Ordering::SeqCst) {
                let body =
                    format!("{{\"events\":[{}],\"AsOf\":{}}}", rows.join(","), state.revision);
                return Answer::Reply(200, body);
            }
            let left = (until - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, left).expect("no thread has failed").0;
        }
    }

    fn commit(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".to_owned());
        };
        let mut state = self.lock();
        let key_of =
            |row: &Json| row.get("Key").and_then(Json::text).unwrap_or_default().to_owned();
        for row in body.get("ExpectedRev").map_or(&[][..], Json::list) {
            let found = state.items.get(&key_of(row)).map_or(0, |item| item.revision);
            if row.get("Revision").and_then(Json::number) != Some(found) {
                return Answer::Reply(412, "{\"items\":[]}".to_owned());
            }
        }
        let mut writes = Vec::new();
        for row in body.get("Puts").map_or(&[][..], Json::list) {
            let lease = row.get("Lease").and_then(Json::number).unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return Answer::Reply(404, "{}".to_owned());
            }
            let value = row.get("Value").and_then(Json::text).and_then(json::decode);
            writes.push((key_of(row), Some((value.unwrap_or_default(), lease))));
        }
        for row in body.get("Deletes").map_or(&[][..], Json::list) {
            writes.push((row.text().unwrap_or_default().to_owned(), None));
        }
        for (key, value) in &writes {
            if let Some((value, _)) = value
                && key.starts_with("oleander/keeper/")
            {
                let text = String::from_utf8_lossy(value);
                let text = text.split(",\"members\"").next().unwrap_or_default().to_owned();
                record(&format!("store: {key} = {text}"));
            }
        }
        let revision = state.write(writes);
        self.changed.notify_all();
        Answer::Reply(200, format!("{{\"Revision\":{revision}}}"))
    }
}

impl State {
    fn write(&mut self, writes: Vec<(String, Option<(Vec<u8>, u64)>)>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value) in writes {
            let created = self.items.get(&key).map_or(revision, |item| item.created);
            let item = value.map(|(value, lease)| Item { value, revision, created, lease });
            match &item {
                Some(item) => drop(self.items.insert(key.clone(), item.clone())),
                None => drop(self.items.remove(&key)),
            }
            self.history.push(Event { revision, at: Instant::now(), key, item });
        }
        revision
    }
}

fn item_fields(key: &str, item: &Item, links: &HashMap<String, String>) -> String {
    let is_linked = key.starts_with("servers/") || key.starts_with("oleander/vm/");
    let value = match std::str::from_utf8(&item.value) {
        Ok(text) if is_linked => {
            let mut text = text.to_owned();
            for (real, link) in links {
                text = text.replace(&format!("\"{real}\""), &format!("\"{link}\""));
            }
            json::encode(text.as_bytes())
        }
        _ => json::encode(&item.value),
    };
    let Item { revision, created, lease, .. } = item;
    format!(
        "\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{created},\"Lease\":{lease}"
    )
}
