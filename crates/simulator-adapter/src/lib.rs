//! The text wire: batches of events in, one reply of actions out, and the dispatchers that answer.
//!
//! [`Host`] reads lines and holds one [`Dispatcher`] for each instance that the wire names. It takes no
//! decision. Instances share the table of worker names and nothing else; a [`WorkerId`] is a hash of the
//! name, so it is the same in every process.

use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};
use std::str::{FromStr, Split};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;
use rustc_hash::FxHashMap;

use dispatch_core::api::{
    Action, Endpoint, Event, ListScope, LoadReport, Outcome, Request, RequestId, Seconds, WorkerId,
    WorkerState,
};
use dispatch_core::load_report::LoadReportFormat;
pub use dispatch_core::settings::worker_id;
use dispatch_core::settings::{invalid, parse_settings, InvalidValue, Parsed, SettingsPairs};
use dispatch_core::Dispatcher;

/// How many numbered worker lists the wire keeps.
const LISTS: usize = 16;
/// The timer tokens of the wire end here.
const MAX_TOKEN: u64 = 1 << 63;
/// The longest message to a peer, in bytes.
const MAX_TELL: usize = 256;
/// The longest timer, in seconds.
const MAX_TIMER: Seconds = 71.0 * 60.0;

/// What was wrong with a line.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The number of the line, from 1.
    pub line: u64,
    /// What was expected there.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}, found '{}'", self.line, self.expected, self.found)
    }
}

/// Why the host stopped.
#[derive(Debug)]
pub enum HostError {
    /// The input broke the protocol.
    Malformed(Malformed),
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostError::Malformed(m) => m.fmt(f),
            HostError::Io(e) => write!(f, "input or output failed: {e}"),
        }
    }
}

impl std::error::Error for HostError {}

impl From<io::Error> for HostError {
    fn from(e: io::Error) -> Self {
        HostError::Io(e)
    }
}

/// The values of one line, in order; `-` and values left off the end are absent.
struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self) -> Option<&'a str> {
        self.0.next().filter(|v| *v != "-" && !v.is_empty())
    }

    fn opt<T: FromStr>(&mut self, what: &str) -> Parsed<Option<T>> {
        match self.text() {
            None => Ok(None),
            Some(v) => v.parse().map(Some).or_else(|_| invalid(what, v)),
        }
    }

    fn need<T: FromStr>(&mut self, what: &str) -> Parsed<T> {
        match self.opt(what)? {
            Some(v) => Ok(v),
            None => invalid(what, "nothing"),
        }
    }

    /// A finite number.
    fn num(&mut self, what: &str) -> Parsed<Option<f64>> {
        match self.opt::<f64>(what)? {
            Some(v) if !v.is_finite() => invalid(what, &v.to_string()),
            v => Ok(v),
        }
    }

    fn flag(&mut self, what: &str) -> Parsed<bool> {
        match self.text() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(v) => invalid(what, v),
        }
    }
}

/// One hosted dispatcher.
struct Instance {
    dispatcher: Dispatcher,
    report: LoadReportFormat,
}

impl Instance {
    fn load(&self, text: Option<&str>) -> Parsed<Option<LoadReport>> {
        text.map(|text| self.report.parse_positional(text)).transpose()
    }
}

/// Hosts dispatchers on the wire.
#[derive(Default)]
pub struct Host {
    instances: FxHashMap<Box<str>, Instance>,
    names: FxHashMap<WorkerId, Box<str>>,
    lists: [Vec<Endpoint>; LISTS],
    /// The instance that the events at hand concern, and the one that the reply speaks for.
    context: Box<str>,
    speaker: Box<str>,
    now: Seconds,
    /// Of the list being read: its number, and how many lines are missing.
    reading: Option<(usize, usize)>,
    in_batch: bool,
    line: u64,
    actions: Vec<Action>,
    reply: String,
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host").field("instances", &self.instances.len()).field("line", &self.line).finish()
    }
}

impl Host {
    /// Answers batches until the input ends.
    ///
    /// # Errors
    /// A malformed line, or an input or output that fails. Whole replies only have been written by then.
    pub fn serve(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        let mut buffer = Vec::new();
        loop {
            buffer.clear();
            if input.read_until(b'\n', &mut buffer)? == 0 {
                return if self.in_batch {
                    self.line += 1;
                    Err(self
                        .located(InvalidValue { expected: "EOF_BATCH".into(), found: "end of input".into() }))
                } else {
                    Ok(())
                };
            }
            self.line += 1;
            let step = match std::str::from_utf8(&buffer) {
                Ok(line) => self.line(line.trim_end_matches(['\n', '\r'])),
                Err(_) => invalid("UTF-8 text", &String::from_utf8_lossy(&buffer)),
            };
            if step.map_err(|b| self.located(b))? {
                output.write_all(self.reply.as_bytes())?;
                output.flush()?;
                self.reply.clear();
            }
        }
    }

    fn located(&self, b: InvalidValue) -> HostError {
        HostError::Malformed(Malformed { line: self.line, expected: b.expected, found: b.found })
    }

    /// Takes one line; true when it ended a batch.
    fn line(&mut self, line: &str) -> Parsed<bool> {
        let mut fields = Fields(line.split(' '));
        let name = fields.0.next().unwrap_or("");
        if let Some((list, missing)) = self.reading {
            if name != "WORKER" {
                return invalid("a WORKER line of the list", line);
            }
            let member = self.member(&mut fields)?;
            self.lists[list].push(member);
            self.reading = (missing > 1).then_some((list, missing - 1));
            return Ok(false);
        }
        match name {
            "SYNC" if !self.in_batch => {
                self.now = match fields.num("the clock in seconds")? {
                    Some(now) => now,
                    None => return invalid("the clock in seconds", "nothing"),
                };
                self.in_batch = true;
                self.speaker = Box::default();
            }
            "" if !self.in_batch => {}
            _ if !self.in_batch => return invalid("SYNC", line),
            "EOF_BATCH" => {
                self.in_batch = false;
                self.reply.push_str("OK\n");
                return Ok(true);
            }
            "CONTEXT" => {
                let name: &str = match fields.text() {
                    Some(name) => name,
                    None => return invalid("an instance", "nothing"),
                };
                if *self.context != *name {
                    self.context = name.into();
                }
            }
            "REGISTER" => {
                let list: usize = fields.need("a list number from 0 to 15")?;
                if list >= LISTS {
                    return invalid("a list number from 0 to 15", &list.to_string());
                }
                let count: usize = fields.need("a count of entries")?;
                self.lists[list].clear();
                self.reading = (count > 0).then_some((list, count));
            }
            "INIT" => {
                if self.context.is_empty() {
                    return invalid("CONTEXT before INIT", line);
                }
                let seed = fields.need("a seed")?;
                let pairs = SettingsPairs::parse(fields.0)?;
                let settings = parse_settings(&pairs)?;
                let report = settings.load_report_format.clone();
                let mut dispatcher = Dispatcher::new(settings, seed);
                dispatcher.start(self.now, &mut self.actions);
                self.instances.insert(self.context.clone(), Instance { dispatcher, report });
                self.write_actions();
            }
            "KILL" => {
                self.instances.remove(&self.context);
            }
            _ => self.event(name, fields, line)?,
        }
        Ok(false)
    }

    fn member(&mut self, fields: &mut Fields<'_>) -> Parsed<Endpoint> {
        let Some(name) = fields.text() else { return invalid("a worker", "nothing") };
        let worker = worker_id(name);
        self.names.entry(worker).or_insert_with(|| name.into());
        let kind = fields.opt("a machine type")?.unwrap_or(0);
        // Slots and paces are learned, so this is checked and left.
        fields.num("a capacity hint")?;
        Ok(Endpoint {
            worker,
            kind,
            started_at: fields.num("a start time")?.unwrap_or(0.0),
            zone: fields.opt("a zone")?.unwrap_or(0),
            cell: fields.opt("a cell")?.unwrap_or(0),
            state: match fields.text() {
                Some("SERVING") => WorkerState::Serving,
                Some("DRAINING") => WorkerState::Draining,
                Some("DELETED") => WorkerState::Removed,
                other => return invalid("SERVING, DRAINING or DELETED", other.unwrap_or("nothing")),
            },
        })
    }

    fn event(&mut self, name: &str, mut f: Fields<'_>, line: &str) -> Parsed<()> {
        let Some(instance) = self.instances.get_mut(&self.context) else {
            return Ok(()); // Late for an instance that was killed: odd, but no fault of the line.
        };
        let data;
        let event = match name {
            "KNOCK" => {
                let id = RequestId(f.need("a request")?);
                let slots = f.num("slots")?.unwrap_or(1.0);
                let patience = f.num("the client's patience")?.unwrap_or(0.0);
                let tenant = f.opt("a tenant")?.unwrap_or(0);
                let flags: u32 = f.opt("flags")?.unwrap_or(0);
                let memory = f.num("memory units")?.unwrap_or(0.0);
                let retry = flags & 2 != 0;
                let expected = f.num("expected work")?.filter(|_| flags & 1 != 0);
                let class = f.opt("a class")?.unwrap_or(0);
                let key = f.opt("a key")?;
                Event::Request(Request {
                    id,
                    class,
                    tenant,
                    slots,
                    memory,
                    timeout: patience,
                    is_retry: retry,
                    expected_run_time: expected,
                    affinity_key: key,
                })
            }
            "STARTED" => Event::StreamStarted {
                request: RequestId(f.need("a request")?),
                attempt: f.need("an attempt number")?,
            },
            "UPDATE_OF" => {
                let request = RequestId(f.need("a request")?);
                f.text();
                let topic: u32 = f.need("a topic")?;
                let attempt = f.need("an attempt number")?;
                match topic {
                    1 => Event::JobStarted { request, attempt },
                    2 => Event::Progress { request, attempt, done: f.num("the part done")?.unwrap_or(0.0) },
                    _ => return Ok(()),
                }
            }
            "RESPONSE" => {
                let request = RequestId(f.need("a request")?);
                f.num("a time since the send")?;
                f.text();
                let attempt = f.need("an attempt number")?;
                f.text();
                let complete = f.flag("complete as 0 or 1")?;
                let outcome = match f.need::<u32>("an outcome")? {
                    0 => Outcome::Ok,
                    13 => Outcome::Error,
                    8 => Outcome::Overloaded,
                    4 => Outcome::Timeout,
                    14 => Outcome::ConnectFailed,
                    10 => Outcome::Reset,
                    1 => Outcome::Cancelled,
                    9 => Outcome::NotSent,
                    other => return invalid("an outcome", &other.to_string()),
                };
                let load = instance.load(f.text())?;
                Event::AttemptEnded { request, attempt, outcome, complete, load }
            }
            "CANCELLED_BY_CLIENT" => Event::ClientDisconnected(RequestId(f.need("a request")?)),
            "DEADLINE_HIT" => Event::Timer(f.need("a timer's name")?),
            "HEALTH_RESULT" => {
                let ok = f.need::<u32>("an outcome")? == 0;
                let Some(worker) = f.text() else { return invalid("a worker", "nothing") };
                f.num("a time since the send")?;
                Event::ProbeEnded { worker: worker_id(worker), ok, load: instance.load(f.text())? }
            }
            "WHISPER" => {
                let from = f.need("a sender")?;
                let text = f.text().unwrap_or("");
                data = BASE64.decode(text).or_else(|_| invalid("base64", text))?;
                Event::PeerMessage { from, data: &data }
            }
            "FLEET" => {
                let scope = match f.text() {
                    Some("FULL") => ListScope::Full,
                    Some("SAVED") => ListScope::Cached,
                    Some("INCREMENTAL") => ListScope::Incremental,
                    Some("FAILED") => ListScope::Failed,
                    other => {
                        return invalid("INCREMENTAL, FULL, SAVED or FAILED", other.unwrap_or("nothing"));
                    }
                };
                let members = match f.opt::<usize>("a list number")? {
                    _ if scope == ListScope::Failed => &[],
                    Some(list) if list < LISTS => &self.lists[list][..],
                    other => return invalid("a list number from 0 to 15", &format!("{other:?}")),
                };
                Event::EndpointList { scope, endpoints: members }
            }
            _ => return invalid("an event of the wire", line),
        };
        instance.dispatcher.on_event(self.now, event, &mut self.actions);
        self.write_actions();
        Ok(())
    }

    /// Appends the actions at hand to the reply.
    fn write_actions(&mut self) {
        if self.actions.is_empty() {
            return;
        }
        let out = &mut self.reply;
        if self.speaker != self.context {
            self.speaker = self.context.clone();
            let _ = writeln!(out, "ON_BEHALF {}", self.speaker);
        }
        for action in self.actions.drain(..) {
            // Writing to a String cannot fail.
            let _ = match action {
                Action::Send { request, worker, timeout } => match (self.names.get(&worker), timeout) {
                    (None, _) => Ok(()),
                    (Some(name), None) => writeln!(out, "PLACE {} {name}", request.0),
                    (Some(name), Some(after)) => writeln!(out, "PLACE {} {name} {after}", request.0),
                },
                Action::Reject { request, retry_after: None } => writeln!(out, "BUSY {}", request.0),
                Action::Reject { request, retry_after: Some(s) } => writeln!(out, "BUSY {} {s}", request.0),
                Action::Fail { request } => writeln!(out, "DROP_REQUEST {}", request.0),
                Action::Cancel { request, attempt } => writeln!(out, "ABANDON {} {attempt}", request.0),
                Action::Probe(worker) => match self.names.get(&worker) {
                    Some(name) => writeln!(out, "SOUND_OUT {name}"),
                    None => Ok(()),
                },
                Action::CloseIdle(worker) => match self.names.get(&worker) {
                    Some(name) => writeln!(out, "CLOSE_IDLE {name}"),
                    None => Ok(()),
                },
                Action::SetTimer { after, token } => {
                    writeln!(out, "SET_TIMER {} {}", after.clamp(0.0, MAX_TIMER), token % MAX_TOKEN)
                }
                Action::Watch(on) => writeln!(out, "LISTEN {}", u8::from(on)),
                Action::FetchEndpointList => writeln!(out, "READ_LIST"),
                Action::SendToPeer { to, data } => {
                    let to = to.map_or(-1, i64::from);
                    let data = BASE64.encode(&data[..data.len().min(MAX_TELL)]);
                    writeln!(out, "MEMO_TO {to} {}", if data.is_empty() { "-" } else { &data })
                }
                Action::Log(words) => writeln!(out, "NOTE_DOWN {}", words.replace(['\n', '\r'], " ")),
            };
        }
    }
}
