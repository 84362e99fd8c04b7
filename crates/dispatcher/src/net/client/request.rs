//! Requests as jobs: what the head of a request asks for, checked before anything is decided.

use std::cell::Cell;

use bytes::Bytes;

use crate::config::{Config, Names};
use crate::engine::{Job, Micros, Payload};
use crate::net::http::status::reason;
use crate::net::http::{text, Head, Malformed};
use dispatch_core::api::{Request, RequestId};
use dispatch_core::hashing::hash_bytes;

/// No id or key is longer.
const MAX_ID_BYTES: usize = 256;
/// Headers that a request has once at the most.
const SINGLE_HEADERS: [&str; 6] =
    ["Request-Id", "Idempotency-Key", "Tenant", "Request-Timeout-Ms", "Work-Hint", "Client-Retry"];

/// Why a request is not taken.
pub(super) struct RequestRejection(pub(super) u16, pub(super) &'static str);

impl From<Malformed> for RequestRejection {
    fn from(malformed: Malformed) -> Self {
        RequestRejection(malformed.status(), reason(malformed.status()))
    }
}

/// What the head asks for: a job, or none where it asks whether the dispatcher is ready.
pub(super) fn parse_job(
    config: &Config,
    head: &Head,
    method: &Bytes,
    target: &Bytes,
) -> Result<Option<Box<Job>>, RequestRejection> {
    let names = &config.names;
    let target_text = text(target).filter(|t| t.starts_with('/') && t.bytes().all(|b| b.is_ascii_graphic()));
    let target_text = target_text.ok_or(RequestRejection(400, "the target must be a path"))?;
    let (path, query) = target_text.split_once('?').unwrap_or((target_text, ""));
    if path == "/healthz" {
        return match &method[..] {
            b"GET" => Ok(None),
            _ => Err(RequestRejection(405, "ask for this with GET")),
        };
    }
    let name = path[1..].split('/').next().unwrap_or("");
    let class = names.classes.iter().position(|c| c.name == name);
    let class = class.ok_or(RequestRejection(404, "there is no such class of request"))?;
    let info = &names.classes[class];
    if &method[..] != b"POST" {
        return Err(RequestRejection(405, "jobs come by POST"));
    }
    check_headers_come_once(head)?;
    let (id, idempotency_key) = parse_ids(head)?;
    if info.requires_idempotency_key && idempotency_key.is_none() {
        return Err(RequestRejection(400, "Idempotency-Key is missing"));
    }
    let tenant = parse_tenant(head, names)?;
    let timeout = match head.header_text("Request-Timeout-Ms") {
        // No client waits longer than its class lets it.
        Some(v) => parse_number::<Micros>(v, "Request-Timeout-Ms")?.saturating_mul(1000).min(info.timeout),
        None => info.timeout,
    };
    // Whole microseconds of running on a standard core.
    let hint = match head.header("Work-Hint").map(|v| text(v).unwrap_or("")) {
        Some(v) => Some(parse_number::<u64>(v, "Work-Hint")?).filter(|v| *v > 0),
        None => None,
    };
    let mut request = Request {
        id: RequestId(0),
        class: class as u32,
        tenant,
        slots: 1.0,
        memory: 0.0,
        timeout: 0.0,
        is_retry: head.header_text("Client-Retry") == Some("1"),
        expected_run_time: hint.map(|micros| micros as f64 / 1e6),
        affinity_key: query
            .split('&')
            .find_map(|p| p.strip_prefix("sid="))
            .filter(|k| !k.is_empty())
            .map(affinity_key),
    };
    apply_request_info(&mut request, head)?;
    let payload = Payload {
        id,
        method: method.clone(),
        target: target.clone(),
        idempotency_key,
        body: Bytes::new(),
        class: info.name.as_str().into(),
        concluded: Cell::default(),
    };
    Ok(Some(Box::new(Job { request, timeout, payload })))
}

/// Of two values a worker might heed the other one.
fn check_headers_come_once(head: &Head) -> Result<(), RequestRejection> {
    if SINGLE_HEADERS.into_iter().any(|name| head.count_headers(name) > 1) {
        return Err(RequestRejection(400, "a header that must come once comes again"));
    }
    Ok(())
}

/// The request's id, and its idempotency key where it has one. They reach a worker as they are. On what it cannot read
/// it closes, whatever else waits there.
fn parse_ids(head: &Head) -> Result<(Bytes, Option<Bytes>), RequestRejection> {
    let id = head.header("Request-Id").filter(|id| !id.is_empty());
    let id = id.ok_or(RequestRejection(400, "Request-Id is missing"))?.clone();
    let idempotency_key = head.header("Idempotency-Key").filter(|k| !k.is_empty()).cloned();
    let plain = |bytes: &Bytes| bytes.len() <= MAX_ID_BYTES && bytes.iter().all(u8::is_ascii_graphic);
    if !plain(&id) || !idempotency_key.as_ref().is_none_or(plain) {
        return Err(RequestRejection(400, "Request-Id and Idempotency-Key are plain words"));
    }
    Ok((id, idempotency_key))
}

/// The tenant by its place in the settings; the first where there are none.
fn parse_tenant(head: &Head, names: &Names) -> Result<u32, RequestRejection> {
    if names.tenants.is_empty() {
        return Ok(0);
    }
    let tenant = head.header_text("Tenant").ok_or(RequestRejection(400, "Tenant is missing"))?;
    let place = names.tenants.iter().position(|known| known == tenant);
    place.map(|place| place as u32).ok_or(RequestRejection(400, "there is no such Tenant"))
}

/// Takes what `Request-Info` says of the work over into the request.
fn apply_request_info(request: &mut Request, head: &Head) -> Result<(), RequestRejection> {
    for (name, value) in head.header_text("Request-Info").unwrap_or("").split(',').filter_map(parse_pair) {
        let figure = || parse_number::<f64>(value, "Request-Info").map(|v| v.clamp(0.0, 1e9));
        match name {
            "slots" | "cores-needed" => request.slots = figure()?,
            "memory" | "ram-units" => request.memory = figure()?,
            "hint" | "expected-s" => request.expected_run_time = Some(figure()?).filter(|v| *v > 0.0),
            _ => {}
        }
    }
    Ok(())
}

fn parse_pair(text: &str) -> Option<(&str, &str)> {
    text.split_once('=').map(|(name, value)| (name.trim(), value.trim()))
}

fn parse_number<T: std::str::FromStr + PartialOrd + Default>(
    text: &str,
    header: &str,
) -> Result<T, RequestRejection> {
    let malformed = match header {
        "Request-Info" => RequestRejection(400, "Request-Info holds what is no number"),
        "Work-Hint" => RequestRejection(400, "Work-Hint is no whole number of microseconds"),
        _ => RequestRejection(400, "Request-Timeout-Ms is no whole number"),
    };
    // Also false for what is neither: not a number.
    match text.trim().parse::<T>() {
        Ok(v) if v >= T::default() => Ok(v),
        _ => Err(malformed),
    }
}

/// A key as the module knows it: the same at every dispatcher.
fn affinity_key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| hash_bytes(text.as_bytes()))
}
