//! Messages as bytes.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Why bytes are no message, or a message is not sent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are no message of the type that is wanted: the other end is at fault, or speaks another schema.
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
    /// The message is longer than a frame may be; it cannot be sent.
    #[error("a message of {length} bytes, over {max}", max = MAX_FRAME_BYTES)]
    TooLong {
        /// Its length, in bytes.
        length: usize,
    },
}

/// The bytes of a message. Encode it once where it goes to many.
///
/// # Errors
/// The message is longer than a frame may be.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, MessageError> {
    let encoded = postcard::to_stdvec(message)?;
    if encoded.len() > MAX_FRAME_BYTES {
        return Err(MessageError::TooLong { length: encoded.len() });
    }
    Ok(encoded.into())
}

/// The message in these bytes.
///
/// # Errors
/// They are no message of this type.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, MessageError> {
    Ok(postcard::from_bytes(frame)?)
}
