//! Reads the settings of an instance from path=value pairs. The simulator's adapter has them from its first
//! message; the real program has the same object as nested JSON and flattens it to the same paths.

use std::borrow::Cow;
use std::hash::Hasher as _;
use std::str::FromStr;

use rustc_hash::{FxHashMap, FxHasher};
use serde_json::Value;

use crate::api::{Class, Idempotency, KeyScope, LoadReports, Settings, Tenant, WorkerId};
use crate::load_report::LoadReportFormat;

/// The most classes or tenants that are read.
const MAX_LIST_LENGTH: usize = 4096;

/// A value that is not as it should be.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// What was expected: a path of the settings, or a description.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

/// A value, or what was wrong with it.
pub type Parsed<T> = Result<T, InvalidValue>;

/// A fault: what was expected, and the first letters of what stood there.
///
/// # Errors
/// Always.
pub fn invalid<T>(expected: &str, found: &str) -> Parsed<T> {
    Err(InvalidValue { expected: expected.to_owned(), found: found.chars().take(80).collect() })
}

/// The number by which the module knows a worker.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(hash_bytes(name.as_bytes()))
}

/// The number by which the module knows a key that is no number.
pub fn hash_bytes(text: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text);
    // FxHash leaves the low bits of like names alike; one more round spreads them over all bits.
    let mut h = hasher.finish();
    h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// The settings as path=value pairs.
#[derive(Debug)]
pub struct SettingsPairs<'a>(FxHashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> SettingsPairs<'a> {
    /// Of a line of the wire.
    pub fn parse(fields: impl Iterator<Item = &'a str>) -> Parsed<Self> {
        let mut pairs = FxHashMap::default();
        for pair in fields.filter(|p| !p.is_empty() && *p != "-") {
            match pair.split_once('=') {
                Some((path, value)) => pairs.insert(path.into(), value.into()),
                None => return invalid("settings as path=value", pair),
            };
        }
        Ok(SettingsPairs(pairs))
    }

    /// Of nested JSON.
    pub fn from_json(value: &'a Value) -> Self {
        let mut pairs = SettingsPairs(FxHashMap::default());
        pairs.insert(String::new(), value);
        pairs
    }

    fn insert(&mut self, path: String, value: &'a Value) {
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, v)| self.insert(under(key), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count").into(), items.len().to_string().into());
                items.iter().enumerate().for_each(|(i, v)| self.insert(under(&i.to_string()), v));
            }
            Value::Array(items) => {
                let items: Vec<Cow<'_, str>> = items.iter().map(scalar).collect();
                self.0.insert(path.into(), items.join(",").into());
            }
            plain => {
                self.0.insert(path.into(), scalar(plain));
            }
        }
    }

    /// The value at a path, or the default where nothing stands there.
    pub fn get<T: FromStr>(&self, path: &str, default: T) -> Parsed<T> {
        match self.0.get(path) {
            None => Ok(default),
            Some(v) => v.parse().or_else(|_| invalid(path, v)),
        }
    }

    /// A finite number that is not negative.
    pub fn non_negative(&self, path: &str, default: f64) -> Parsed<f64> {
        match self.get(path, default)? {
            v if v.is_finite() && v >= 0.0 => Ok(v),
            v => invalid(path, &v.to_string()),
        }
    }

    /// The value at a path as it stands; empty where there is none.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", |v| v)
    }

    /// The values of a list of plain values.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        self.text(path).split(',').filter(|v| !v.is_empty())
    }

    /// The names of a list of objects, in order.
    pub fn names(&self, list: &str) -> Parsed<Vec<String>> {
        Ok((0..self.count(list)?).map(|i| self.text(&format!("{list}.{i}.name")).to_owned()).collect())
    }

    /// How many objects a list of objects has.
    pub fn count(&self, list: &str) -> Parsed<usize> {
        Ok(self.get::<usize>(&format!("{list}.count"), 0)?.min(MAX_LIST_LENGTH))
    }

    /// The value at a class's place in a list.
    fn nth<T: FromStr>(&self, path: &str, n: usize) -> Parsed<Option<T>> {
        match self.list(path).nth(n) {
            None => Ok(None),
            Some(v) => v.parse().map(Some).or_else(|_| invalid(path, v)),
        }
    }
}

fn scalar(value: &Value) -> Cow<'_, str> {
    match value {
        Value::String(s) => s.as_str().into(),
        other => other.to_string().into(),
    }
}

/// The settings of the module.
pub fn parse_settings(pairs: &SettingsPairs<'_>) -> Parsed<Settings> {
    let d = Settings::default();
    let mut classes = Vec::new();
    for i in 0..pairs.count("profiles")? {
        let at = |key: &str| format!("profiles.{i}.{key}");
        let c = Class::default();
        let repeat = match (pairs.text(&at("idempotency")), pairs.text(&at("key-scope"))) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", "zone") => Idempotency::WithKey(KeyScope::Zone),
            ("guarded", "cell") => Idempotency::WithKey(KeyScope::Cell),
            ("guarded", _) => Idempotency::WithKey(KeyScope::All),
            _ => Idempotency::NotIdempotent,
        };
        let stretch = pairs.nth("family-info.class-stretch", i)?.unwrap_or(c.run_time_allowance);
        classes.push(Class {
            idempotency: repeat,
            key_window: pairs.non_negative(&at("window-s"), c.key_window)?,
            latency_objective: pairs.non_negative(&at("promise-s"), c.latency_objective)?,
            run_time_allowance: pairs.non_negative(&at("aim-stretch"), stretch)?,
            late_weight: pairs.non_negative(&at("late-worth"), c.late_weight)?,
            required_kind: pairs.nth::<i64>("family-info.class-kind", i)?.and_then(|k| u32::try_from(k).ok()),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..pairs.count("projects")? {
        tenants.push(Tenant {
            share: pairs.non_negative(&format!("projects.{i}.share"), 1.0)?,
            quota: pairs.non_negative(&format!("projects.{i}.quota-per-s"), 0.0)?,
        });
    }
    Ok(Settings {
        instance: pairs.get("slot-no", d.instance)?,
        instances: pairs.get("balancers", d.instances)?,
        zone: pairs.get("zone", d.zone)?,
        classes,
        tenants,
        polls_endpoint_list: pairs.text("discovery") == "ask",
        max_poll_interval: pairs.non_negative("obligations.ask-within-s", d.max_poll_interval)?,
        load_reports: match pairs.text("report.how") {
            "answers" => LoadReports::WithResponses,
            "probe" => LoadReports::WithProbes,
            _ => LoadReports::None,
        },
        load_report_format: LoadReportFormat::from_settings(pairs),
        clients_mark_retries: pairs.get("clients.marks-retry", d.clients_mark_retries)?,
        probes_allowed: pairs.get("caps.probes", d.probes_allowed)?,
        probe_price: pairs.non_negative("charges.probe", d.probe_price)?,
        cancellation_allowed: pairs.get("caps.cancel", d.cancellation_allowed)?,
        max_attempts: pairs.get("caps.send-cap", d.max_attempts)?,
        max_retry_after: if pairs.get("caps.retry-after", false)? {
            pairs.non_negative("caps.max-retry-after-s", d.max_retry_after)?
        } else {
            0.0
        },
        progress_interval: pairs.non_negative("family-info.progress-s", d.progress_interval)?,
        hedging_allowed: pairs.get("caps.parallel-tries", d.hedging_allowed)?,
        reports_job_start: pairs.get("family-info.tells-start", d.reports_job_start)?,
        slow_start_min_capacity: pairs.non_negative("obligations.cold-share", d.slow_start_min_capacity)?,
        slow_start_duration: pairs.non_negative("obligations.warm-within-s", d.slow_start_duration)?,
        overload_multiple: pairs.non_negative("obligations.fall-multiple", d.overload_multiple)?,
        overload_window: pairs.non_negative("obligations.tip-after-s", d.overload_window)?,
        handshake_price: pairs.non_negative("charges.handshake", d.handshake_price)?,
        keep_alive: pairs.non_negative("caps.keepalive-s", d.keep_alive)?,
        cross_zone_price: pairs.non_negative("charges.cross-zone", d.cross_zone_price)?,
        clock_resolution: pairs.non_negative("resolution-s", d.clock_resolution)?,
        capacity_reservation: d.capacity_reservation,
    })
}
