//! Values are split correctly in any layout, and regardless of the pieces in which the stream arrives.

use dispatcher::net::json_framing::{JsonStream, Token};

/// Returns all tokens of a text that arrives in pieces of this size, and the rest that is no complete token.
fn tokens(text: &str, size: usize) -> (Vec<String>, String) {
    let mut values = JsonStream::default();
    let mut seen = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        values.push(piece, 1 << 20).expect("a value within the limit");
        while let Some(token) = values.next_token() {
            seen.push(match token {
                Token::Value(value) => String::from_utf8(value.to_vec()).expect("text"),
                Token::Blank => "blank".to_owned(),
            });
        }
    }
    (seen, String::from_utf8(values.take_rest().to_vec()).expect("text"))
}

/// Checks the tokens and the rest of a text for every piece size.
fn check_tokens(text: &str, expected: &[&str], rest: &str) {
    for size in 1..=text.len() {
        assert_eq!(tokens(text, size), (expected.iter().map(|s| (*s).to_owned()).collect(), rest.to_owned()));
    }
}

#[test]
fn one_value_per_line_with_empty_lines_between() {
    check_tokens("{\"a\":1}\n\n\r\n[2]\r\n", &["{\"a\":1}", "blank", "blank", "[2]"], "");
}

#[test]
fn a_value_over_many_lines_and_several_values_on_one_line() {
    check_tokens(
        "{\n  \"a\": [\n\n    1\n  ]\n}\n\n{} {}\n",
        &["{\n  \"a\": [\n\n    1\n  ]\n}", "blank", "{}", "{}"],
        "",
    );
}

#[test]
fn brackets_and_quotes_within_strings() {
    let text = r#"{"a}\"{":"\\","b":"]"}"#;
    check_tokens(&format!("{text}{text}"), &[text, text], "");
}

#[test]
fn invalid_text_is_returned_at_the_end_of_its_line() {
    check_tokens("nonsense here\n{}\n", &["nonsense here", "{}"], "");
    check_tokens("}\n", &["}"], "");
    check_tokens("{\"a\n{}\n", &["{\"a\n", "{}"], "");
}

#[test]
fn an_incomplete_value_remains_at_the_end_of_the_stream() {
    check_tokens("{\"a\":1}\n{\"b\":", &["{\"a\":1}"], "{\"b\":");
}

#[test]
fn the_length_of_an_endless_value_is_limited() {
    let mut values = JsonStream::default();
    let mut pushed = 0;
    while values.push(&[b'['; 100], 1000).is_ok() {
        assert_eq!(values.next_token(), None);
        pushed += 100;
        assert!(pushed <= 1100, "{pushed} bytes are buffered");
    }
}
