//! Encodes the messages that a script sends.

use std::net::SocketAddr;

use serde_json::{json, Value};

const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Encodes a message; `kind` is the word after `send`, and `workers` are the addresses of the workers in order.
pub fn encode(kind: &str, arguments: &str, workers: &[SocketAddr]) -> Vec<u8> {
    match kind {
        "raw" => unescape(arguments),
        "job" => job(arguments).into_bytes(),
        "ok" => OK_HEAD.into(),
        "whole" => {
            // A complete list in a response with a known length.
            let list = list(arguments, workers).to_string();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).into_bytes()
        }
        "line" => chunk(arguments).into_bytes(),
        "end" => LAST_CHUNK.into(),
        "done" => {
            let (id, result) = arguments.split_once(' ').expect("an id and a result");
            let line = json!({"id": id, "state": "done", "result": result}).to_string();
            format!("{OK_HEAD}{}{LAST_CHUNK}", chunk(&line)).into_bytes()
        }
        "list" => chunk(&list(arguments, workers).to_string()).into_bytes(),
        "indented" => {
            let text = serde_json::to_string_pretty(&list(arguments, workers)).expect("a list");
            chunk(&text).into_bytes()
        }
        other => panic!("unknown kind of message: '{other}'"),
    }
}

/// Encodes a line as one chunk of a body.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Encodes `ID [keyed] [HEADER=VALUE]...` as the request of a job.
fn job(arguments: &str) -> String {
    let mut words = arguments.split(' ').peekable();
    let id = words.next().unwrap_or("");
    let class = words.next_if_eq(&"keyed").unwrap_or("safe");
    let key = if class == "keyed" { "Idempotency-Key: k\r\n" } else { "" };
    let headers: String = words.map(|word| format!("{}\r\n", word.replacen('=', ": ", 1))).collect();
    format!(
        "POST /{class}?sid=7f HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nTenant: acme\r\n\
         {key}{headers}Content-Length: 2\r\n\r\nhi"
    )
}

/// Encodes `REVISION whole|changes [NUMBER=PHASE]...` in the format of discovery.
fn list(arguments: &str, workers: &[SocketAddr]) -> Value {
    let mut words = arguments.split(' ');
    let revision: u64 = words.next().and_then(|word| word.parse().ok()).expect("a revision");
    let complete = words.next() == Some("whole");
    let entries = words.map(|word| {
        let (number, phase) = word.split_once('=').expect("NUMBER=PHASE");
        let number: usize = number.parse().expect("a number");
        list_entry(number, workers[number - 1], phase)
    });
    let entries: Vec<Value> = entries.collect();
    json!({"revision": revision, "complete": complete, "members": entries})
}

/// Returns the list entry of a worker in the format of discovery.
pub fn list_entry(number: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("w{number}"), "host_port": address.to_string(), "locality": "north", "flavor": "m1",
           "cell": number, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Replaces the escapes of `send raw`.
fn unescape(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\x", "\u{e9}");
    while let Some(star) = rest.find('*') {
        let digits: String = rest[star + 1..].chars().take_while(char::is_ascii_digit).collect();
        bytes.extend_from_slice(&rest.as_bytes()[..star]);
        let last = *bytes.last().expect("a byte before");
        bytes.extend(std::iter::repeat_n(last, digits.parse::<usize>().expect("a count") - 1));
        rest = rest[star + 1 + digits.len()..].to_owned();
    }
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}
