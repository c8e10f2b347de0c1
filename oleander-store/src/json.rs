//! The JSON encoding of the store's requests and responses, which is that of etcd v3: 64-bit
//! integers are strings, and byte strings are base64.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use oleander_core::time::Span;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// `Base64Bytes` is a byte string, encoded as base64.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Base64Bytes(pub(crate) Vec<u8>);

/// `Int64` is an integer that is encoded as a string; a JSON number is accepted when decoding.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Int64(pub(crate) i64);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Repr {
            Number(i64),
            Text(String),
        }
        match Repr::deserialize(deserializer)? {
            Repr::Number(number) => Ok(Self(number)),
            Repr::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

/// `RangeRequest` reads or deletes one key, or all keys from `key` up to, but excluding,
/// `range_end`.
#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Base64Bytes>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) keys_only: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Base64Bytes,
    pub(crate) value: Base64Bytes,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) result: &'static str,
    pub(crate) target: &'static str,
    pub(crate) key: Base64Bytes,
    pub(crate) mod_revision: Int64,
}

#[derive(Debug, Serialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
}

/// `TxnRequest` runs the operations in `success` if all comparisons hold, and those in `failure`
/// otherwise.
#[derive(Debug, Default, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

/// `LeaseRequest` grants, renews or revokes a lease; only a grant has a `ttl`, in seconds.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    pub(crate) ttl: Option<Int64>,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Base64Bytes,
    pub(crate) range_end: Base64Bytes,
    pub(crate) start_revision: Int64,
    pub(crate) progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    /// The revision of the store when it answered.
    pub(crate) revision: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: Base64Bytes,
    pub(crate) mod_revision: Int64,
    pub(crate) value: Base64Bytes,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct OperationResponse {
    pub(crate) response_range: RangeResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL")]
    /// The time to live in seconds; 0 if the lease has expired.
    pub(crate) ttl: Int64,
}

impl LeaseResponse {
    /// Returns the time to live; zero if the lease has expired.
    pub(crate) fn time_to_live(&self) -> Span {
        Span::from_secs(u64::try_from(self.ttl.0).unwrap_or(0))
    }
}

/// `Streamed` wraps each message of a streaming call.
#[derive(Debug, Deserialize)]
pub(crate) struct Streamed<T> {
    pub(crate) result: T,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    pub(crate) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    pub(crate) kv: KeyValue,
}
