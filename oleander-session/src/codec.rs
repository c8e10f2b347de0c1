//! The text form of a token: URL-safe base64 of a version byte and a bincode body.
//!
//! A caller can send any text, so the decoder allocates no more than the limits below allow,
//! whatever lengths the text claims. The token is not signed: a forged token only changes how fresh
//! the sender's own reads in its own workspace must be.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oleander_core::ids::WorkspaceId;

use crate::errors;
use crate::errors::Error;
use crate::errors::Result;
use crate::token::MAX_MARKS;
use crate::token::Mark;
use crate::token::Token;

/// The version of the format, the first byte of the decoded text.
pub const VERSION: u8 = 1;

/// The maximum number of characters of a token.
pub const MAX_TOKEN_CHARS: usize = MAX_BYTES.div_ceil(3) * 4;

/// The maximum number of tokens of one request.
pub const MAX_TOKENS: usize = 16;

/// The maximum size of an integer in bytes, in bincode's variable-length encoding.
const INT_BYTES: usize = 9;
/// The maximum size of a mark in bytes: database, term, position and one flag.
const MARK_BYTES: usize = 3 * INT_BYTES + 1;
/// The maximum size of a token in bytes: version, workspace, count and marks.
const MAX_BYTES: usize = 1 + INT_BYTES + 1 + MAX_MARKS * MARK_BYTES;

/// Encodes a token as text.
///
/// # Errors
///
/// Returns `Error::Malformed` if the encoder fails, which no valid token causes.
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
/// Returns `Error::TooLarge` if the text or the number of its marks is over the limit, and
/// `Error::Malformed` if the text is not a token.
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

/// Decodes and merges the tokens of a request for `workspace`. Without tokens, the result is the
/// token of a session that has seen nothing.
///
/// # Errors
///
/// Returns `Error::TooLarge` if there are too many tokens, `Error::WrongWorkspace` if one belongs
/// to another workspace, and the errors of `decode` and `Token::merge`.
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

/// Decodes one value and advances `body` past it. No value may be larger than a mark.
fn read<T: serde::de::DeserializeOwned>(body: &mut &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MARK_BYTES>();
    let (value, length) = bincode::serde::decode_from_slice(body, config).map_err(|_| TRUNCATED)?;
    *body = &body[length..];
    Ok(value)
}
