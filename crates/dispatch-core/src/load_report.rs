//! Load reports: what a worker says of its load, by the names that the settings give. A codec, no I/O.
//!
//! The simulator's wire gives the figures by place, workers on sockets by name. Both mean the same, and what a name
//! means is said in one place, here. A report is news and no duty: one that cannot be used costs nobody a job.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::Value;

use crate::api::LoadReport;
use crate::settings::{invalid, Parsed, SettingsPairs};

/// Figures of one report that are looked at; the settings tell of four at the most.
const MAX_FIGURES: usize = 16;

/// The meaning of one figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Figure {
    FreeSlots,
    FreeMemory,
    Queue,
    InFlight,
    /// In milliseconds.
    Latency,
    Errors,
    Other,
}

/// The figures of a deployment's reports, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReportFormat(Vec<(Box<str>, Figure)>);

/// A report that came by name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParsedLoadReport {
    /// What could be used of it; none where nothing could.
    pub load: Option<LoadReport>,
    /// Some of it was malformed, and was left out.
    pub malformed: bool,
}

impl LoadReportFormat {
    /// As the settings tell: `report.names`, and for x0 and x1 what `family-info` says of them.
    pub fn from_settings(pairs: &SettingsPairs<'_>) -> LoadReportFormat {
        let told = |name: &str| pairs.text(&format!("family-info.report-{name}")).replace(' ', "_");
        let meaning = |name: &str| match name {
            "free_slots" => Figure::FreeSlots,
            "free_memory" => Figure::FreeMemory,
            "queue" => Figure::Queue,
            "inflight" => Figure::InFlight,
            "latency_ms" => Figure::Latency,
            "eps" => Figure::Errors,
            _ => Figure::Other,
        };
        let figure = |name: &str| match name {
            "x0" | "x1" => meaning(&told(name)),
            name => meaning(name),
        };
        LoadReportFormat(
            pairs.list("report.names").take(MAX_FIGURES).map(|name| (name.into(), figure(name))).collect(),
        )
    }

    /// Reads a report that gives its figures by place, separated by commas; `-` or nothing where one was not told.
    ///
    /// # Errors
    /// Something that is no number stands where one must.
    pub fn parse_positional(&self, text: &str) -> Parsed<LoadReport> {
        let mut load = LoadReport::default();
        for ((_, figure), value) in self.0.iter().zip(text.split(',')) {
            if value.is_empty() || value == "-" {
                continue;
            }
            let value: f64 = value.parse().or_else(|_| invalid("a load report of numbers", text))?;
            if value.is_finite() && value >= 0.0 {
                set(&mut load, *figure, Some(value));
            }
        }
        Ok(load)
    }

    /// Takes a report that gives its figures by name. Names that the settings do not tell of are passed over. What is
    /// no number, negative, infinite, or told twice is left out: of two figures neither is known to be the right one.
    pub fn parse_named<'a>(&self, figures: impl Iterator<Item = (&'a str, Option<f64>)>) -> ParsedLoadReport {
        let (mut load, mut malformed) = (LoadReport::default(), false);
        let mut told = [false; MAX_FIGURES];
        for (name, value) in figures {
            let Some(place) = self.0.iter().position(|(known, _)| **known == *name) else { continue };
            let twice = std::mem::replace(&mut told[place], true);
            let value = value.filter(|v| v.is_finite() && *v >= 0.0 && !twice);
            malformed |= value.is_none();
            set(&mut load, self.0[place].1, value);
        }
        ParsedLoadReport { load: Some(load).filter(|load| *load != LoadReport::default()), malformed }
    }

    /// Reads a report as an object of JSON: `{"inflight":7,"queue":2}`.
    pub fn parse_json(&self, text: &str) -> ParsedLoadReport {
        match serde_json::from_str::<Object<'_>>(text) {
            Ok(Object(figures)) => self.parse_named(figures.iter().map(|(name, value)| (&**name, *value))),
            Err(_) => ParsedLoadReport { load: None, malformed: true },
        }
    }

    /// Reads a report as a header holds it: the word TEXT, then `name=value` separated by commas.
    pub fn parse_text(&self, text: &str) -> ParsedLoadReport {
        let Some(rest) = text.trim().strip_prefix("TEXT") else {
            return ParsedLoadReport { load: None, malformed: true };
        };
        let pairs = rest.split(',').map(str::trim).filter(|pair| !pair.is_empty());
        self.parse_named(pairs.map(|pair| match pair.split_once('=') {
            Some((name, value)) => (name.trim(), value.trim().parse().ok()),
            None => (pair, None),
        }))
    }
}

/// The figures of an object in their order: a map would hide that one was told twice.
struct Object<'a>(Vec<(Cow<'a, str>, Option<f64>)>);

impl<'de> Deserialize<'de> for Object<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Figures;
        impl<'de> Visitor<'de> for Figures {
            type Value = Object<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object of figures")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Object<'de>, A::Error> {
                let mut figures = Vec::new();
                while let Some((name, value)) = map.next_entry::<Cow<'de, str>, Value>()? {
                    if figures.len() < 4 * MAX_FIGURES {
                        figures.push((name, value.as_f64()));
                    }
                }
                Ok(Object(figures))
            }
        }
        deserializer.deserialize_map(Figures)
    }
}

fn set(load: &mut LoadReport, figure: Figure, value: Option<f64>) {
    match figure {
        Figure::FreeSlots => load.free_slots = value,
        Figure::FreeMemory => load.free_memory = value,
        Figure::Queue => load.queue_length = value,
        Figure::InFlight => load.in_flight = value,
        Figure::Latency => load.latency = value.map(|ms| ms / 1e3),
        Figure::Errors => load.error_rate = value,
        Figure::Other => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn form() -> LoadReportFormat {
        let told = "report.names=eps,latency_ms,inflight,x0 family-info.report-x0=free_slots";
        LoadReportFormat::from_settings(&SettingsPairs::parse(told.split(' ')).expect("settings"))
    }

    #[test]
    fn the_same_report_means_the_same_by_place_and_by_name() {
        let load = LoadReport {
            error_rate: Some(0.5),
            latency: Some(0.12),
            in_flight: Some(7.0),
            free_slots: Some(0.0),
            ..LoadReport::default()
        };
        assert_eq!(form().parse_positional("0.5,120,7,0"), Ok(load));
        let read = form().parse_text("TEXT x0=0, inflight=7,eps=0.5 , latency_ms=120, cpu=0.3");
        assert_eq!(
            read,
            ParsedLoadReport { load: Some(load), malformed: false },
            "an unknown name is passed over"
        );
        let json = r#"{"x0":0,"inflight":7,"eps":0.5,"latency_ms":120,"cpu":[0.3]}"#;
        assert_eq!(form().parse_json(json), ParsedLoadReport { load: Some(load), malformed: false });
        assert!(form().parse_positional("0.5,much").is_err());
    }

    #[test]
    fn what_is_malformed_is_left_out_and_the_rest_is_used() {
        for text in ["x0=-1", "x0=inf", "x0=NaN", "x0=", "x0", "x0=3,x0=4"] {
            let read = form().parse_text(&format!("TEXT inflight=2,{text}"));
            let load = LoadReport { in_flight: Some(2.0), ..LoadReport::default() };
            assert_eq!(read, ParsedLoadReport { load: Some(load), malformed: true }, "{text}");
        }
        for json in
            [r#"{"x0":-1,"inflight":2}"#, r#"{"x0":3,"inflight":2,"x0":3}"#, r#"{"x0":"3","inflight":2}"#]
        {
            let load = LoadReport { in_flight: Some(2.0), ..LoadReport::default() };
            assert_eq!(
                form().parse_json(json),
                ParsedLoadReport { load: Some(load), malformed: true },
                "{json}"
            );
        }
        for json in ["", "[]", "null", r#"{"x0":1e999}"#] {
            assert_eq!(form().parse_json(json), ParsedLoadReport { load: None, malformed: true }, "{json}");
        }
        assert_eq!(form().parse_text("TEXT"), ParsedLoadReport { load: None, malformed: false });
        assert_eq!(form().parse_text("JSON {}"), ParsedLoadReport { load: None, malformed: true });
    }

    #[test]
    fn settings_without_reports_take_none() {
        let none =
            LoadReportFormat::from_settings(&SettingsPairs::parse(std::iter::empty()).expect("settings"));
        assert_eq!(none.parse_text("TEXT x0=3"), ParsedLoadReport { load: None, malformed: false });
        assert_eq!(none.parse_positional("1,2"), Ok(LoadReport::default()));
    }
}
