//! Reads the bodies of requests.

use bytes::Bytes;

use super::connection::Connection;
use super::connection_end::ConnectionEnd;
use super::protocol::{CONTINUE_RESPONSE, EXPECT_CONTINUE, EXPECT_HEADER};
use crate::net::http::{Decoder, Framing, Head, Malformed, Piece, MAX_BODY};
use crate::net::read_buffer::BodyBuffer;

impl Connection {
    /// Reads the complete body of a request.
    pub(super) async fn read_body(&mut self, head: &Head) -> Result<Bytes, ConnectionEnd> {
        let expectation = head.header_text(EXPECT_HEADER);
        let expects_continue = expectation.is_some_and(|value| value.eq_ignore_ascii_case(EXPECT_CONTINUE));
        match head.framing {
            Framing::Length(length) => self.read_sized_body(length, expects_continue).await,
            framing => self.read_decoded_body(framing, expects_continue).await,
        }
    }

    async fn read_sized_body(&mut self, length: u64, expects_continue: bool) -> Result<Bytes, ConnectionEnd> {
        if length > MAX_BODY as u64 {
            return Err(Malformed::BodyTooLarge.into());
        }
        let length = length as usize;
        if expects_continue && self.buffer.len() < length {
            self.send_continue().await?;
        }
        let mut body = self.new_body();
        let buffered = self.buffer.len().min(length);
        body.append(&self.buffer.split_to(buffered), length)?;
        while body.len() < length {
            if !body.read_up_to(&mut self.stream, length).await? {
                return Err(ConnectionEnd::Lost);
            }
        }
        Ok(body.into_bytes())
    }

    async fn read_decoded_body(
        &mut self,
        framing: Framing,
        expects_continue: bool,
    ) -> Result<Bytes, ConnectionEnd> {
        if expects_continue && self.buffer.is_empty() {
            self.send_continue().await?;
        }
        let mut decoder = Decoder::new(framing);
        let mut body = self.new_body();
        loop {
            match decoder.next(&mut self.buffer)? {
                Piece::Data(piece) if body.len() + piece.len() > MAX_BODY => {
                    return Err(Malformed::BodyTooLarge.into());
                }
                Piece::Data(piece) => body.append(&piece, MAX_BODY)?,
                Piece::More => self.read_more().await?,
                Piece::End => return Ok(body.into_bytes()),
            }
        }
    }

    fn new_body(&self) -> BodyBuffer {
        BodyBuffer::new(self.context.memory.requests.reservation())
    }

    async fn send_continue(&mut self) -> Result<(), ConnectionEnd> {
        self.write_message(Bytes::from_static(CONTINUE_RESPONSE)).await
    }

    async fn read_more(&mut self) -> Result<(), ConnectionEnd> {
        if self.buffer.read_more(&mut self.stream).await? {
            Ok(())
        } else {
            Err(ConnectionEnd::Lost)
        }
    }
}
