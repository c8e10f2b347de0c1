//! The JSON form of the store's requests and responses.
//!
//! As published, 64-bit integers are strings, bytes are base64, and fields
//! with a zero value are left out of responses.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// `Bytes64` is a byte string in base64.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Bytes64(pub Vec<u8>);

/// `Int64` is an integer that is written as a string and read from a string or a number.
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

/// `Header` is part of every response.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Header {
    /// The identifier of the cluster.
    pub cluster_id: Int64,
    /// The identifier of the member that answered.
    pub member_id: Int64,
    /// The revision of the store.
    pub revision: Int64,
    /// The term of the store's own consensus.
    pub raft_term: Int64,
}

/// `KeyValue` is a key with its value and versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes64,
    /// The revision at which the key was made.
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Int64,
    /// The revision of the last change.
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Int64,
    /// The number of changes since the key was made.
    #[serde(skip_serializing_if = "is_default")]
    pub version: Int64,
    /// The value.
    #[serde(skip_serializing_if = "is_default")]
    pub value: Bytes64,
    /// The lease that the key is attached to.
    #[serde(skip_serializing_if = "is_default")]
    pub lease: Int64,
}

/// `RangeRequest` asks for keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes64,
    /// The end of the range, not part of it; empty for the one key.
    pub range_end: Bytes64,
    /// The greatest number of keys in the answer; 0 for no limit.
    pub limit: Int64,
    /// Leaves the values out.
    pub keys_only: bool,
    /// Answers with the count only.
    pub count_only: bool,
}

/// `RangeResponse` answers a `RangeRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left keys out.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// The number of keys in the range.
    #[serde(skip_serializing_if = "is_default")]
    pub count: Int64,
}

/// `PutRequest` sets a key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes64,
    /// The value.
    pub value: Bytes64,
    /// The lease to attach to; 0 for none.
    pub lease: Int64,
    /// Asks for the pair that was there before.
    pub prev_kv: bool,
}

/// `PutResponse` answers a `PutRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The pair that was there before, if asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// `DeleteRequest` deletes keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes64,
    /// The end of the range, not part of it; empty for the one key.
    pub range_end: Bytes64,
    /// Asks for the pairs that were there before.
    pub prev_kv: bool,
}

/// `DeleteResponse` answers a `DeleteRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteResponse {
    /// The header.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The number of keys deleted.
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: Int64,
    /// The pairs that were there before, if asked for.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyValue>,
}

/// `Comparison` is how a txn's condition compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Comparison {
    /// The two are equal.
    #[default]
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
    /// The two differ.
    NotEqual,
}

/// `Target` is what a txn's condition compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Target {
    /// The number of changes.
    #[default]
    Version,
    /// The revision at which the key was made.
    Create,
    /// The revision of the last change.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// `Compare` is a condition of a txn.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How to compare.
    pub result: Comparison,
    /// What to compare.
    pub target: Target,
    /// The key.
    pub key: Bytes64,
    /// The version to compare with.
    pub version: Int64,
    /// The revision to compare with.
    pub create_revision: Int64,
    /// The revision to compare with.
    pub mod_revision: Int64,
    /// The value to compare with.
    pub value: Bytes64,
    /// The lease to compare with.
    pub lease: Int64,
}

/// `Operation` is a step of a txn.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Asks for keys.
    #[serde(alias = "requestRange")]
    RequestRange(RangeRequest),
    /// Sets a key.
    #[serde(alias = "requestPut")]
    RequestPut(PutRequest),
    /// Deletes keys.
    #[serde(alias = "requestDeleteRange")]
    RequestDeleteRange(DeleteRequest),
}

/// `TxnRequest` runs operations under conditions.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// The operations if they hold.
    pub success: Vec<Operation>,
    /// The operations if they do not.
    pub failure: Vec<Operation>,
}

/// `OperationResponse` answers an `Operation`.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationResponse {
    /// The keys.
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
    /// The answers to the operations.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<OperationResponse>,
}

/// `LeaseRequest` makes, keeps or ends a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease; 0 lets the store choose.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// The time to live in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// `LeaseResponse` answers a `LeaseRequest`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseResponse {
    /// The header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// The time to live in seconds; left out if the lease has expired.
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
    /// The revision to start from; 0 for now.
    pub start_revision: Int64,
    /// Asks for a message from time to time when nothing changes.
    pub progress_notify: bool,
}

/// `WatchRequest` is the first message of a watch stream.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch.
    pub create_request: WatchCreate,
}

/// `Event` is a change that a watch tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Event {
    /// `DELETE`, or left out for a put.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    /// The pair after the change.
    pub kv: KeyValue,
}

/// `WatchResponse` is a message of a watch stream.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this is the answer to the opening.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Whether the watch was ended by the store.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// `Streamed` wraps a message of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// `Fault` is an error answer.
#[derive(Clone, Debug, Serialize)]
pub struct Fault {
    /// The text of the error.
    pub error: String,
    /// The gRPC status code.
    pub code: i32,
    /// The text of the error again.
    pub message: String,
}
