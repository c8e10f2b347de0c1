//! The JSON form of the store's requests and responses.
//!
//! As in etcd's published interface, 64-bit integers are strings, bytes are base64, and fields with
//! a zero value are omitted from responses.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// `Bytes64` is a byte string that is serialised in base64.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Bytes64(pub Vec<u8>);

/// `Int64` is an integer that is serialised as a string and deserialised from a string or a number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Int64(pub i64);

impl Serialize for Bytes64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// `Header` is the common part of all responses.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// The identifier of the cluster.
    pub cluster_id: Int64,
    /// The identifier of the member that answered.
    pub member_id: Int64,
    /// The store's revision when it answered.
    pub revision: Int64,
    /// The term of the store's Raft consensus.
    pub raft_term: Int64,
}

/// `KeyValue` is a stored key-value pair with its revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes64,
    /// The revision at which the key was created.
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int64,
    /// The revision at which the key was last written.
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Int64,
    /// The number of writes since the key was created, which counts as the first.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int64,
    /// The value.
    #[serde(skip_serializing_if = "is_default")]
    pub value: Bytes64,
    /// The lease that the key is attached to; 0 for none.
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int64,
}

/// `RangeRequest` reads the pairs in a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// The end of the range, not part of it; empty for the one key.
    pub range_end: Bytes64,
    /// The maximum number of pairs in the response; 0 for no limit.
    pub limit: Int64,
    /// Whether the response omits the values.
    pub keys_only: bool,
    /// Whether the response has only the count.
    pub count_only: bool,
}

/// `RangeResponse` answers a `RangeRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The pairs in the order of their keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit omitted pairs.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// The number of keys in the range.
    #[serde(skip_serializing_if = "is_default")]
    pub count: Int64,
}

/// `PutRequest` writes a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes64,
    /// The value.
    pub value: Bytes64,
    /// The lease to attach the key to; 0 for none.
    pub lease: Int64,
    /// Whether the response includes the previous pair.
    pub prev_kv: bool,
}

/// `PutResponse` answers a `PutRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The previous pair; `None` if there was none or the request did not ask for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// `DeleteRequest` deletes the keys in a range.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes64,
    /// The end of the range, not part of it; empty for the one key.
    pub range_end: Bytes64,
    /// Whether the response includes the deleted pairs.
    pub prev_kv: bool,
}

/// `DeleteResponse` answers a `DeleteRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The number of deleted keys.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int64,
    /// The deleted pairs; empty if the request did not ask for them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyValue>,
}

/// `Comparison` is the operator of a transaction's condition.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Comparison {
    /// The stored one equals the given one.
    #[default]
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
    /// The stored one differs from the given one.
    NotEqual,
}

/// `Target` is the attribute of a key that a transaction's condition compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Target {
    /// The version; 0 for an absent key.
    #[default]
    Version,
    /// The revision at which the key was created; 0 for an absent key.
    Create,
    /// The revision at which the key was last written; 0 for an absent key.
    Mod,
    /// The value; a condition on the value of an absent key never holds.
    Value,
    /// The lease that the key is attached to; 0 for none.
    Lease,
}

/// `Compare` is a condition of a transaction. Only the field of its target is used.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The comparison that must hold.
    pub result: Comparison,
    /// The attribute to compare.
    pub target: Target,
    /// The key.
    pub key: Bytes64,
    /// The version to compare with.
    pub version: Int64,
    /// The creation revision to compare with.
    pub create_revision: Int64,
    /// The revision of the last write to compare with.
    pub mod_revision: Int64,
    /// The value to compare with.
    pub value: Bytes64,
    /// The lease to compare with.
    pub lease: Int64,
}

/// `Operation` is an operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Reads the pairs in a range of keys.
    #[serde(alias = "requestRange")]
    RequestRange(RangeRequest),
    /// Writes a key.
    #[serde(alias = "requestPut")]
    RequestPut(PutRequest),
    /// Deletes the keys in a range.
    #[serde(alias = "requestDeleteRange")]
    RequestDeleteRange(DeleteRequest),
}

/// `TxnRequest` is a transaction: operations that depend on conditions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    pub success: Vec<Operation>,
    /// The operations to run otherwise.
    pub failure: Vec<Operation>,
}

/// `OperationResponse` answers an `Operation`.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationResponse {
    /// The pairs that were read.
    ResponseRange(RangeResponse),
    /// The key was set.
    ResponsePut(PutResponse),
    /// The keys were deleted.
    ResponseDeleteRange(DeleteResponse),
}

/// `TxnResponse` answers a `TxnRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    /// The header.
    pub header: Header,
    /// Whether the conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// The responses to the operations, in their order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<OperationResponse>,
}

/// `LeaseRequest` grants, renews or revokes a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The identifier; 0 in a grant lets the store choose one.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// The time to live in seconds, used by a grant only.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// `LeaseResponse` answers a `LeaseRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseResponse {
    /// The header.
    pub header: Header,
    /// The identifier of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// The time to live in seconds; omitted if the lease does not exist any more.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    pub ttl: Int64,
}

/// `WatchCreate` opens a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes64,
    /// The end of the range, not part of it; empty for the one key.
    pub range_end: Bytes64,
    /// The first revision whose changes are sent; 0 for changes from now on.
    pub start_revision: Int64,
    /// Whether the store sends empty messages periodically while nothing changes.
    pub progress_notify: bool,
}

/// `WatchRequest` is the first message of a watch stream.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to open.
    pub create_request: WatchCreate,
}

/// `Event` is a change that a watch reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Event {
    /// `DELETE` for a deletion; `None` for a put.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// The pair after the change; a deleted one has only its key and the revision.
    pub kv: KeyValue,
}

/// `WatchResponse` is a message of a watch stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this is the first message, which confirms the watch.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Whether the store has cancelled the watch; the stand-in never does.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The changes, oldest first; empty in a progress message.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// `Streamed` is the envelope of a message in a stream.
#[derive(Clone, Debug, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// `ErrorResponse` is the body of a response with an HTTP error status.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorResponse {
    /// The text of the error.
    pub error: String,
    /// The gRPC status code.
    pub code: i32,
    /// The text of the error again, as etcd repeats it.
    pub message: String,
}
