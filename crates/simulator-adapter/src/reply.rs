//! Encoder of actions as lines of the protocol.

use std::fmt::{self, Write as _};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;
use rustc_hash::FxHashMap;

use dispatch_core::api::{Action, Seconds, WorkerId};

use crate::wire::{self, ABSENT, ALL_PEERS};

/// Number of timer tokens in the protocol.
const TOKEN_COUNT: u64 = 1 << 63;
/// Maximum length of a message to a peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum duration of a timer.
const MAX_TIMER: Seconds = 71.0 * 60.0;

/// Names of workers in the protocol.
pub(crate) type WorkerNames = FxHashMap<WorkerId, Box<str>>;

/// Reply to one batch.
#[derive(Default)]
pub(crate) struct Reply {
    text: String,
    /// Instance of the last action in this batch; empty before the first action.
    instance: Box<str>,
}

impl Reply {
    /// Begins a batch: the instance of the first action is named again.
    pub(crate) fn begin(&mut self) {
        self.instance = Box::default();
    }

    /// Ends the batch.
    pub(crate) fn end(&mut self) {
        self.push_line(wire::END_REPLY);
    }

    /// Takes the text that has been written so far.
    pub(crate) fn take(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Appends the actions of an instance and clears them.
    pub(crate) fn append(&mut self, instance: &str, actions: &mut Vec<Action>, names: &WorkerNames) {
        if actions.is_empty() {
            return;
        }
        if *self.instance != *instance {
            self.instance = instance.into();
            self.push_line(&format!("{} {instance}", wire::INSTANCE_OF_ACTIONS));
        }
        for action in actions.drain(..) {
            // Writing to a String cannot fail.
            let _ = write_action(&mut self.text, &action, names);
        }
    }

    fn push_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}

/// Writes an action as one line; writes nothing if the name of its worker is unknown.
fn write_action(out: &mut String, action: &Action, names: &WorkerNames) -> fmt::Result {
    match action {
        Action::Send { request, worker, timeout } => match (names.get(worker), timeout) {
            (None, _) => Ok(()),
            (Some(name), None) => writeln!(out, "{} {} {name}", wire::SEND, request.0),
            (Some(name), Some(timeout)) => writeln!(out, "{} {} {name} {timeout}", wire::SEND, request.0),
        },
        Action::Reject { request, retry_after: None } => writeln!(out, "{} {}", wire::REJECT, request.0),
        Action::Reject { request, retry_after: Some(retry_after) } => {
            writeln!(out, "{} {} {retry_after}", wire::REJECT, request.0)
        }
        Action::Fail { request } => writeln!(out, "{} {}", wire::FAIL, request.0),
        Action::Cancel { request, attempt } => writeln!(out, "{} {} {attempt}", wire::CANCEL, request.0),
        Action::Probe(worker) => write_worker_action(out, wire::PROBE, *worker, names),
        Action::CloseIdle(worker) => write_worker_action(out, wire::CLOSE_IDLE, *worker, names),
        Action::SetTimer { after, token } => {
            writeln!(out, "{} {} {}", wire::SET_TIMER, after.clamp(0.0, MAX_TIMER), token % TOKEN_COUNT)
        }
        Action::Watch(enabled) => writeln!(out, "{} {}", wire::WATCH, u8::from(*enabled)),
        Action::FetchEndpointList => writeln!(out, "{}", wire::FETCH_LIST),
        Action::SendToPeer { to, data } => write_message(out, *to, data),
        Action::Log(text) => writeln!(out, "{} {}", wire::LOG, text.replace(['\n', '\r'], " ")),
    }
}

fn write_worker_action(out: &mut String, action: &str, worker: WorkerId, names: &WorkerNames) -> fmt::Result {
    match names.get(&worker) {
        Some(name) => writeln!(out, "{action} {name}"),
        None => Ok(()),
    }
}

/// Writes a message to one peer, or to all.
fn write_message(out: &mut String, to: Option<u32>, data: &[u8]) -> fmt::Result {
    let receiver = to.map_or(ALL_PEERS, i64::from);
    let data = BASE64.encode(&data[..data.len().min(MAX_MESSAGE_BYTES)]);
    let data = if data.is_empty() { ABSENT } else { &data };
    writeln!(out, "{} {receiver} {data}", wire::SEND_TO_PEER)
}
