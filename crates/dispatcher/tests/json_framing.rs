//! Values are found in a stream however they are laid out and in whatever pieces they come.

use dispatcher::net::json_framing::{JsonStream, Token};

/// All tokens of the text when it comes in pieces of this size, and what is left.
fn tokens(text: &str, size: usize) -> (Vec<String>, String) {
    let mut values = JsonStream::default();
    let mut seen = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        values.push(piece, 1 << 20).expect("not too long");
        while let Some(token) = values.next_token() {
            seen.push(match token {
                Token::Value(value) => String::from_utf8(value.to_vec()).expect("text"),
                Token::Blank => "blank".to_owned(),
            });
        }
    }
    (seen, String::from_utf8(values.take_rest().to_vec()).expect("text"))
}

fn hold(text: &str, expected: &[&str], rest: &str) {
    for size in 1..=text.len() {
        assert_eq!(tokens(text, size), (expected.iter().map(|s| (*s).to_owned()).collect(), rest.to_owned()));
    }
}

#[test]
fn a_value_a_line_with_empty_lines_between() {
    hold("{\"a\":1}\n\n\r\n[2]\r\n", &["{\"a\":1}", "blank", "blank", "[2]"], "");
}

#[test]
fn a_value_over_many_lines_and_several_on_one() {
    hold(
        "{\n  \"a\": [\n\n    1\n  ]\n}\n\n{} {}\n",
        &["{\n  \"a\": [\n\n    1\n  ]\n}", "blank", "{}", "{}"],
        "",
    );
}

#[test]
fn brackets_and_quotes_within_strings() {
    let text = r#"{"a}\"{":"\\","b":"]"}"#;
    hold(&format!("{text}{text}"), &[text, text], "");
}

#[test]
fn what_is_no_value_comes_out_at_the_end_of_its_line() {
    hold("nonsense here\n{}\n", &["nonsense here", "{}"], "");
    hold("}\n", &["}"], "");
    hold("{\"a\n{}\n", &["{\"a\n", "{}"], "");
}

#[test]
fn a_value_without_its_end_is_left_over() {
    hold("{\"a\":1}\n{\"b\":", &["{\"a\":1}"], "{\"b\":");
}

#[test]
fn a_value_without_an_end_is_bounded() {
    let mut values = JsonStream::default();
    let mut taken = 0;
    while values.push(&[b'['; 100], 1000).is_ok() {
        assert_eq!(values.next_token(), None);
        taken += 100;
        assert!(taken <= 1100, "{taken} bytes are held");
    }
}
