//! The client of the platform's key-value store.

use oleander_core::time::Span;
pub use oleander_ports::store::Commit;
pub use oleander_ports::store::CommitOutcome;
pub use oleander_ports::store::Entry;
pub use oleander_ports::store::Expectation;
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
use crate::json::Bytes64;
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

/// The length of the longest value that the store accepts, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// `StoreOptions` are the addresses and times of a store client.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The base URLs of equal endpoints; the next one is used after a failure.
    pub endpoints: Vec<String>,
    /// The time within which a connection opens.
    pub connect: Span,
    /// The time within which a call is answered.
    pub deadline: Span,
    /// The time without any message after which a watch counts as silent.
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

/// `Store` is a client of the store. Each call has a deadline.
#[derive(Debug)]
pub struct Store {
    pub(crate) http: HttpClient,
    pub(crate) options: StoreOptions,
}

impl Store {
    /// Makes a client; connections are opened when they are needed.
    pub fn new(options: StoreOptions) -> Self {
        Self { http: HttpClient::new(options.endpoints.clone(), options.connect), options }
    }

    /// Reads one key.
    pub async fn read(&self, key: &str) -> Result<ReadResponse> {
        let range = RangeRequest { key: bytes(key), ..RangeRequest::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &range).await?;
        reading(response.header.revision, response.kvs)
    }

    /// Looks, in one call, whether any of the keys has changed since `known`; `None` if not.
    ///
    /// The entries have revisions and no values; a key that is gone has no entry.
    pub async fn look(&self, known: &[Expectation]) -> Result<Option<ReadResponse>> {
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
        let found = response.responses.into_iter().flat_map(|part| part.response_range.kvs);
        reading(response.header.revision, found.collect()).map(Some)
    }

    /// Reads all keys that start with `prefix`, in the order of the keys.
    pub async fn list(&self, prefix: &str) -> Result<ReadResponse> {
        let range = RangeRequest {
            key: bytes(prefix),
            range_end: Some(prefix_end(prefix)),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.call("/v3/kv/range", &range).await?;
        reading(response.header.revision, response.kvs)
    }

    /// Attempts a commit. An error's verdict says whether it may have taken effect.
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

    /// Asks for a lease of the given time, rounded up to seconds.
    pub async fn grant_lease(&self, time: Span) -> Result<LeaseId> {
        let seconds = time.as_millis().div_ceil(1_000).max(1);
        let ttl = Some(Int64(i64::try_from(seconds).unwrap_or(i64::MAX)));
        let request = LeaseRequest { id: Int64(0), ttl };
        let response: LeaseResponse = self.call("/v3/lease/grant", &request).await?;
        Ok(LeaseId(response.id.0))
    }

    /// Renews a lease. Returns `false` if it has lapsed.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        let request = LeaseRequest { id: Int64(lease.0), ttl: None };
        let response: Streamed<LeaseResponse> = self.call("/v3/lease/keepalive", &request).await?;
        Ok(0 < response.result.ttl.0)
    }

    /// Ends a lease.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<()> {
        let request = LeaseRequest { id: Int64(lease.0), ttl: None };
        let _: LeaseResponse = self.call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    async fn call<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let request = self.http.request(|client, url| client.post(url), path);
        let request = request.timeout(self.options.deadline.duration()).json(body);
        self.http.fetch(request).await
    }
}

pub(crate) fn bytes(key: &str) -> Bytes64 {
    Bytes64(key.as_bytes().to_vec())
}

pub(crate) fn revision(number: Int64) -> StoreRevision {
    StoreRevision(u64::try_from(number.0).unwrap_or(0))
}

pub(crate) fn entry(found: KeyValue) -> Result<Entry> {
    let key = String::from_utf8(found.key.0).map_err(|_| decode_error("a key is not text"))?;
    Ok(Entry { key, value: found.value.0, revision: revision(found.mod_revision) })
}

/// Gets the first key past all keys with the prefix; the last byte of a prefix is never 255.
fn prefix_end(prefix: &str) -> Bytes64 {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    Bytes64(end)
}

fn reading(number: Int64, found: Vec<KeyValue>) -> Result<ReadResponse> {
    let entries = found.into_iter().map(entry).collect::<Result<_>>()?;
    Ok(ReadResponse { revision: revision(number), entries })
}

fn compare(expected: &Expectation) -> Compare {
    let mod_revision = Int64(i64::try_from(expected.revision.0).unwrap_or(i64::MAX));
    Compare { result: "EQUAL", target: "MOD", key: bytes(&expected.key), mod_revision }
}

fn operation(write: Write) -> Result<Operation> {
    match write {
        Write::Put { value, .. } if MAX_VALUE < value.len() => {
            Err(size_error("a value is over one megabyte"))
        }
        Write::Put { key, value } => {
            Ok(Operation::Put(PutRequest { key: bytes(&key), value: Bytes64(value) }))
        }
        Write::Delete { key } => {
            Ok(Operation::Delete(RangeRequest { key: bytes(&key), ..RangeRequest::default() }))
        }
    }
}
