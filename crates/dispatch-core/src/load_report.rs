//! Decoder for load reports of workers, with the figures that the settings name. It performs no I/O.
//!
//! The simulator's protocol transmits the figures by position; workers on sockets transmit them by name. The meaning is
//! the same, and only this module defines the names. A report is advisory: a job does not fail because of a report that
//! cannot be used.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::Value;

use crate::settings_pairs::{InvalidValue, SettingsPairs};

/// Maximum number of figures per report; the settings name at most four.
const MAX_FIGURES: usize = 16;
/// Maximum number of figures that are read from a JSON object, including unknown ones.
const MAX_JSON_FIGURES: usize = 4 * MAX_FIGURES;
const MILLIS_PER_SECOND: f64 = 1e3;
/// Prefix of a report in an HTTP header.
const TEXT_PREFIX: &str = "TEXT";

/// Load of a worker as reported; `None` for figures that were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in memory units.
    pub free_memory: Option<f64>,
    /// Number of requests that wait in the worker's queue.
    pub queue_length: Option<f64>,
    /// Number of requests that wait or run.
    pub in_flight: Option<f64>,
    /// Recent service time without the wait, in seconds.
    pub latency: Option<f64>,
    /// Number of errors per second.
    pub error_rate: Option<f64>,
}

impl LoadReport {
    fn set(&mut self, figure: Figure, value: Option<f64>) {
        match figure {
            Figure::FreeSlots => self.free_slots = value,
            Figure::FreeMemory => self.free_memory = value,
            Figure::QueueLength => self.queue_length = value,
            Figure::InFlight => self.in_flight = value,
            Figure::LatencyMillis => self.latency = value.map(|millis| millis / MILLIS_PER_SECOND),
            Figure::ErrorRate => self.error_rate = value,
            Figure::Unknown => {}
        }
    }
}

/// Meaning of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Figure {
    FreeSlots,
    FreeMemory,
    QueueLength,
    InFlight,
    LatencyMillis,
    ErrorRate,
    Unknown,
}

impl Figure {
    fn of_name(name: &str) -> Figure {
        match name {
            "free_slots" => Figure::FreeSlots,
            "free_memory" => Figure::FreeMemory,
            "queue" => Figure::QueueLength,
            "inflight" => Figure::InFlight,
            "latency_ms" => Figure::LatencyMillis,
            "eps" => Figure::ErrorRate,
            _ => Figure::Unknown,
        }
    }
}

/// A figure, with the name under which the workers of this deployment report it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NamedFigure {
    name: Box<str>,
    figure: Figure,
}

/// The figures of a deployment's load reports, in the order of positional reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat(Vec<NamedFigure>);

/// The readable part of a load report with figures by name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedLoadReport {
    /// The usable figures; `None` if there are none.
    pub load: Option<LoadReport>,
    /// Whether some figures were malformed and therefore ignored.
    pub malformed: bool,
}

impl ParsedLoadReport {
    const UNREADABLE: ParsedLoadReport = ParsedLoadReport { load: None, malformed: true };
}

impl LoadReportFormat {
    /// Returns the format that the settings describe: `report.names` lists the names, and `family-info.report-x0` and
    /// `family-info.report-x1` state the meaning of the names `x0` and `x1`.
    pub fn from_settings(pairs: &SettingsPairs<'_>) -> LoadReportFormat {
        let figure_name = |name: &str| pairs.text(&format!("family-info.report-{name}")).replace(' ', "_");
        let figure = |name: &str| match name {
            "x0" | "x1" => Figure::of_name(&figure_name(name)),
            name => Figure::of_name(name),
        };
        let names = pairs.list("report.names").take(MAX_FIGURES);
        let figures = names.map(|name| NamedFigure { name: name.into(), figure: figure(name) });
        LoadReportFormat(figures.collect())
    }

    /// Parses a report with figures by position, separated by commas; `-` or an empty field stands for an absent
    /// figure.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if a figure is not a number.
    pub fn parse_positional(&self, text: &str) -> Result<LoadReport, InvalidValue> {
        let mut load = LoadReport::default();
        for (figure, value) in self.0.iter().zip(text.split(',')) {
            if value.is_empty() || value == "-" {
                continue;
            }
            let malformed = |_| InvalidValue::new("a load report of numbers", text);
            let value: f64 = value.parse().map_err(malformed)?;
            if value.is_finite() && value >= 0.0 {
                load.set(figure.figure, Some(value));
            }
        }
        Ok(load)
    }

    /// Parses a report with figures by name. Names that are not in the settings are ignored. A figure that is not a
    /// number, negative, infinite or given twice is left out; of two values for a figure neither can be trusted.
    fn parse_named<'a>(&self, figures: impl Iterator<Item = ReportedFigure<'a>>) -> ParsedLoadReport {
        let mut load = LoadReport::default();
        let mut malformed = false;
        let mut was_named = [false; MAX_FIGURES];
        for reported in figures {
            let position = self.0.iter().position(|figure| *figure.name == *reported.name);
            let Some(position) = position else { continue };
            let is_repeated = std::mem::replace(&mut was_named[position], true);
            let value = reported.value.filter(|value| value.is_finite() && *value >= 0.0 && !is_repeated);
            malformed |= value.is_none();
            load.set(self.0[position].figure, value);
        }
        ParsedLoadReport { load: Some(load).filter(|load| *load != LoadReport::default()), malformed }
    }

    /// Parses a report in JSON, such as `{"inflight":7,"queue":2}`.
    pub fn parse_json(&self, text: &str) -> ParsedLoadReport {
        match serde_json::from_str::<FigureList<'_>>(text) {
            Ok(FigureList(figures)) => self.parse_named(figures.into_iter()),
            Err(_) => ParsedLoadReport::UNREADABLE,
        }
    }

    /// Parses a report in an HTTP header: the word TEXT, then `name=value` pairs separated by commas.
    pub fn parse_text(&self, text: &str) -> ParsedLoadReport {
        let Some(rest) = text.trim().strip_prefix(TEXT_PREFIX) else {
            return ParsedLoadReport::UNREADABLE;
        };
        let pairs = rest.split(',').map(str::trim).filter(|pair| !pair.is_empty());
        self.parse_named(pairs.map(|pair| match pair.split_once('=') {
            Some((name, value)) => {
                ReportedFigure { name: name.trim().into(), value: value.trim().parse().ok() }
            }
            None => ReportedFigure { name: pair.into(), value: None },
        }))
    }
}

/// A figure in a report; `value` is `None` if it is not a number.
struct ReportedFigure<'a> {
    name: Cow<'a, str>,
    value: Option<f64>,
}

/// The figures of a JSON object in their order. This is a list, because a map would hide that a figure was given twice.
struct FigureList<'a>(Vec<ReportedFigure<'a>>);

impl<'de> Deserialize<'de> for FigureList<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FigureListVisitor)
    }
}

struct FigureListVisitor;

impl<'de> Visitor<'de> for FigureListVisitor {
    type Value = FigureList<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON object with figures by name")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<FigureList<'de>, A::Error> {
        let mut figures = Vec::new();
        while let Some((name, value)) = map.next_entry::<Cow<'de, str>, Value>()? {
            if figures.len() < MAX_JSON_FIGURES {
                figures.push(ReportedFigure { name, value: value.as_f64() });
            }
        }
        Ok(FigureList(figures))
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_report.rs"]
mod tests;
