//! Parser of the input lines that are events of a dispatcher.

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine as _;

use dispatch_core::api::{Event, ListScope, LoadReport, Outcome, Request, RequestId, Settings};
use dispatch_core::load_report::LoadReportFormat;
use dispatch_core::settings_pairs::InvalidValue;

use crate::fields::{Fields, Line};
use crate::lists::EndpointLists;
use crate::wire::{
    list_scope_from_name, outcome_from_number, EventKind, UpdateTopic, FLAG_EXPECTED_WORK, FLAG_RETRY,
    LIST_SCOPES, OUTCOME_OK,
};
use crate::worker_id;

// Descriptions of expected values, for errors.
const EVENT: &str = "an event of the protocol";
const REQUEST: &str = "a request";
const ATTEMPT: &str = "an attempt number";
const OUTCOME: &str = "an outcome";

/// Parses the events of one instance.
pub(crate) struct EventReader<'a> {
    /// Settings of this instance.
    pub(crate) settings: &'a Settings,
    /// Endpoint lists that events refer to.
    pub(crate) lists: &'a EndpointLists,
    /// Buffer for the bytes of a message while its event is handled.
    pub(crate) message: &'a mut Vec<u8>,
}

impl<'a> EventReader<'a> {
    /// Parses an event; returns `None` for an update with a topic that dispatchers do not use.
    pub(crate) fn read(self, line: Line<'_>) -> Result<Option<Event<'a>>, InvalidValue> {
        let Some(kind) = EventKind::from_name(line.name) else {
            return Err(InvalidValue::new(EVENT, line.text));
        };
        let fields = line.fields;
        let event = match kind {
            EventKind::Request => read_accepted_request(fields, self.settings)?,
            EventKind::StreamStarted => read_stream_started(fields)?,
            EventKind::Update => return read_update(fields),
            EventKind::AttemptEnded => read_response(fields, &self.settings.load_report_format)?,
            EventKind::ClientDisconnected => Event::ClientDisconnected(read_id(fields)?),
            EventKind::Timer => read_timer(fields)?,
            EventKind::ProbeEnded => read_probe_result(fields, &self.settings.load_report_format)?,
            EventKind::PeerMessage => read_message(fields, self.message)?,
            EventKind::EndpointList => read_list(fields, self.lists)?,
        };
        Ok(Some(event))
    }
}

fn read_id(mut fields: Fields<'_>) -> Result<RequestId, InvalidValue> {
    Ok(RequestId(fields.required(REQUEST)?))
}

/// Parses a request, which is accepted under the settings of the instance.
fn read_accepted_request<'a>(fields: Fields<'_>, settings: &Settings) -> Result<Event<'a>, InvalidValue> {
    let request = read_request(fields)?;
    Ok(Event::Request { request, settings: settings.for_job(request.class) })
}

fn read_request(mut fields: Fields<'_>) -> Result<Request, InvalidValue> {
    let id = RequestId(fields.required(REQUEST)?);
    let slots = fields.number("slots")?.unwrap_or(1.0);
    let timeout = fields.number("the client's timeout")?.unwrap_or(0.0);
    let tenant = fields.optional("a tenant")?.unwrap_or(0);
    let flags: u32 = fields.optional("flags")?.unwrap_or(0);
    let memory = fields.number("memory units")?.unwrap_or(0.0);
    let is_retry = flags & FLAG_RETRY != 0;
    let expected_run_time = fields.number("expected work")?.filter(|_| flags & FLAG_EXPECTED_WORK != 0);
    let class = fields.optional("a class")?.unwrap_or(0);
    let affinity_key = fields.optional("an affinity key")?;
    Ok(Request { id, class, tenant, slots, memory, timeout, is_retry, expected_run_time, affinity_key })
}

fn read_stream_started<'a>(mut fields: Fields<'_>) -> Result<Event<'a>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    Ok(Event::StreamStarted { request, attempt: fields.required(ATTEMPT)? })
}

/// Parses an update on a running job; returns `None` if dispatchers do not use its topic.
fn read_update<'a>(mut fields: Fields<'_>) -> Result<Option<Event<'a>>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    fields.text();
    let topic = fields.required("a topic")?;
    let attempt = fields.required(ATTEMPT)?;
    let Some(topic) = UpdateTopic::from_number(topic) else { return Ok(None) };
    Ok(Some(match topic {
        UpdateTopic::JobStarted => Event::JobStarted { request, attempt },
        UpdateTopic::Progress => {
            let done = fields.number("the completed fraction")?.unwrap_or(0.0);
            Event::Progress { request, attempt, done }
        }
    }))
}

fn read_response<'a>(mut fields: Fields<'_>, format: &LoadReportFormat) -> Result<Event<'a>, InvalidValue> {
    let request = RequestId(fields.required(REQUEST)?);
    fields.number("the time since the request was sent")?;
    fields.text();
    let attempt = fields.required(ATTEMPT)?;
    fields.text();
    let complete = fields.flag("complete as 0 or 1")?;
    let outcome = read_outcome(&mut fields)?;
    let load = read_load(&mut fields, format)?;
    Ok(Event::AttemptEnded { request, attempt, outcome, complete, load })
}

fn read_outcome(fields: &mut Fields<'_>) -> Result<Outcome, InvalidValue> {
    let number = fields.required(OUTCOME)?;
    outcome_from_number(number).ok_or_else(|| InvalidValue::new(OUTCOME, &number.to_string()))
}

fn read_load(fields: &mut Fields<'_>, format: &LoadReportFormat) -> Result<Option<LoadReport>, InvalidValue> {
    fields.text().map(|text| format.parse_positional(text)).transpose()
}

fn read_timer<'a>(mut fields: Fields<'_>) -> Result<Event<'a>, InvalidValue> {
    Ok(Event::Timer(fields.required("a timer token")?))
}

fn read_probe_result<'a>(
    mut fields: Fields<'_>,
    format: &LoadReportFormat,
) -> Result<Event<'a>, InvalidValue> {
    let ok = fields.required::<u32>(OUTCOME)? == OUTCOME_OK;
    let worker = worker_id(fields.required_text("a worker")?);
    fields.number("the time since the request was sent")?;
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
    let scope = fields.named(LIST_SCOPES, list_scope_from_name)?;
    let list = fields.optional("a list number")?;
    let endpoints = if scope == ListScope::Failed { &[] } else { lists.get(list)? };
    Ok(Event::EndpointList { scope, endpoints })
}
