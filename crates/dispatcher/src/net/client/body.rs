//! Reads the bodies of requests.

use bytes::{Bytes, BytesMut};

use super::connection::{Connection, ConnectionEnd};
use super::protocol::{CONTINUE_RESPONSE, EXPECT_CONTINUE, EXPECT_HEADER};
use crate::net::http::{Decoder, Framing, Head, Malformed, Piece, MAX_BODY};
use crate::net::read_more;

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
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
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
        let mut body = BytesMut::new();
        loop {
            match decoder.next(&mut self.buffer)? {
                Piece::Data(piece) if body.len() + piece.len() > MAX_BODY => {
                    return Err(Malformed::BodyTooLarge.into());
                }
                Piece::Data(piece) => append(&mut body, piece),
                Piece::More => self.read_more().await?,
                Piece::End => return Ok(body.freeze()),
            }
        }
    }

    async fn send_continue(&mut self) -> Result<(), ConnectionEnd> {
        self.write_message(Bytes::from_static(CONTINUE_RESPONSE)).await
    }

    async fn read_more(&mut self) -> Result<(), ConnectionEnd> {
        match read_more(&mut self.stream, &mut self.buffer).await {
            Ok(true) => Ok(()),
            _ => Err(ConnectionEnd::Lost),
        }
    }
}

/// Appends a piece to the body, without a copy if it is the first one.
fn append(body: &mut BytesMut, piece: Bytes) {
    match piece.try_into_mut() {
        Ok(first) if body.is_empty() => *body = first,
        Ok(piece) => body.extend_from_slice(&piece),
        Err(piece) => body.extend_from_slice(&piece),
    }
}
