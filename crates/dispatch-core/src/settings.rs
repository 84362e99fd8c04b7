//! Reads the settings of an instance from path=value pairs. The simulator's adapter has them from its first
//! message; the real program has the same object as nested JSON and flattens it to the same paths.

use std::borrow::Cow;
use std::hash::Hasher as _;
use std::str::FromStr;

use rustc_hash::{FxHashMap, FxHasher};
use serde_json::Value;

use crate::api::{Class, Group, Repeat, Reports, Settings, Tenant, WorkerId};
use crate::report::Form;

/// The most classes or tenants that are read.
const MOST: usize = 4096;

/// A value that is not as it should be.
#[derive(Debug, PartialEq, Eq)]
pub struct Bad {
    /// What was expected: a path of the settings, or a description.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

/// A value, or what was wrong with it.
pub type Parsed<T> = Result<T, Bad>;

/// A fault: what was expected, and the first letters of what stood there.
///
/// # Errors
/// Always.
pub fn bad<T>(expected: &str, found: &str) -> Parsed<T> {
    Err(Bad { expected: expected.to_owned(), found: found.chars().take(80).collect() })
}

/// The number by which the module knows a worker.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(hash(name.as_bytes()))
}

/// The number by which the module knows a key that is no number.
pub fn hash(text: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text);
    // FxHash leaves the low bits of like names alike; one more round spreads them over all bits.
    let mut h = hasher.finish();
    h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// The settings as path=value pairs.
#[derive(Debug)]
pub struct Pairs<'a>(FxHashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> Pairs<'a> {
    /// Of a line of the wire.
    pub fn read(fields: impl Iterator<Item = &'a str>) -> Parsed<Self> {
        let mut pairs = FxHashMap::default();
        for pair in fields.filter(|p| !p.is_empty() && *p != "-") {
            match pair.split_once('=') {
                Some((path, value)) => pairs.insert(path.into(), value.into()),
                None => return bad("settings as path=value", pair),
            };
        }
        Ok(Pairs(pairs))
    }

    /// Of nested JSON.
    pub fn flatten(value: &'a Value) -> Self {
        let mut pairs = Pairs(FxHashMap::default());
        pairs.put(String::new(), value);
        pairs
    }

    fn put(&mut self, path: String, value: &'a Value) {
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, v)| self.put(under(key), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count").into(), items.len().to_string().into());
                items.iter().enumerate().for_each(|(i, v)| self.put(under(&i.to_string()), v));
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
            Some(v) => v.parse().or_else(|_| bad(path, v)),
        }
    }

    /// A finite number that is not negative.
    pub fn size(&self, path: &str, default: f64) -> Parsed<f64> {
        match self.get(path, default)? {
            v if v.is_finite() && v >= 0.0 => Ok(v),
            v => bad(path, &v.to_string()),
        }
    }

    /// The value at a path as it stands; empty where there is none.
    pub fn word(&self, path: &str) -> &str {
        self.0.get(path).map_or("", |v| v)
    }

    /// The values of a list of plain values.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        self.word(path).split(',').filter(|v| !v.is_empty())
    }

    /// The names of a list of objects, in order.
    pub fn names(&self, list: &str) -> Parsed<Vec<String>> {
        Ok((0..self.count(list)?).map(|i| self.word(&format!("{list}.{i}.name")).to_owned()).collect())
    }

    /// How many objects a list of objects has.
    pub fn count(&self, list: &str) -> Parsed<usize> {
        Ok(self.get::<usize>(&format!("{list}.count"), 0)?.min(MOST))
    }

    /// The value at a class's place in a list.
    fn nth<T: FromStr>(&self, path: &str, n: usize) -> Parsed<Option<T>> {
        match self.list(path).nth(n) {
            None => Ok(None),
            Some(v) => v.parse().map(Some).or_else(|_| bad(path, v)),
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
pub fn settings(pairs: &Pairs<'_>) -> Parsed<Settings> {
    let d = Settings::default();
    let mut classes = Vec::new();
    for i in 0..pairs.count("profiles")? {
        let at = |key: &str| format!("profiles.{i}.{key}");
        let c = Class::default();
        let repeat = match (pairs.word(&at("idempotency")), pairs.word(&at("key-scope"))) {
            ("free", _) => Repeat::Safe,
            ("guarded", "zone") => Repeat::Keyed(Group::Zone),
            ("guarded", "cell") => Repeat::Keyed(Group::Cell),
            ("guarded", _) => Repeat::Keyed(Group::All),
            _ => Repeat::Unsafe,
        };
        let stretch = pairs.nth("family-info.class-stretch", i)?.unwrap_or(c.stretch);
        classes.push(Class {
            repeat,
            window: pairs.size(&at("window-s"), c.window)?,
            aim: pairs.size(&at("promise-s"), c.aim)?,
            stretch: pairs.size(&at("aim-stretch"), stretch)?,
            late_worth: pairs.size(&at("late-worth"), c.late_worth)?,
            kind: pairs.nth::<i64>("family-info.class-kind", i)?.and_then(|k| u32::try_from(k).ok()),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..pairs.count("projects")? {
        tenants.push(Tenant {
            share: pairs.size(&format!("projects.{i}.share"), 1.0)?,
            quota: pairs.size(&format!("projects.{i}.quota-per-s"), 0.0)?,
        });
    }
    Ok(Settings {
        instance: pairs.get("slot-no", d.instance)?,
        instances: pairs.get("balancers", d.instances)?,
        zone: pairs.get("zone", d.zone)?,
        classes,
        tenants,
        ask_for_list: pairs.word("discovery") == "ask",
        ask_within: pairs.size("obligations.ask-within-s", d.ask_within)?,
        reports: match pairs.word("report.how") {
            "answers" => Reports::Answers,
            "probe" => Reports::Probes,
            _ => Reports::None,
        },
        report: Form::of(pairs),
        marks_retry: pairs.get("clients.marks-retry", d.marks_retry)?,
        may_probe: pairs.get("caps.probes", d.may_probe)?,
        probe_price: pairs.size("charges.probe", d.probe_price)?,
        may_cancel: pairs.get("caps.cancel", d.may_cancel)?,
        max_attempts: pairs.get("caps.send-cap", d.max_attempts)?,
        max_retry_after: if pairs.get("caps.retry-after", false)? {
            pairs.size("caps.max-retry-after-s", d.max_retry_after)?
        } else {
            0.0
        },
        progress: pairs.size("family-info.progress-s", d.progress)?,
        second_copies: pairs.get("caps.parallel-tries", d.second_copies)?,
        tells_start: pairs.get("family-info.tells-start", d.tells_start)?,
        cold_share: pairs.size("obligations.cold-share", d.cold_share)?,
        warm_within: pairs.size("obligations.warm-within-s", d.warm_within)?,
        fall_multiple: pairs.size("obligations.fall-multiple", d.fall_multiple)?,
        fall_span: pairs.size("obligations.tip-after-s", d.fall_span)?,
        handshake_price: pairs.size("charges.handshake", d.handshake_price)?,
        keep_alive: pairs.size("caps.keepalive-s", d.keep_alive)?,
        cross_zone_price: pairs.size("charges.cross-zone", d.cross_zone_price)?,
        resolution: pairs.size("resolution-s", d.resolution)?,
        room: d.room,
    })
}
