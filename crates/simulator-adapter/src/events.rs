//! Reads the lines that are events of a dispatcher.

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;

use dispatch_core::api::{Event, ListScope, LoadReport, Outcome, Request, RequestId};
use dispatch_core::load_report::LoadReportFormat;
use dispatch_core::settings_pairs::InvalidValue;

use crate::fields::Fields;
use crate::lists::EndpointLists;
use crate::worker_id;

/// Flags of a request: its work is given, and it is a client's retry.
const FLAG_EXPECTED_WORK: u32 = 1;
const FLAG_RETRY: u32 = 2;

/// Descriptions of what is expected.
const REQUEST: &str = "a request";
const ATTEMPT: &str = "an attempt number";

/// What the lines of one instance are read by.
pub(crate) struct EventReader<'a> {
    pub format: &'a LoadReportFormat,
    pub lists: &'a EndpointLists,
    /// Holds the bytes of a message while its event is handled.
    pub message: &'a mut Vec<u8>,
}

impl<'a> EventReader<'a> {
    /// Reads an event by its name and values; none where it is of no use here.
    pub(crate) fn read(
        self,
        name: &str,
        fields: Fields<'_>,
        line: &str,
    ) -> Result<Option<Event<'a>>, InvalidValue> {
        let event = match name {
            "KNOCK" => Event::Request(read_request(fields)?),
            "STARTED" => read_stream_started(fields)?,
            "UPDATE_OF" => return read_update(fields),
            "RESPONSE" => read_response(fields, self.format)?,
            "CANCELLED_BY_CLIENT" => Event::ClientDisconnected(read_id(fields)?),
            "DEADLINE_HIT" => read_timer(fields)?,
            "HEALTH_RESULT" => read_probe_result(fields, self.format)?,
            "WHISPER" => read_message(fields, self.message)?,
            "FLEET" => read_list(fields, self.lists)?,
            _ => return Err(InvalidValue::new("an event of the wire", line)),
        };
        Ok(Some(event))
    }
}

fn read_id(mut fields: Fields<'_>) -> Result<RequestId, InvalidValue> {
    Ok(RequestId(fields.required(REQUEST)?))
}

fn read_request(mut fields: Fields<'_>) -> Result<Request, InvalidValue> {
    let id = RequestId(fields.required(REQUEST)?);
    let slots = fields.number("slots")?.unwrap_or(1.0);
    let timeout = fields.number("the client's patience")?.unwrap_or(0.0);
    let tenant = fields.optional("a tenant")?.unwrap_or(0);
    let flags: u32 = fields.optional("flags")?.unwrap_or(0);
    let memory = fields.number("memory units")?.unwrap_or(0.0);
    let is_retry = flags & FLAG_RETRY != 0;
    let expected_run_time = fields.number("expected work")?.filter(|_| flags & FLAG_EXPECTED_WORK != 0);
    let class = fields.optional("a class")?.unwrap_or(0);
    let affinity_key = fields.optional("a key")?;
    Ok(Request { id, class, tenant, slots, memory, timeout, is_retry, expected_run_time, affinity_key })
}

fn read_stream_started<'a>(mut fields: Fields<'_>) -> Result<Event<'a>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    Ok(Event::StreamStarted { request, attempt: fields.required(ATTEMPT)? })
}

/// An update on a running job, by its topic; a dispatcher has no use for other topics.
fn read_update<'a>(mut fields: Fields<'_>) -> Result<Option<Event<'a>>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    fields.text();
    let topic: u32 = fields.required("a topic")?;
    let attempt = fields.required(ATTEMPT)?;
    Ok(match topic {
        1 => Some(Event::JobStarted { request, attempt }),
        2 => {
            let done = fields.number("the part done")?.unwrap_or(0.0);
            Some(Event::Progress { request, attempt, done })
        }
        _ => None,
    })
}

fn read_response<'a>(mut fields: Fields<'_>, format: &LoadReportFormat) -> Result<Event<'a>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    fields.number("a time since the send")?;
    fields.text();
    let attempt = fields.required(ATTEMPT)?;
    fields.text();
    let complete = fields.flag("complete as 0 or 1")?;
    let outcome = read_outcome(&mut fields)?;
    let load = read_load(&mut fields, format)?;
    Ok(Event::AttemptEnded { request, attempt, outcome, complete, load })
}

fn read_outcome(fields: &mut Fields<'_>) -> Result<Outcome, InvalidValue> {
    const OUTCOME: &str = "an outcome";
    match fields.required::<u32>(OUTCOME)? {
        0 => Ok(Outcome::Ok),
        1 => Ok(Outcome::Cancelled),
        4 => Ok(Outcome::Timeout),
        8 => Ok(Outcome::Overloaded),
        9 => Ok(Outcome::NotSent),
        10 => Ok(Outcome::Reset),
        13 => Ok(Outcome::Error),
        14 => Ok(Outcome::ConnectFailed),
        other => Err(InvalidValue::new(OUTCOME, &other.to_string())),
    }
}

fn read_load(fields: &mut Fields<'_>, format: &LoadReportFormat) -> Result<Option<LoadReport>, InvalidValue> {
    fields.text().map(|text| format.parse_positional(text)).transpose()
}

fn read_timer<'a>(mut fields: Fields<'_>) -> Result<Event<'a>, InvalidValue> {
    Ok(Event::Timer(fields.required("a timer's name")?))
}

fn read_probe_result<'a>(
    mut fields: Fields<'_>,
    format: &LoadReportFormat,
) -> Result<Event<'a>, InvalidValue> {
    let ok = fields.required::<u32>("an outcome")? == 0;
    let worker = worker_id(fields.required_text("a worker")?);
    fields.number("a time since the send")?;
    let load = read_load(&mut fields, format)?;
    Ok(Event::ProbeEnded { worker, ok, load })
}

fn read_message<'a>(mut fields: Fields<'_>, message: &'a mut Vec<u8>) -> Result<Event<'a>, InvalidValue> {
    let from = fields.required("a sender")?;
    let text = fields.text().unwrap_or("");
    *message = BASE64.decode(text).map_err(|_| InvalidValue::new("base64", text))?;
    Ok(Event::PeerMessage { from, data: message })
}

fn read_list<'a>(mut fields: Fields<'_>, lists: &'a EndpointLists) -> Result<Event<'a>, InvalidValue> {
    const SCOPE: &str = "INCREMENTAL, FULL, SAVED or FAILED";
    let scope = match fields.text() {
        Some("FULL") => ListScope::Full,
        Some("SAVED") => ListScope::Cached,
        Some("INCREMENTAL") => ListScope::Incremental,
        Some("FAILED") => ListScope::Failed,
        other => return Err(InvalidValue::new(SCOPE, other.unwrap_or("nothing"))),
    };
    let list = fields.optional("a list number")?;
    let endpoints = if scope == ListScope::Failed { &[] } else { lists.get(list)? };
    Ok(Event::EndpointList { scope, endpoints })
}
