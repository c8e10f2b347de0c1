//! Watches on key ranges of the store.

use bytes::BytesMut;
use oleander_core::time::Span;
use reqwest::Response;
use tokio::time::timeout;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::decode_error;
use crate::errors::from_http;
use crate::errors::lost_error;
use crate::errors::timeout_error;
use crate::json::Int64;
use crate::json::Streamed;
use crate::json::WatchCreate;
use crate::json::WatchRequest;
use crate::json::WatchResponse;
use crate::store::Entry;
use crate::store::Store;
use crate::store::StoreRevision;
use crate::store::bytes;
use crate::store::entry;
use crate::store::revision;

/// The maximum length of a message of a watch, in bytes. Values in it are base64-encoded.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// `WatchUpdate` is one message of a watch: a set of changes or a progress notification.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchUpdate {
    /// The store revision up to which the watch has reported all changes.
    pub revision: StoreRevision,
    /// The changed entries; a deleted one has an empty value. Empty for a progress notification.
    pub changed: Vec<Entry>,
}

/// `Watch` is an open watch. After an error a new one must be opened and the keys read again.
#[derive(Debug)]
pub struct Watch {
    response: Response,
    buffer: BytesMut,
    silence: Span,
}

impl Store {
    /// Opens a watch on the keys from `start` up to, but excluding, `end`. It reports changes from
    /// now on; earlier changes must be read once the watch is open.
    pub async fn watch(&self, start: &str, end: &str) -> Result<Watch> {
        let create_request = WatchCreate {
            key: bytes(start),
            range_end: bytes(end),
            // Zero means to start at the present revision.
            start_revision: Int64(0),
            progress_notify: true,
        };
        let request = self.http.request(|client, url| client.post(url), "/v3/watch");
        let opening = self.http.send(request.json(&WatchRequest { create_request }));
        let limit = self.options.deadline.duration();
        let Ok(opened) = timeout(limit, opening).await else {
            self.http.abandon_connections();
            return Err(timeout_error("the watch did not open in time"));
        };
        Ok(Watch { response: opened?, buffer: BytesMut::new(), silence: self.options.silence })
    }

    /// Drops all pooled connections and moves to the next endpoint, after a connection has proved
    /// silent. The next call opens a new connection.
    pub fn abandon_connections(&self) {
        self.http.abandon_connections();
    }
}

impl Watch {
    /// Waits for the next message.
    ///
    /// Fails if no data arrives for `StoreOptions::silence`, if the connection is lost, if the
    /// store ends the watch, or if a message is malformed or too long.
    pub async fn next(&mut self) -> Result<WatchUpdate> {
        loop {
            if let Some(line) = self.take_line() {
                return parse(&line);
            }
            let Ok(chunk) = timeout(self.silence.duration(), self.response.chunk()).await else {
                return Err(timeout_error("the watch is silent"));
            };
            let chunk = chunk.map_err(|error| from_http(&error))?;
            let chunk = chunk.ok_or(lost_error("the watch was ended"))?;
            if MAX_MESSAGE_BYTES < self.buffer.len() + chunk.len() {
                return Err(decode_error("a message of the watch is too long"));
            }
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }
}

fn parse(line: &[u8]) -> Result<WatchUpdate> {
    let message: Streamed<WatchResponse> =
        serde_json::from_slice(line).map_err(|_| decode_error("malformed message of a watch"))?;
    if message.result.canceled {
        return Err(Error::Lost("the store cancelled the watch"));
    }
    let changed = message.result.events.into_iter().map(|event| entry(event.kv));
    Ok(WatchUpdate {
        revision: revision(message.result.header.revision),
        changed: changed.collect::<Result<_>>()?,
    })
}
