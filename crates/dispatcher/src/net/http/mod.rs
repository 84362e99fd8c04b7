//! HTTP/1.1 codec: parses heads and bodies from a read buffer, regardless of how the bytes were split in transit.
//!
//! Parsed parts are slices of the buffer that the bytes were read into. The codec does no I/O.

mod body;
mod head;
mod lines;
pub mod status;

pub use body::{Decoder, Piece};
pub use head::{text, Framing, Head, HeadProgress, Header, Start};
pub use lines::Lines;

use status::Status;

/// Maximum length of the head of a message, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum length of the body of a message, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// Error of a message that violates the protocol or exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The head is not valid HTTP/1.1.
    #[error("the head of the message is not valid HTTP/1.1")]
    Head,
    /// The head is longer than [`MAX_HEAD`], or has too many headers.
    #[error("the head of the message is too large")]
    HeadTooLarge,
    /// Length and transfer coding are invalid or contradict each other.
    #[error("the length of the body is invalid or ambiguous")]
    Framing,
    /// A chunk is invalid.
    #[error("a chunk of the body is invalid")]
    Chunk,
    /// The body is larger than [`MAX_BODY`].
    #[error("the body is too large")]
    BodyTooLarge,
}

impl Malformed {
    /// Returns the status of the response to a client that sent the message.
    pub fn status(self) -> Status {
        match self {
            Malformed::HeadTooLarge => status::HEADER_FIELDS_TOO_LARGE,
            Malformed::BodyTooLarge => status::CONTENT_TOO_LARGE,
            _ => status::BAD_REQUEST,
        }
    }
}
