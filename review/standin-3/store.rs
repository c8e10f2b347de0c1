//! The platform's key-value store, and its promotions at the same address.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::group::Group;
use crate::http;
use crate::http::Call;
use crate::json;
use crate::json::Json;

/// The number of items in one page of a range.
const PAGE: usize = 500;

/// `Store` is the store; its calls are carried out one after the other.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    group: Arc<Mutex<Group>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes in the order of their revisions; no value for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    serial: u64,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

impl Store {
    /// Starts a store; returns its address as well.
    pub fn start(group: Arc<Mutex<Group>>) -> (Arc<Self>, SocketAddr) {
        let (state, changed) = (Mutex::default(), Condvar::new());
        let store = Arc::new(Self { state, changed, group });
        let served = store.clone();
        let address = http::serve(move |call| served.answer(call));
        (store, address)
    }

    /// Writes a key, as the operator and the instances do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let route = (call.method.as_str(), call.path.as_str());
        match route {
            ("GET", "/kv-range") => self.range(call),
            ("GET", "/kv-key") => self.key(call),
            ("GET", "/kv-watch") => self.watch(call),
            ("POST", "/promote") => self.promote(call),
            ("POST", "/kv-txn") => self.transaction(&json::parse(&call.body)),
            ("POST", "/kv-lease") => self.grant(&json::parse(&call.body)),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(&path[14..]),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Carries out an order at once and reports the new roles. A lower token than the highest one seen
    /// is refused.
    fn promote(&self, call: &Call) -> (u16, String) {
        let token = call.header("x-fencing-token").parse().unwrap_or(0);
        let order = json::parse(&call.body);
        let entries = {
            let mut group = self.group.lock().unwrap();
            if token < group.token || !group.promote(order.get("Id").text()) {
                return (409, "{}".to_owned());
            }
            group.token = token;
            group.entries()
        };
        entries.iter().for_each(|(key, entry)| self.put(key, entry));
        (200, "{}".to_owned())
    }

    fn range(&self, call: &Call) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let (prefix, after) = (call.parameter("Prefix"), call.parameter("after"));
        let found: Vec<(&String, &Item)> = state
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix) && (after.is_empty() || after < key.as_str())
            })
            .collect();
        let items: Vec<String> = found
            .iter()
            .take(PAGE)
            .map(|(key, item)| format!("{{{}}}", fields(key, item)))
            .collect();
        let more = PAGE < found.len();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"HasMore\":{more},\"AsOf\":{revision}}}"))
    }

    fn key(&self, call: &Call) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let key = call.parameter("Key");
        match state.items.get(key) {
            Some(item) => (200, format!("{{{},\"AsOf\":{}}}", fields(key, item), state.revision)),
            None => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, call: &Call) -> (u16, String) {
        let after: u64 = call.parameter("after").parse().unwrap_or(0);
        let wait: u64 = call.parameter("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let prefix = call.parameter("Prefix");
        let mut state = self.state.lock().unwrap();
        loop {
            state.expire();
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| after < *revision && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => format!("{{{}}}", fields(key, item)),
                    None => {
                        let key = escape(key);
                        format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"AsOf\":{revision}}}"));
            }
            // Leases expire while nothing else changes.
            let step = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, step).unwrap().0;
        }
    }

    fn transaction(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let holds = |row: &Json| {
            let found = state.items.get(row.get("Key").text()).map_or(0, |item| item.revision);
            found == row.get("Revision").number()
        };
        if !body.get("ExpectedRev").list().iter().all(holds) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let lease_of = |put: &Json| put.get("Lease").number();
        let puts = body.get("Puts").list();
        if puts.iter().any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            state.put(put.get("Key").text(), put.get("Value").text(), lease_of(put));
        }
        for key in body.get("Deletes").list() {
            state.delete(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.serial += 1;
        let (lease, ttl) = (state.serial, body.get("TtlMs").number().max(1_000));
        let span = Duration::from_millis(ttl);
        state.leases.insert(lease, (Instant::now() + span, span));
        (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl}}}"))
    }

    fn keep(&self, id: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let lease = id.parse().unwrap_or(0);
        match state.leases.get_mut(&lease) {
            Some((end, span)) => {
                *end = Instant::now() + *span;
                (200, format!("{{\"TtlMs\":{}}}", span.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn end(&self, id: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let lease = id.parse().unwrap_or(0);
        if !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
        state.end_lease(lease);
        self.changed.notify_all();
        (200, "{}".to_owned())
    }
}

fn fields(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let key = escape(key);
    format!(
        "\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{created},\
         \"Lease\":{lease}"
    )
}

/// Returns a key as it stands in a JSON string.
fn escape(key: &str) -> String {
    let mut out = String::new();
    for sign in key.chars() {
        match sign {
            '"' | '\\' => out.extend(['\\', sign]),
            sign if sign < ' ' => out.push_str(&format!("\\u{:04x}", u32::from(sign))),
            sign => out.push(sign),
        }
    }
    out
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3)
            .fold(0, |sum, index| sum << 8 | u32::from(chunk.get(index).copied().unwrap_or(0)));
        for index in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * index) & 63) as usize];
            out.push(if chunk.len() < index { '=' } else { char::from(sign) });
        }
    }
    out
}
