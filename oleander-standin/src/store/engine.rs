//! The store's keys, revisions and leases, without sockets.

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

/// `Unknown` says that a lease does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownLease;

/// `Calls` counts what the store was asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Calls {
    /// The range requests.
    pub reads: u64,
    /// The put, delete and txn requests.
    pub writes: u64,
    /// The lease requests.
    pub leases: u64,
    /// The watches opened.
    pub watches: u64,
    /// The watches open now.
    pub open_watches: u64,
}

/// `Engine` is the state of the store.
#[derive(Debug)]
pub struct Engine {
    /// What has been counted.
    pub calls: Calls,
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
    /// Makes an empty store at revision 1.
    pub fn new() -> Self {
        Self {
            calls: Calls::default(),
            revision: 1,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// Gets the header of a response.
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
        let found = self.select(&request.key, &request.range_end);
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

    /// Sets a key in a revision of its own.
    ///
    /// # Errors
    /// Fails if the lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Result<PutResponse, UnknownLease> {
        self.check_lease(request.lease.0)?;
        self.revision += 1;
        Ok(self.put_now(request))
    }

    /// Deletes keys in a revision of their own.
    pub fn delete(&mut self, request: &DeleteRequest) -> DeleteResponse {
        if self.select(&request.key, &request.range_end).is_empty() {
            return DeleteResponse { header: Some(self.header()), ..DeleteResponse::default() };
        }
        self.revision += 1;
        self.delete_now(request)
    }

    /// Runs operations in one revision, if the conditions hold.
    ///
    /// # Errors
    /// Fails if a lease does not exist; then nothing has changed.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, UnknownLease> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { &request.success } else { &request.failure };
        for operation in operations {
            if let Operation::RequestPut(put) = operation {
                self.check_lease(put.lease.0)?;
            }
        }
        if operations.iter().any(|operation| self.changes(operation)) {
            self.revision += 1;
        }
        let responses = operations.iter().map(|operation| self.operate(operation)).collect();
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Makes a lease.
    pub fn grant(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        let mut id = request.id.0;
        if id == 0 {
            id = self.next_lease;
            self.next_lease += 1;
        }
        let ttl = request.ttl.0.max(1);
        self.leases.insert(id, Lease { ttl, expires: now + seconds(ttl) });
        LeaseResponse { header: self.header(), id: Int64(id), ttl: Int64(ttl) }
    }

    /// Keeps a lease alive; the answer has no time to live if it does not exist.
    pub fn keep_alive(&mut self, request: &LeaseRequest, now: Instant) -> LeaseResponse {
        let header = self.header();
        let Some(lease) = self.leases.get_mut(&request.id.0) else {
            return LeaseResponse { header, id: request.id, ttl: Int64(0) };
        };
        lease.expires = now + seconds(lease.ttl);
        LeaseResponse { header, id: request.id, ttl: Int64(lease.ttl) }
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// Fails if the lease does not exist.
    pub fn revoke(&mut self, request: &LeaseRequest) -> Result<LeaseResponse, UnknownLease> {
        self.leases.remove(&request.id.0).ok_or(UnknownLease)?;
        self.drop_keys_of(request.id.0);
        Ok(LeaseResponse { header: self.header(), id: request.id, ttl: Int64(0) })
    }

    /// Ends the leases that have expired. Returns `true` if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.leases.remove(id);
            self.drop_keys_of(*id);
        }
        !expired.is_empty()
    }

    /// Gets the changes in a range with revisions from `first` on.
    pub fn events_since(&self, first: i64, key: &Bytes64, end: &Bytes64) -> Vec<Event> {
        // Revisions grow along the history.
        let from = self.history.partition_point(|event| event.kv.mod_revision.0 < first);
        let events = self.history[from..].iter();
        events.filter(|event| in_range(&event.kv.key, key, end)).cloned().collect()
    }

    /// Gets the revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    fn select(&self, key: &Bytes64, end: &Bytes64) -> Vec<&KeyValue> {
        let from = self.keys.range(key.clone()..);
        from.map(|(_, kv)| kv).take_while(|kv| in_range(&kv.key, key, end)).collect()
    }

    fn check_lease(&self, lease: i64) -> Result<(), UnknownLease> {
        if lease == 0 || self.leases.contains_key(&lease) {
            return Ok(());
        }
        Err(UnknownLease)
    }

    fn changes(&self, operation: &Operation) -> bool {
        match operation {
            Operation::RequestRange(_) => false,
            Operation::RequestPut(_) => true,
            Operation::RequestDeleteRange(request) => {
                !self.select(&request.key, &request.range_end).is_empty()
            }
        }
    }

    fn operate(&mut self, operation: &Operation) -> OperationResponse {
        match operation {
            Operation::RequestRange(request) => {
                OperationResponse::ResponseRange(self.range(request))
            }
            Operation::RequestPut(request) => OperationResponse::ResponsePut(self.put_now(request)),
            Operation::RequestDeleteRange(request) => {
                OperationResponse::ResponseDeleteRange(self.delete_now(request))
            }
        }
    }

    fn put_now(&mut self, request: &PutRequest) -> PutResponse {
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

    fn delete_now(&mut self, request: &DeleteRequest) -> DeleteResponse {
        let found = self.select(&request.key, &request.range_end);
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

    fn drop_keys_of(&mut self, lease: i64) {
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

    fn holds(&self, compare: &Compare) -> bool {
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

/// Returns `true` if `key` lies in the range; an end of one zero byte has no bound.
fn in_range(key: &Bytes64, first: &Bytes64, end: &Bytes64) -> bool {
    if end.0.is_empty() {
        return key == first;
    }
    first <= key && (end.0 == [0] || key < end)
}
