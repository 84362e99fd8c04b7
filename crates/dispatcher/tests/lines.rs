//! Lines of a body that arrives in pieces of any size.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatcher::net::http::Lines;

/// Length of the long line; a search from its start after each byte would compare 10^11 bytes.
const LONG_LINE_BYTES: usize = 500_000;
/// Time within which the long line must be split, over a hundred times what one search of each byte takes.
const SPLIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Splits a text that arrives in pieces of this size.
fn split(text: &[u8], piece_size: usize) -> Vec<Bytes> {
    let mut lines = Lines::default();
    let mut split = Vec::new();
    for piece in text.chunks(piece_size) {
        lines.add(Bytes::copy_from_slice(piece), text.len()).expect("no line is too long");
        split.extend(std::iter::from_fn(|| lines.next_line()));
    }
    split.push(lines.rest());
    split
}

#[test]
fn lines_do_not_depend_on_the_size_of_the_pieces() {
    let text = b"first\r\n\nthird, a longer one\nrest";
    for piece_size in 1..=text.len() {
        assert_eq!(split(text, piece_size), ["first", "", "third, a longer one", "rest"], "{piece_size}");
    }
}

/// Guards against an answer in very small pieces that stops the whole dispatcher: its unfinished line was searched from
/// the start after each piece.
#[test]
fn a_long_line_in_pieces_of_one_byte_is_searched_once() {
    let text = vec![b'a'; LONG_LINE_BYTES];
    let start = Instant::now();
    assert_eq!(split(&text, 1), [text]);
    assert!(start.elapsed() < SPLIT_TIMEOUT, "{:?}", start.elapsed());
}

/// Guards against a buffer that grows by doubling, up to twice the memory that is reserved for a line.
#[test]
fn the_buffer_of_a_line_keeps_to_the_maximum_length() {
    const MAX_LENGTH: usize = 110_000;
    let mut lines = Lines::default();
    for _ in 0..100 {
        lines.add(Bytes::from(vec![b'a'; 1_000]), MAX_LENGTH).expect("a line within the limit");
    }
    let line = lines.rest();
    drop(lines);
    let capacity = line.try_into_mut().map(|buffer| buffer.capacity()).ok();
    assert!(capacity.is_some_and(|capacity| capacity <= MAX_LENGTH), "{capacity:?}");
}

#[test]
fn a_line_that_is_too_long_is_an_error() {
    let mut lines = Lines::default();
    assert!(lines.add(Bytes::from_static(b"0123"), 8).is_ok());
    assert!(lines.add(Bytes::from_static(b"45678"), 8).is_err());
}
