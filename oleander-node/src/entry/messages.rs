//! The time that messages of callers and their answers may take, and the refusals of messages that
//! cannot be read as a whole.

use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;

/// The time within which a caller must open its session after connecting.
pub const OPEN_TIMEOUT: Span = Span::from_secs(10);

/// The time within which a caller must read an answer, so that slow readers do not keep large answers
/// from others.
pub const READ_TIMEOUT: Span = Span::from_secs(10);

/// The time within which the rest of a long message must arrive, since it holds a part of the budget
/// meanwhile.
pub const MESSAGE_TIMEOUT: Span = Span::from_secs(5);

/// The time for which the rest of a refused message is read, so that its caller gets the refusal.
pub const SKIP_TIMEOUT: Span = Span::from_secs(2);

/// The `retry_after` of a refusal because all messages together are too long: the time in which most
/// statements are answered.
const RETRY_AFTER: Span = Span::from_millis(200);

/// `UnreadMessage` states why a message is refused before all of it has been read. The connection must
/// be closed after the refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnreadMessage {
    /// It is longer than the protocol allows.
    TooLong,
    /// The budget of all long messages has not enough left.
    NoRoom,
    /// Its rest has not arrived in time.
    Slow,
}

impl UnreadMessage {
    /// Returns the refusal that the caller is told.
    pub fn refusal(self) -> Refusal {
        let (code, detail) = match self {
            Self::TooLong => (RefusalCode::BodyTooLarge, "the message is longer than 1 MiB"),
            Self::NoRoom => {
                (RefusalCode::QueueFull, "this VM holds as many long messages as it may")
            }
            Self::Slow => {
                (RefusalCode::DeadlineExceeded, "the rest of the message has not arrived in time")
            }
        };
        let refusal = Refusal::not_run(code, detail);
        if self == Self::NoRoom { refusal.with_retry_after(RETRY_AFTER) } else { refusal }
    }
}
