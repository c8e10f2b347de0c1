//! Frames: a version byte, a length of four bytes in network order, and a `bincode` body.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Result;
use crate::errors::decode_error;
use crate::errors::encode_error;

/// The version of the frames and messages.
pub const VERSION: u8 = 1;

/// The largest body of a frame, in bytes.
pub const MAX_BODY: usize = 8 * 1024 * 1024;

/// The bytes before the body of a frame.
const HEADER: usize = 5;

/// Encodes `message` as one frame.
///
/// Fails if the body is longer than `MAX_BODY`.
pub fn encode(message: &impl Serialize) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(message, config())
        .map_err(|_| encode_error("message has no binary form"))?;
    if MAX_BODY < body.len() {
        return Err(encode_error("frame too long"));
    }
    let mut frame = BytesMut::with_capacity(HEADER + body.len());
    frame.put_u8(VERSION);
    frame.put_u32(body.len() as u32);
    frame.put_slice(&body);
    Ok(frame.freeze())
}

/// `FrameBuffer` collects the bytes of a stream and takes whole frames out of them.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: BytesMut,
}

impl FrameBuffer {
    /// Adds bytes as they came from the stream.
    ///
    /// Fails if more bytes are waiting than one frame may hold.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        if HEADER + MAX_BODY < self.bytes.len() + bytes.len() {
            return Err(decode_error("frame too long"));
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole message, if all its bytes are here.
    ///
    /// Fails on another version, a frame that is too long, or a body that is not the message.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        if self.bytes.len() < HEADER {
            return Ok(None);
        }
        if self.bytes[0] != VERSION {
            return Err(decode_error("frame of another version"));
        }
        let length = (&self.bytes[1..HEADER]).get_u32() as usize;
        if MAX_BODY < length {
            return Err(decode_error("frame too long"));
        }
        if self.bytes.len() < HEADER + length {
            return Ok(None);
        }
        self.bytes.advance(HEADER);
        let body = self.bytes.split_to(length);
        decode_body(&body).map(Some)
    }

    /// Returns `true` if no bytes wait.
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
    bincode::config::standard().with_limit::<MAX_BODY>()
}
