//! The client of the platform's key-value store.

use oleander_core::time::Span;
pub use oleander_ports::store::Commit;
pub use oleander_ports::store::CommitOutcome;
pub use oleander_ports::store::Entry;
pub use oleander_ports::store::Expectation;
pub use oleander_ports::store::LeaseGrant;
pub use oleander_ports::store::LeaseId;
pub use oleander_ports::store::ReadResponse;
pub use oleander_ports::store::StoreRevision;
pub use oleander_ports::store::Write;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Result;
use crate::errors::decode_error;
use crate::errors::size_error;
use crate::http::HttpClient;
use crate::json::Base64Bytes;
use crate::json::Compare;
use crate::json::Int64;
use crate::json::KeyValue;
use crate::json::LeaseRequest;
use crate::json::LeaseResponse;
use crate::json::Operation;
use crate::json::PutRequest;
use crate::json::RangeRequest;
use crate::json::RangeResponse;
use crate::json::Streamed;
use crate::json::TxnRequest;
use crate::json::TxnResponse;

/// The maximum length of a value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// `StoreOptions` holds the endpoints and timeouts of a store client.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The base URLs of equivalent endpoints; the next one is used after a failure.
    pub endpoints: Vec<String>,
    /// The timeout of opening a connection.
    pub connect: Span,
    /// The timeout of a call, and of opening a watch.
    pub deadline: Span,
    /// The time without any data after which a watch fails as silent.
    pub silence: Span,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            connect: Span::from_millis(500),
            deadline: Span::from_secs(1),
            silence: Span::from_secs(30),
        }
    }
}

/// `Store` is a client of the store. Every call is bounded by `StoreOptions::deadline`.
#[derive(Debug)]
pub struct Store {
    pub(crate) http: HttpClient,
    pub(crate) options: StoreOptions,
}

impl Store {
    /// Creates a client. Connections are opened on demand.
    pub fn new(options: StoreOptions) -> Self {
        Self { http: HttpClient::new(options.endpoints.clone(), options.connect), options }
    }

    /// Reads one key; the result has no entry if the key does not exist.
    pub async fn read(&self, key: &str) -> Result<ReadResponse> {
        let range = RangeRequest { key: bytes(key), ..RangeRequest::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &range).await?;
        to_read_response(response.header.revision, response.kvs)
    }

    /// Compares the revisions of the keys in `known` with the stored ones, in one call. Returns
    /// `None` if all are unchanged.
    ///
    /// Otherwise returns an entry for each of the keys that exists, with its revision and an empty
    /// value.
    pub async fn compare_revisions(&self, known: &[Expectation]) -> Result<Option<ReadResponse>> {
        let range = |known: &Expectation| RangeRequest {
            key: bytes(&known.key),
            keys_only: true,
            ..RangeRequest::default()
        };
        let failure = known.iter().map(range).map(Operation::Range).collect();
        let compare = known.iter().map(compare).collect();
        let txn = TxnRequest { compare, success: Vec::new(), failure };
        let response: TxnResponse = self.call("/v3/kv/txn", &txn).await?;
        if response.succeeded {
            return Ok(None);
        }
        let found =
            response.responses.into_iter().flat_map(|operation| operation.response_range.kvs);
        to_read_response(response.header.revision, found.collect()).map(Some)
    }

    /// Reads all keys that start with `prefix`, ordered by key.
    pub async fn list(&self, prefix: &str) -> Result<ReadResponse> {
        let range = RangeRequest {
            key: bytes(prefix),
            range_end: Some(prefix_end(prefix)),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.call("/v3/kv/range", &range).await?;
        to_read_response(response.header.revision, response.kvs)
    }

    /// Attempts a commit. After an error, `Error::verdict` states whether it may have taken effect.
    pub async fn commit(&self, commit: Commit) -> Result<CommitOutcome> {
        let compare = commit.expected.iter().map(compare).collect();
        let success = commit.writes.into_iter().map(operation).collect::<Result<_>>()?;
        let response: TxnResponse = self
            .call("/v3/kv/txn", &TxnRequest { compare, success, ..TxnRequest::default() })
            .await?;
        if !response.succeeded {
            return Ok(CommitOutcome::Conflict);
        }
        Ok(CommitOutcome::Committed(revision(response.header.revision)))
    }

    /// Requests a lease of the given duration, rounded up to whole seconds, at least one. The store may
    /// apply another TTL, which the grant tells; it counts from the arrival of the call at the store.
    pub async fn grant_lease(&self, duration: Span) -> Result<LeaseGrant> {
        let seconds = duration.as_millis().div_ceil(1_000).max(1);
        let ttl = Some(Int64(i64::try_from(seconds).unwrap_or(i64::MAX)));
        let request = LeaseRequest { id: Int64(0), ttl };
        let response: LeaseResponse = self.call("/v3/lease/grant", &request).await?;
        let lease = LeaseId { number: response.id.0, era: 0 };
        Ok(LeaseGrant { lease, ttl: response.time_to_live() })
    }

    /// Renews a lease. Returns the TTL that applies from the arrival of the call at the store; `None`
    /// if the lease has already expired.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<Option<Span>> {
        let request = LeaseRequest { id: Int64(lease.number), ttl: None };
        let response: Streamed<LeaseResponse> = self.call("/v3/lease/keepalive", &request).await?;
        Ok(Some(response.result.time_to_live()).filter(|ttl| *ttl != Span::ZERO))
    }

    /// Ends a lease at once; the store then deletes its keys.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<()> {
        let request = LeaseRequest { id: Int64(lease.number), ttl: None };
        let _: LeaseResponse = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    async fn call<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let request = self.http.request(|client, url| client.post(url), path);
        let request = request.timeout(self.options.deadline.duration()).json(body);
        self.http.fetch(request).await
    }
}

pub(crate) fn bytes(key: &str) -> Base64Bytes {
    Base64Bytes(key.as_bytes().to_vec())
}

pub(crate) fn revision(number: Int64) -> StoreRevision {
    StoreRevision(u64::try_from(number.0).unwrap_or(0))
}

pub(crate) fn entry(found: KeyValue) -> Result<Entry> {
    let key = String::from_utf8(found.key.0).map_err(|_| decode_error("a key is not text"))?;
    Ok(Entry { key, value: found.value.0, revision: revision(found.mod_revision) })
}

/// Returns the first key after all keys with the prefix. Prefixes are UTF-8 text, so their last
/// byte is never 255 and can be incremented.
fn prefix_end(prefix: &str) -> Base64Bytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    Base64Bytes(end)
}

fn to_read_response(number: Int64, found: Vec<KeyValue>) -> Result<ReadResponse> {
    let entries = found.into_iter().map(entry).collect::<Result<_>>()?;
    Ok(ReadResponse { revision: revision(number), entries })
}

fn compare(expected: &Expectation) -> Compare {
    let mod_revision = Int64(i64::try_from(expected.revision.0).unwrap_or(i64::MAX));
    Compare { result: "EQUAL", target: "MOD", key: bytes(&expected.key), mod_revision }
}

fn operation(write: Write) -> Result<Operation> {
    match write {
        Write::Put { value, .. } if MAX_VALUE_BYTES < value.len() => {
            Err(size_error("a value is over one megabyte"))
        }
        Write::Put { key, value } => {
            Ok(Operation::Put(PutRequest { key: bytes(&key), value: Base64Bytes(value) }))
        }
        Write::Delete { key } => {
            Ok(Operation::Delete(RangeRequest { key: bytes(&key), ..RangeRequest::default() }))
        }
    }
}
