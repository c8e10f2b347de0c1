//! The store's keys, revisions and leases, independent of the network.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::store::json::Bytes64;
use crate::store::json::Compare;
use crate::store::json::Comparison;
use crate::store::json::DeleteRequest;
use crate::store::json::DeleteResponse;
use crate::store::json::Event;
use crate::store::json::Header;
use crate::store::json::Int64;
use crate::store::json::KeyValue;
use crate::store::json::LeaseRequest;
use crate::store::json::LeaseResponse;
use crate::store::json::Operation;
use crate::store::json::OperationResponse;
use crate::store::json::PutRequest;
use crate::store::json::PutResponse;
use crate::store::json::RangeRequest;
use crate::store::json::RangeResponse;
use crate::store::json::Target;
use crate::store::json::TxnRequest;
use crate::store::json::TxnResponse;

/// `UnknownLease` is the error of a request that names a lease that does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownLease;

/// `Calls` counts the requests that the store has received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// Range requests.
    pub reads: u64,
    /// Put, delete and transaction requests.
    pub writes: u64,
    /// Lease requests.
    pub leases: u64,
    /// Watches opened so far.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: u64,
}

/// `Engine` is the state of the store. It keeps every change, so watches can start at any revision.
#[derive(Debug)]
pub struct Engine {
    /// The request counters, which the caller of the engine updates.
    pub calls: Calls,
    /// The longest TTL that applies to a lease, in seconds, from its next grant or renewal on; `None`
    /// for the one that is requested.
    pub longest_ttl: Option<i64>,
    revision: i64,
    keys: BTreeMap<Bytes64, KeyValue>,
    history: Vec<Event>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: i64,
    expires: Instant,
}

impl Engine {
    /// Returns an empty store at revision 1.
    pub fn new() -> Self {
        Self {
            calls: Calls::default(),
            longest_ttl: None,
            revision: 1,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// Returns the header of a response at the current revision.
    pub fn header(&self) -> Header {
        Header {
            cluster_id: Int64(1),
            member_id: Int64(1),
            revision: Int64(self.revision),
            raft_term: Int64(1),
        }
    }

    /// Answers a range request.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let found = self.pairs_in_range(&request.key, &request.range_end);
        let limit = if request.limit.0 <= 0 { found.len() } else { request.limit.0 as usize };
        let mut kvs: Vec<KeyValue> = Vec::new();
        if !request.count_only {
            kvs = found.iter().take(limit).map(|kv| (*kv).clone()).collect();
        }
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value = Bytes64::default());
        }
        RangeResponse {
            header: Some(self.header()),
            more: !request.count_only && limit < found.len(),
            count: Int64(found.len() as i64),
            kvs,
        }
    }

    /// Writes a key in a new revision.
    ///
    /// # Errors
    /// Returns `UnknownLease` if the lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse, UnknownLease> {
        self.check_lease(request.lease.0)?;
        self.revision += 1;
        Ok(self.apply_put(request))
    }

    /// Deletes the keys in a range in a new revision; if there are none, the revision stays.
    pub fn delete(&mut self, request: &DeleteRequest) -> DeleteResponse {
        if self.pairs_in_range(&request.key, &request.range_end).is_empty() {
            return DeleteResponse { header: Some(self.header()), ..DeleteResponse::default() };
        }
        self.revision += 1;
        self.apply_delete(request)
    }

    /// Evaluates the conditions and runs the operations for the result. All their changes have the
    /// same new revision.
    ///
    /// # Errors
    /// Returns `UnknownLease`, without any change, if a lease does not exist.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, UnknownLease> {
        let succeeded = request.compare.iter().all(|compare| self.evaluate(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        for operation in operations {
            if let Operation::RequestPut(put) = operation {
                self.check_lease(put.lease.0)?;
            }
        }
        if operations.iter().any(|operation| self.modifies(operation)) {
            self.revision += 1;
        }
        let responses = operations.iter().map(|operation| self.apply(operation)).collect();
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Grants a lease of at least one second.
    pub fn grant(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        let mut id = request.id.0;
        if id == 0 {
            id = self.next_lease;
            self.next_lease += 1;
        }
        let ttl = request.ttl.0.max(1).min(self.longest_ttl.unwrap_or(i64::MAX));
        self.leases.insert(id, Lease { ttl, expires: now + seconds(ttl) });
        LeaseResponse { header: self.header(), id: Int64(id), ttl: Int64(ttl) }
    }

    /// Renews a lease; the time to live in the response is 0 if it does not exist.
    pub fn keep_alive(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        let header = self.header();
        let Some(lease) = self.leases.get_mut(&request.id.0) else {
            return LeaseResponse { header, id: request.id, ttl: Int64(0) };
        };
        lease.ttl = lease.ttl.min(self.longest_ttl.unwrap_or(i64::MAX));
        lease.expires = now + seconds(lease.ttl);
        LeaseResponse { header, id: request.id, ttl: Int64(lease.ttl) }
    }

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    /// Returns `UnknownLease` if the lease does not exist.
    pub fn revoke(&mut self, request: &LeaseRequest) -> Result<LeaseResponse, UnknownLease> {
        self.leases.remove(&request.id.0).ok_or(UnknownLease)?;
        self.delete_leased_keys(request.id.0);
        Ok(LeaseResponse { header: self.header(), id: request.id, ttl: Int64(0) })
    }

    /// Removes the expired leases and their keys. Returns `true` if there were any.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.leases.remove(id);
            self.delete_leased_keys(*id);
        }
        !expired.is_empty()
    }

    /// Returns the changes of the keys in a range from the revision `first` on, oldest first.
    pub fn events_since(&self, first: i64, key: &Bytes64, end: &Bytes64) -> Vec<Event> {
        // The history is sorted by revision.
        let from = self.history.partition_point(|event| event.kv.mod_revision.0 < first);
        let events = self.history[from..].iter();
        events.filter(|event| in_range(&event.kv.key, key, end)).cloned().collect()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    fn pairs_in_range(&self, key: &Bytes64, end: &Bytes64) -> Vec<&KeyValue> {
        let from = self.keys.range(key.clone()..);
        from.map(|(_, kv)| kv).take_while(|kv| in_range(&kv.key, key, end)).collect()
    }

    fn check_lease(&self, lease: i64) -> Result<(), UnknownLease> {
        if lease == 0 || self.leases.contains_key(&lease) {
            return Ok(());
        }
        Err(UnknownLease)
    }

    /// Returns `true` if the operation would change any key.
    fn modifies(&self, operation: &Operation) -> bool {
        match operation {
            Operation::RequestRange(_) => false,
            Operation::RequestPut(_) => true,
            Operation::RequestDeleteRange(request) => {
                !self.pairs_in_range(&request.key, &request.range_end).is_empty()
            }
        }
    }

    fn apply(&mut self, operation: &Operation) -> OperationResponse {
        match operation {
            Operation::RequestRange(request) => {
                OperationResponse::ResponseRange(self.range(request))
            }
            Operation::RequestPut(request) => {
                OperationResponse::ResponsePut(self.apply_put(request))
            }
            Operation::RequestDeleteRange(request) => {
                OperationResponse::ResponseDeleteRange(self.apply_delete(request))
            }
        }
    }

    /// Writes a key at the current revision.
    fn apply_put(&mut self, request: &PutRequest) -> PutResponse {
        let before = self.keys.get(&request.key).cloned();
        let revision = Int64(self.revision);
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: before.as_ref().map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: Int64(before.as_ref().map_or(1, |kv| kv.version.0 + 1)),
            value: request.value.clone(),
            lease: request.lease,
        };
        self.history.push(Event { kind: None, kv: kv.clone() });
        self.keys.insert(request.key.clone(), kv);
        PutResponse { header: Some(self.header()), prev_kv: before.filter(|_| request.prev_kv) }
    }

    /// Deletes the keys in a range at the current revision.
    fn apply_delete(&mut self, request: &DeleteRequest) -> DeleteResponse {
        let found = self.pairs_in_range(&request.key, &request.range_end);
        let found: Vec<KeyValue> = found.into_iter().cloned().collect();
        for kv in &found {
            self.remove(&kv.key);
        }
        DeleteResponse {
            header: Some(self.header()),
            deleted: Int64(found.len() as i64),
            prev_kvs: if request.prev_kv { found } else { Vec::new() },
        }
    }

    /// Deletes the keys of a lease in a new revision, if there are any.
    fn delete_leased_keys(&mut self, lease: i64) {
        let attached = self.keys.values().filter(|kv| kv.lease.0 == lease);
        let keys: Vec<Bytes64> = attached.map(|kv| kv.key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in &keys {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &Bytes64) {
        self.keys.remove(key);
        let kv = KeyValue {
            key: key.clone(),
            mod_revision: Int64(self.revision),
            ..KeyValue::default()
        };
        self.history.push(Event { kind: Some("DELETE"), kv });
    }

    /// Returns `true` if the condition holds. The attributes of an absent key count as 0, but a
    /// condition on its value never holds.
    fn evaluate(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let kv = self.keys.get(&compare.key);
        if kv.is_none() && matches!(compare.target, Target::Value) {
            return false;
        }
        let kv = kv.unwrap_or(&absent);
        let order = match compare.target {
            Target::Version => kv.version.cmp(&compare.version),
            Target::Create => kv.create_revision.cmp(&compare.create_revision),
            Target::Mod => kv.mod_revision.cmp(&compare.mod_revision),
            Target::Value => kv.value.cmp(&compare.value),
            Target::Lease => kv.lease.cmp(&compare.lease),
        };
        match compare.result {
            Comparison::Equal => order.is_eq(),
            Comparison::NotEqual => order.is_ne(),
            Comparison::Greater => order.is_gt(),
            Comparison::Less => order.is_lt(),
        }
    }
}

impl Default for Engine {
    fn default() -> Self {
        Self::new()
    }
}

fn seconds(count: i64) -> Duration {
    Duration::from_secs(count.unsigned_abs())
}

/// Returns `true` if `key` is in the range from `first` to before `end`. An empty `end` selects
/// `first` alone, and one zero byte means no upper bound.
fn in_range(key: &Bytes64, first: &Bytes64, end: &Bytes64) -> bool {
    if end.0.is_empty() {
        return key == first;
    }
    first <= key && (end.0 == [0] || key < end)
}
