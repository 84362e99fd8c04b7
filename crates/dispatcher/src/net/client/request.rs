//! Parses requests: the head of a request is validated before any decision, and becomes a job.

use std::cell::Cell;
use std::str::FromStr;

use bytes::Bytes;

use super::protocol::{
    RequestFigure, AFFINITY_KEY_PARAMETER, CLIENT_RETRY, CLIENT_RETRY_HEADER, HEALTH_METHOD, HEALTH_PATH,
    IDEMPOTENCY_KEY_HEADER, JOB_METHOD, REQUEST_ID_HEADER, REQUEST_INFO_HEADER, SINGLE_HEADERS,
    TENANT_HEADER, TIMEOUT_HEADER, WORK_HINT_HEADER,
};
use super::request_error::RequestError;
use crate::config::{ClassInfo, Config, Names};
use crate::engine::{Job, Micros, Payload};
use crate::net::http::{text, Head};
use crate::net::memory::{MemoryExhausted, MemoryPool};
use dispatch_core::api::{Request, RequestId};
use dispatch_core::hashing::hash_bytes;

/// Maximum length of an id or key, in bytes.
const MAX_ID_BYTES: usize = 256;
/// Maximum value of a figure of a job; a larger value is reduced to it.
const MAX_FIGURE: f64 = 1e9;
const MICROS_PER_MS: Micros = 1_000;
const MICROS_PER_S: f64 = 1e6;
const HEXADECIMAL: u32 = 16;

/// A request of a client.
pub(super) enum ClientRequest {
    /// A check whether the dispatcher is ready.
    HealthCheck,
    /// A job, without its body.
    Job(Box<Job>),
}

/// Id and idempotency key of a request, as a worker receives them.
struct RequestIds {
    request_id: Bytes,
    idempotency_key: Option<Bytes>,
}

/// Path and query of a target.
struct Target<'a> {
    path: &'a str,
    query: &'a str,
}

/// Parses the head of a request. The job gets the settings of the configuration by which its head is checked.
///
/// # Errors
/// Returns the first [`RequestError`] of the head.
pub(super) fn parse_request(
    config: &Config,
    head: &Head,
    method: &Bytes,
    target: &Bytes,
) -> Result<ClientRequest, RequestError> {
    let Target { path, query } = parse_target(target)?;
    if path == HEALTH_PATH {
        return match &method[..] {
            HEALTH_METHOD => Ok(ClientRequest::HealthCheck),
            _ => Err(RequestError::HealthMethod),
        };
    }
    let class = parse_class(path, &config.names)?;
    if &method[..] != JOB_METHOD {
        return Err(RequestError::JobMethod);
    }
    check_single_headers(head)?;
    let info = &config.names.classes[class];
    let ids = parse_ids(head)?;
    if info.requires_idempotency_key && ids.idempotency_key.is_none() {
        return Err(RequestError::MissingIdempotencyKey);
    }
    let tenant = parse_tenant(head, &config.names)?;
    let timeout = parse_timeout(head, info)?;
    let mut request = Request {
        id: RequestId(0),
        class: class as u32,
        tenant,
        slots: 1.0,
        memory: 0.0,
        timeout: 0.0,
        is_retry: head.header_text(CLIENT_RETRY_HEADER) == Some(CLIENT_RETRY),
        expected_run_time: parse_work_hint(head)?,
        affinity_key: parse_affinity_key(query),
    };
    apply_request_info(&mut request, head)?;
    let payload = Payload {
        id: ids.request_id,
        method: method.clone(),
        target: target.clone(),
        idempotency_key: ids.idempotency_key,
        body: Bytes::new(),
        class: info.name.as_str().into(),
        concluded: Cell::default(),
        write_started: Cell::default(),
    };
    let settings = config.settings.for_job(request.class);
    Ok(ClientRequest::Job(Box::new(Job { request, settings, timeout, payload })))
}

impl Payload {
    /// Replaces the parts of the head by copies, so that an open job does not hold the whole head.
    ///
    /// # Errors
    /// Returns [`MemoryExhausted`] if a part is long and does not fit.
    pub(super) fn detach(&mut self, memory: &MemoryPool) -> Result<(), MemoryExhausted> {
        self.id = memory.copy(&self.id)?;
        self.method = memory.copy(&self.method)?;
        self.target = memory.copy(&self.target)?;
        if let Some(key) = &mut self.idempotency_key {
            *key = memory.copy(key)?;
        }
        Ok(())
    }
}

fn parse_target(target: &Bytes) -> Result<Target<'_>, RequestError> {
    let target = text(target).ok_or(RequestError::InvalidTarget)?;
    if !target.starts_with('/') || !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(RequestError::InvalidTarget);
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Target { path, query })
}

/// Returns the index of the class that the first segment of a path names.
fn parse_class(path: &str, names: &Names) -> Result<usize, RequestError> {
    let name = path[1..].split('/').next().unwrap_or("");
    let position = names.class_names.current_position(name).map(|position| position as usize);
    position.ok_or(RequestError::UnknownClass)
}

fn check_single_headers(head: &Head) -> Result<(), RequestError> {
    if SINGLE_HEADERS.into_iter().any(|name| head.count_headers(name) > 1) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

/// Parses the ids strictly, because a worker that cannot read an id closes the connection, with the other requests on
/// it.
fn parse_ids(head: &Head) -> Result<RequestIds, RequestError> {
    let request_id = head.header(REQUEST_ID_HEADER).filter(|id| !id.is_empty());
    let request_id = request_id.ok_or(RequestError::MissingRequestId)?.clone();
    let idempotency_key = head.header(IDEMPOTENCY_KEY_HEADER).filter(|key| !key.is_empty()).cloned();
    let is_valid = |id: &Bytes| id.len() <= MAX_ID_BYTES && id.iter().all(u8::is_ascii_graphic);
    if !is_valid(&request_id) || !idempotency_key.as_ref().is_none_or(is_valid) {
        return Err(RequestError::InvalidId);
    }
    Ok(RequestIds { request_id, idempotency_key })
}

/// Returns the index of the tenant in the settings; 0 if the settings contain no tenants.
fn parse_tenant(head: &Head, names: &Names) -> Result<u32, RequestError> {
    if names.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = head.header_text(TENANT_HEADER).ok_or(RequestError::MissingTenant)?;
    names.tenants.current_position(tenant).ok_or(RequestError::UnknownTenant)
}

/// Returns the timeout of a request; the timeout of its class is the default and the maximum.
fn parse_timeout(head: &Head, class: &ClassInfo) -> Result<Micros, RequestError> {
    let Some(text) = head.header_text(TIMEOUT_HEADER) else { return Ok(class.timeout) };
    let timeout_ms: Micros = parse_number(text, RequestError::InvalidTimeout)?;
    Ok(timeout_ms.saturating_mul(MICROS_PER_MS).min(class.timeout))
}

/// Returns the expected running time in seconds; `None` if it is 0 or not stated.
fn parse_work_hint(head: &Head) -> Result<Option<f64>, RequestError> {
    let Some(value) = head.header(WORK_HINT_HEADER) else { return Ok(None) };
    let micros: u64 = parse_number(text(value).unwrap_or(""), RequestError::InvalidWorkHint)?;
    Ok((micros > 0).then_some(micros as f64 / MICROS_PER_S))
}

/// Returns the affinity key of a query; the same text results in the same key at every dispatcher.
fn parse_affinity_key(query: &str) -> Option<u64> {
    let text = query.split('&').find_map(|parameter| parameter.strip_prefix(AFFINITY_KEY_PARAMETER))?;
    if text.is_empty() {
        return None;
    }
    Some(u64::from_str_radix(text, HEXADECIMAL).unwrap_or_else(|_| hash_bytes(text.as_bytes())))
}

/// Applies the figures of the job that the client states in [`REQUEST_INFO_HEADER`].
fn apply_request_info(request: &mut Request, head: &Head) -> Result<(), RequestError> {
    for pair in head.header_text(REQUEST_INFO_HEADER).unwrap_or("").split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(figure) = RequestFigure::from_name(name.trim()) else { continue };
        let value: f64 = parse_number(value, RequestError::InvalidRequestInfo)?;
        let value = value.clamp(0.0, MAX_FIGURE);
        match figure {
            RequestFigure::Slots => request.slots = value,
            RequestFigure::Memory => request.memory = value,
            RequestFigure::ExpectedRunTime => {
                request.expected_run_time = Some(value).filter(|time| *time > 0.0)
            }
        }
    }
    Ok(())
}

/// Parses a number of at least 0.
fn parse_number<T: FromStr + PartialOrd + Default>(
    text: &str,
    error: RequestError,
) -> Result<T, RequestError> {
    // The comparison is also false for NaN.
    match text.trim().parse::<T>() {
        Ok(value) if value >= T::default() => Ok(value),
        _ => Err(error),
    }
}
