//! Watches on the store.

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

/// The length of the longest message of a watch, in bytes; values come base64-encoded.
const MAX_MESSAGE: usize = 4 << 20;

/// `Notice` is one message of a watch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The revision up to which the watch has told everything.
    pub revision: StoreRevision,
    /// The entries that changed; a deleted one has an empty value. Empty for a message of progress.
    pub changed: Vec<Entry>,
}

/// `Watch` is an open watch. After an error it must be opened again, and the keys read anew.
#[derive(Debug)]
pub struct Watch {
    response: Response,
    buffer: BytesMut,
    silence: Span,
}

impl Store {
    /// Opens a watch on the keys from `start` up to `end`, on changes from now on. What changed
    /// before must be read once the watch is open.
    pub async fn watch(&self, start: &str, end: &str) -> Result<Watch> {
        let create_request = WatchCreate {
            key: bytes(start),
            range_end: bytes(end),
            // Zero stands for the present revision.
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

    /// Gives up all connections after one of them has proved silent, so that the next call opens
    /// a fresh one.
    pub fn abandon_connections(&self) {
        self.http.abandon_connections();
    }
}

impl Watch {
    /// Waits for the next message.
    ///
    /// Fails if the watch is silent for too long, broken or ended by the store.
    pub async fn next(&mut self) -> Result<Notice> {
        loop {
            if let Some(line) = self.take_line() {
                return parse(&line);
            }
            let Ok(chunk) = timeout(self.silence.duration(), self.response.chunk()).await else {
                return Err(timeout_error("the watch is silent"));
            };
            let chunk = chunk.map_err(|error| from_http(&error))?;
            let chunk = chunk.ok_or(lost_error("the watch was ended"))?;
            if MAX_MESSAGE < self.buffer.len() + chunk.len() {
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

fn parse(line: &[u8]) -> Result<Notice> {
    let message: Streamed<WatchResponse> =
        serde_json::from_slice(line).map_err(|_| decode_error("malformed message of a watch"))?;
    if message.result.canceled {
        return Err(Error::Lost("the store cancelled the watch"));
    }
    let changed = message.result.events.into_iter().map(|event| entry(event.kv));
    Ok(Notice {
        revision: revision(message.result.header.revision),
        changed: changed.collect::<Result<_>>()?,
    })
}
