//! Buffers that grow only as far as the memory account allows.

use std::ops::{Deref, DerefMut};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::memory::{MemoryExhausted, Reservation, FREE_BYTES};

/// Error of a read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The buffer is full and cannot grow.
    #[error(transparent)]
    Memory(#[from] MemoryExhausted),
    /// The socket failed.
    #[error(transparent)]
    Socket(#[from] std::io::Error),
}

/// Bytes that were read from a connection and not yet parsed. An empty buffer holds no memory.
#[derive(Debug)]
pub(crate) struct ReadBuffer {
    bytes: BytesMut,
    reservation: Reservation,
}

impl ReadBuffer {
    pub(crate) fn new(reservation: Reservation) -> ReadBuffer {
        ReadBuffer { bytes: BytesMut::new(), reservation }
    }

    /// Reads more bytes; returns false once the peer has closed its side.
    ///
    /// # Errors
    /// Returns [`ReadError`] if the buffer cannot grow, or if the socket fails.
    pub(crate) async fn read_more(&mut self, stream: &mut TcpStream) -> Result<bool, ReadError> {
        if self.bytes.is_empty() {
            self.release();
            stream.readable().await?;
        }
        self.ensure_capacity()?;
        Ok(stream.read_buf(&mut self.bytes).await? > 0)
    }

    /// Returns whether bytes can be read without a reservation.
    pub(crate) fn can_read_ahead(&self) -> bool {
        self.bytes.len() < FREE_BYTES
    }

    fn ensure_capacity(&mut self) -> Result<(), MemoryExhausted> {
        if self.bytes.capacity() > self.bytes.len() {
            return Ok(());
        }
        let capacity = FREE_BYTES.max(2 * self.bytes.len());
        self.reservation.try_grow(capacity)?;
        self.move_to(capacity);
        Ok(())
    }

    /// Moves the bytes to an allocation of their own.
    fn move_to(&mut self, capacity: usize) {
        let mut moved = BytesMut::with_capacity(capacity);
        moved.extend_from_slice(&self.bytes);
        self.bytes = moved;
    }

    /// Gives back the memory that the remaining bytes do not need.
    pub(crate) fn release(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        } else if self.bytes.len() <= FREE_BYTES {
            self.move_to(FREE_BYTES);
        }
        if self.bytes.len() <= FREE_BYTES {
            self.reservation.shrink(0);
        }
    }
}

impl Deref for ReadBuffer {
    type Target = BytesMut;

    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for ReadBuffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

/// A body that arrives in pieces.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl BodyBuffer {
    pub(crate) fn new(reservation: Reservation) -> BodyBuffer {
        BodyBuffer { bytes: Vec::new(), reservation }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes to a body that may become as long as `max_length`.
    ///
    /// # Errors
    /// Returns [`MemoryExhausted`] if the body cannot grow.
    pub(crate) fn append(&mut self, piece: &[u8], max_length: usize) -> Result<(), MemoryExhausted> {
        self.ensure_capacity(piece.len(), max_length)?;
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Reads bytes of a body of this length, none beyond it; returns false once the peer has closed its side.
    ///
    /// # Errors
    /// Returns [`ReadError`] if the body cannot grow, or if the socket fails.
    pub(crate) async fn read_up_to(
        &mut self,
        stream: &mut TcpStream,
        length: usize,
    ) -> Result<bool, ReadError> {
        self.ensure_capacity(1, length)?;
        let spare_capacity = (self.bytes.capacity() - self.bytes.len()).min(length - self.bytes.len());
        Ok(stream.read_buf(&mut (&mut self.bytes).limit(spare_capacity)).await? > 0)
    }

    fn ensure_capacity(&mut self, additional: usize, max_length: usize) -> Result<(), MemoryExhausted> {
        let needed = self.bytes.len() + additional;
        if needed > self.bytes.capacity() {
            let capacity = needed.max(FREE_BYTES).max(2 * self.bytes.len()).min(max_length.max(needed));
            self.reservation.try_grow(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        Ok(())
    }

    /// Returns the body, which holds its reservation.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.attach(self.bytes)
    }
}
