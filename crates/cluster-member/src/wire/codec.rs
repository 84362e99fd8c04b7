//! Encoding of messages.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Error of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not a message of the expected type: the peer is faulty or uses another schema version.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    /// The message exceeds [`MAX_FRAME_BYTES`] and cannot be sent.
    #[error("message of {length} bytes exceeds the limit of {max}", max = MAX_FRAME_BYTES)]
    TooLong {
        /// Length of the message, in bytes.
        length: usize,
    },
}

/// Encodes a message. A message for several receivers can be encoded once and sent with
/// [`Connection::send_encoded`](super::Connection::send_encoded).
///
/// # Errors
/// Returns [`MessageError::TooLong`] if the message exceeds [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, MessageError> {
    let encoded = postcard::to_stdvec(message)?;
    if encoded.len() > MAX_FRAME_BYTES {
        return Err(MessageError::TooLong { length: encoded.len() });
    }
    Ok(encoded.into())
}

/// Decodes a message.
///
/// # Errors
/// Returns [`MessageError::Malformed`] if the bytes are not a message of this type.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, MessageError> {
    Ok(postcard::from_bytes(frame)?)
}
