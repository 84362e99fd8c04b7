//! Writes the actions of dispatchers as lines of the wire.

use std::fmt::{self, Write as _};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;
use rustc_hash::FxHashMap;

use dispatch_core::api::{Action, Seconds, WorkerId};

/// The timer tokens of the wire end here.
const MAX_TOKEN: u64 = 1 << 63;
/// The longest message to a peer, in bytes.
const MAX_MESSAGE: usize = 256;
/// The longest timer.
const MAX_TIMER: Seconds = 71.0 * 60.0;
/// The receiver of a message that goes to all.
const ALL_PEERS: i64 = -1;

/// The names by which the wire knows workers.
pub(crate) type WorkerNames = FxHashMap<WorkerId, Box<str>>;

/// The reply to one batch.
#[derive(Default)]
pub(crate) struct Reply {
    text: String,
    /// The instance that the last lines are from.
    instance: Box<str>,
}

impl Reply {
    /// A batch begins: its first line will name the instance.
    pub(crate) fn begin(&mut self) {
        self.instance = Box::default();
    }

    /// Ends the batch.
    pub(crate) fn end(&mut self) {
        self.text.push_str("OK\n");
    }

    /// Takes the text written so far.
    pub(crate) fn take(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Appends the actions of an instance.
    pub(crate) fn append(&mut self, instance: &str, actions: &mut Vec<Action>, names: &WorkerNames) {
        if actions.is_empty() {
            return;
        }
        if *self.instance != *instance {
            self.instance = instance.into();
            self.text.push_str(&format!("ON_BEHALF {instance}\n"));
        }
        for action in actions.drain(..) {
            // Writing to a String cannot fail.
            let _ = write_action(&mut self.text, &action, names);
        }
    }
}

/// Writes one line, or none for a worker that the wire never named.
fn write_action(out: &mut String, action: &Action, names: &WorkerNames) -> fmt::Result {
    match action {
        Action::Send { request, worker, timeout } => match (names.get(worker), timeout) {
            (None, _) => Ok(()),
            (Some(name), None) => writeln!(out, "PLACE {} {name}", request.0),
            (Some(name), Some(after)) => writeln!(out, "PLACE {} {name} {after}", request.0),
        },
        Action::Reject { request, retry_after: None } => writeln!(out, "BUSY {}", request.0),
        Action::Reject { request, retry_after: Some(wait) } => writeln!(out, "BUSY {} {wait}", request.0),
        Action::Fail { request } => writeln!(out, "DROP_REQUEST {}", request.0),
        Action::Cancel { request, attempt } => writeln!(out, "ABANDON {} {attempt}", request.0),
        Action::Probe(worker) => write_worker(out, "SOUND_OUT", *worker, names),
        Action::CloseIdle(worker) => write_worker(out, "CLOSE_IDLE", *worker, names),
        Action::SetTimer { after, token } => {
            writeln!(out, "SET_TIMER {} {}", after.clamp(0.0, MAX_TIMER), token % MAX_TOKEN)
        }
        Action::Watch(on) => writeln!(out, "LISTEN {}", u8::from(*on)),
        Action::FetchEndpointList => writeln!(out, "READ_LIST"),
        Action::SendToPeer { to, data } => write_message(out, *to, data),
        Action::Log(words) => writeln!(out, "NOTE_DOWN {}", words.replace(['\n', '\r'], " ")),
    }
}

fn write_worker(out: &mut String, word: &str, worker: WorkerId, names: &WorkerNames) -> fmt::Result {
    match names.get(&worker) {
        Some(name) => writeln!(out, "{word} {name}"),
        None => Ok(()),
    }
}

fn write_message(out: &mut String, to: Option<u32>, data: &[u8]) -> fmt::Result {
    let to = to.map_or(ALL_PEERS, i64::from);
    let data = BASE64.encode(&data[..data.len().min(MAX_MESSAGE)]);
    writeln!(out, "MEMO_TO {to} {}", if data.is_empty() { "-" } else { &data })
}
