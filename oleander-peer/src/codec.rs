//! The frame format: a version byte, the body length as four bytes in network byte order, and a
//! `bincode` body.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Result;
use crate::errors::decode_error;
use crate::errors::encode_error;

/// The protocol version, which covers the frame format and the messages.
pub const VERSION: u8 = 5;

/// The maximum size of a frame's body, in bytes.
pub const MAX_BODY_SIZE: usize = 8 * 1024 * 1024;

/// The size of a frame's header, in bytes.
const HEADER_SIZE: usize = 5;

/// Encodes `message` as one frame.
///
/// Fails if the body is longer than `MAX_BODY_SIZE`.
pub fn encode(message: &impl Serialize) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(message, config())
        .map_err(|_| encode_error("message has no binary form"))?;
    if MAX_BODY_SIZE < body.len() {
        return Err(encode_error("frame too long"));
    }
    let mut frame = BytesMut::with_capacity(HEADER_SIZE + body.len());
    frame.put_u8(VERSION);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// `FrameBuffer` collects the bytes of a stream and decodes complete frames from them.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Appends bytes received from the stream.
    ///
    /// Fails if the buffer would exceed the maximum size of one frame.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        if HEADER_SIZE + MAX_BODY_SIZE < self.bytes.len() + bytes.len() {
            return Err(decode_error("frame too long"));
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and decodes the next message. Returns `None` if its frame is not complete yet.
    ///
    /// Fails if the frame has another version or is too long, or if its body is not exactly one
    /// message of type `T`.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if self.bytes.len() < HEADER_SIZE {
            return Ok(None);
        }
        if self.bytes[0] != VERSION {
            return Err(decode_error("frame of another version"));
        }
        let Some(length) = self.body_length() else { return Ok(None) };
        if MAX_BODY_SIZE < length {
            return Err(decode_error("frame too long"));
        }
        if self.bytes.len() < HEADER_SIZE + length {
            return Ok(None);
        }
        self.bytes.advance(HEADER_SIZE);
        let body = self.bytes.split_to(length);
        decode_body(&body).map(Some)
    }

    /// Returns the length of the body of the first frame; `None` if its header is not complete yet.
    pub fn body_length(&self) -> Option<usize> {
        let mut length = self.bytes.get(1..HEADER_SIZE)?;
        Some(length.get_u32() as usize)
    }

    /// Returns `true` if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    let (message, read) = bincode::serde::decode_from_slice(body, config())
        .map_err(|_| decode_error("malformed message"))?;
    if read != body.len() {
        return Err(decode_error("bytes left over after the message"));
    }
    Ok(message)
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BODY_SIZE>()
}
