//! The text form of a token: URL-safe base64 of a version byte and a bincode body.
//!
//! A caller can send any text, so the decoder allocates no more than the limits
//! below allow, whatever lengths the text claims. The token is not signed: a
//! forged one changes only what its sender asks of the own workspace's reads.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oleander_core::ids::WorkspaceId;

use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::token::MAX_MARKS;
use crate::token::Mark;
use crate::token::Token;

/// The version of the form, the first byte of the decoded text.
pub const VERSION: u8 = 1;

/// The number of characters of a token at most.
pub const MAX_TOKEN_CHARS: usize = MAX_BYTES.div_ceil(3) * 4;

/// The number of tokens that one request carries at most.
pub const MAX_TOKENS: usize = 16;

/// The bytes of an integer at most, in bincode's variable form.
const INT_BYTES: usize = 9;
/// The bytes of a mark at most: database, term, position and one flag.
const MARK_BYTES: usize = 3 * INT_BYTES + 1;
/// The bytes of a token at most: version, workspace, count and marks.
const MAX_BYTES: usize = 1 + INT_BYTES + 1 + MAX_MARKS * MARK_BYTES;

/// Encodes a token as text.
///
/// # Errors
///
/// Fails only if the encoder does, which the form of a token does not allow.
pub fn encode(token: &Token) -> Result<String> {
    let mut bytes = vec![VERSION];
    write(&mut bytes, &token.workspace())?;
    bytes.push(token.marks().len() as u8);
    for mark in token.marks() {
        write(&mut bytes, mark)?;
    }
    Ok(URL_SAFE_NO_PAD.encode(bytes))
}

/// Decodes a token from text.
///
/// # Errors
///
/// Fails if the text is too long or is not a token.
pub fn decode(text: &str) -> Result<Token> {
    if MAX_TOKEN_CHARS < text.len() {
        return errors::too_large("session: the token is too long");
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| NOT_BASE64)?;
    let Some((&VERSION, body)) = bytes.split_first() else {
        return errors::malformed("session: the token has an unknown version");
    };
    decode_body(body)
}

/// Decodes and merges the tokens of a request by `workspace`; no token gives an empty session.
///
/// # Errors
///
/// Fails if there are too many tokens, one cannot be read, or one belongs to another workspace.
pub fn decode_all<'a>(
    workspace: WorkspaceId,
    texts: impl IntoIterator<Item = &'a str>,
) -> Result<Token> {
    let mut merged = Token::new(workspace);
    for (count, text) in texts.into_iter().enumerate() {
        if count == MAX_TOKENS {
            return errors::too_large("session: the request carries too many tokens");
        }
        merged.merge(&decode(text)?)?;
    }
    Ok(merged)
}

const NOT_BASE64: Error = Error::Malformed("session: the token is not URL-safe base64");
const TRUNCATED: Error = Error::Malformed("session: the token's body cannot be read");

fn decode_body(mut body: &[u8]) -> Result<Token> {
    let mut token = Token::new(read(&mut body)?);
    let count: u8 = read(&mut body)?;
    for _ in 0..count {
        let mark: Mark = read(&mut body)?;
        let before = token.marks().len();
        token.put(mark)?;
        if token.marks().len() == before {
            return errors::malformed("session: the token repeats a mark");
        }
    }
    if !body.is_empty() {
        return errors::malformed("session: the token has bytes after its end");
    }
    Ok(token)
}

fn write(bytes: &mut Vec<u8>, value: &impl serde::Serialize) -> Result<()> {
    bincode::serde::encode_into_std_write(value, bytes, bincode::config::standard())
        .map(|_| ())
        .map_err(|_| Error::Malformed("session: the token cannot be encoded"))
}

/// Reads one value of a fixed shape and moves `body` past it.
fn read<T: serde::de::DeserializeOwned>(body: &mut &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MARK_BYTES>();
    let (value, length) = bincode::serde::decode_from_slice(body, config).map_err(|_| TRUNCATED)?;
    *body = &body[length..];
    Ok(value)
}
