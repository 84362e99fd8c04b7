//! Settings as path=value pairs, from a line of the simulator's wire or from nested JSON: both have the same paths.

use std::borrow::Cow;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use serde_json::Value;

/// The most objects of one list that are read.
const MAX_LIST_LENGTH: usize = 4096;
/// The most letters of a faulty value that are quoted.
const MAX_QUOTED: usize = 80;

/// A value that is not as it should be.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found '{found}'")]
pub struct InvalidValue {
    /// What was expected: a path of the settings, or a description.
    pub expected: String,
    /// What stood there.
    pub found: String,
}

impl InvalidValue {
    /// A fault: what was expected, and what stood there, of which the first letters are kept.
    pub fn new(expected: &str, found: &str) -> InvalidValue {
        InvalidValue { expected: expected.to_owned(), found: found.chars().take(MAX_QUOTED).collect() }
    }
}

/// The settings as path=value pairs.
#[derive(Debug)]
pub struct SettingsPairs<'a>(FxHashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> SettingsPairs<'a> {
    /// From the fields of a line of the wire.
    ///
    /// # Errors
    /// A field is not of the form `path=value`.
    pub fn parse(fields: impl Iterator<Item = &'a str>) -> Result<Self, InvalidValue> {
        let mut pairs = FxHashMap::default();
        for pair in fields.filter(|field| !field.is_empty() && *field != "-") {
            let Some((path, value)) = pair.split_once('=') else {
                return Err(InvalidValue::new("settings as path=value", pair));
            };
            pairs.insert(path.into(), value.into());
        }
        Ok(SettingsPairs(pairs))
    }

    /// From nested JSON: names are joined by dots, lists of objects are numbered, other lists are joined by commas.
    pub fn from_json(value: &'a Value) -> Self {
        let mut pairs = SettingsPairs(FxHashMap::default());
        pairs.insert(String::new(), value);
        pairs
    }

    fn insert(&mut self, path: String, value: &'a Value) {
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, value)| self.insert(under(key), value)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count").into(), items.len().to_string().into());
                for (index, item) in items.iter().enumerate() {
                    self.insert(under(&index.to_string()), item);
                }
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
    ///
    /// # Errors
    /// The value is none of its type.
    pub fn get<T: FromStr>(&self, path: &str, default: T) -> Result<T, InvalidValue> {
        match self.0.get(path) {
            None => Ok(default),
            Some(value) => parse_value(path, value),
        }
    }

    /// A finite number that is not negative.
    ///
    /// # Errors
    /// The value is anything else.
    pub fn non_negative(&self, path: &str, default: f64) -> Result<f64, InvalidValue> {
        match self.get(path, default)? {
            value if value.is_finite() && value >= 0.0 => Ok(value),
            value => Err(InvalidValue::new(path, &value.to_string())),
        }
    }

    /// The value at a path as it stands; empty where there is none.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", |value| value)
    }

    /// The values of a list of plain values.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        self.text(path).split(',').filter(|value| !value.is_empty())
    }

    /// The names of a list of objects, in order.
    ///
    /// # Errors
    /// The list's count is no number.
    pub fn names(&self, list: &str) -> Result<Vec<String>, InvalidValue> {
        let name = |index| self.text(&format!("{list}.{index}.name")).to_owned();
        Ok((0..self.count(list)?).map(name).collect())
    }

    /// How many objects a list of objects has.
    ///
    /// # Errors
    /// The list's count is no number.
    pub fn count(&self, list: &str) -> Result<usize, InvalidValue> {
        Ok(self.get::<usize>(&format!("{list}.count"), 0)?.min(MAX_LIST_LENGTH))
    }

    /// The value at a position of a list of plain values.
    ///
    /// # Errors
    /// The value is none of its type.
    pub fn nth<T: FromStr>(&self, path: &str, position: usize) -> Result<Option<T>, InvalidValue> {
        self.list(path).nth(position).map(|value| parse_value(path, value)).transpose()
    }
}

fn parse_value<T: FromStr>(path: &str, value: &str) -> Result<T, InvalidValue> {
    value.parse().map_err(|_| InvalidValue::new(path, value))
}

fn scalar(value: &Value) -> Cow<'_, str> {
    match value {
        Value::String(text) => text.as_str().into(),
        other => other.to_string().into(),
    }
}
