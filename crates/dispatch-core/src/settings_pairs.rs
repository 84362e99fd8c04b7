//! Settings as path=value pairs, parsed from a line of the simulator's protocol or from nested JSON with the same
//! paths.

use std::borrow::Cow;
use std::str::FromStr;

use rustc_hash::FxHashMap;
use serde_json::Value;

/// Maximum number of objects that are read from a list.
const MAX_LIST_LENGTH: usize = 4096;
/// Maximum number of characters of an invalid value that are quoted in an error.
const MAX_QUOTED: usize = 80;

/// Error for an invalid value.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}, found '{found}'")]
pub struct InvalidValue {
    /// The path of the setting, or a description of the expected value.
    pub expected: String,
    /// The value that was found, or its first characters.
    pub found: String,
}

impl InvalidValue {
    /// Returns an error that quotes the first characters of the value.
    pub fn new(expected: &str, found: &str) -> InvalidValue {
        InvalidValue { expected: expected.to_owned(), found: found.chars().take(MAX_QUOTED).collect() }
    }
}

/// Settings as path=value pairs.
#[derive(Debug)]
pub struct SettingsPairs<'a>(FxHashMap<Cow<'a, str>, Cow<'a, str>>);

impl<'a> SettingsPairs<'a> {
    /// Parses the fields of a line of the simulator's protocol; empty fields and `-` are ignored.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if a field is not of the form `path=value`.
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

    /// Converts nested JSON: names are joined by dots, the objects of a list are numbered, and the values of other
    /// lists are joined by commas.
    pub fn from_json(value: &'a Value) -> Self {
        let mut pairs = SettingsPairs(FxHashMap::default());
        pairs.insert(String::new(), value);
        pairs
    }

    fn insert(&mut self, path: String, value: &'a Value) {
        let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => {
                for (key, value) in map {
                    self.insert(under(key), value);
                }
            }
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

    /// Returns the value at a path, or the default if the path is absent.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if the value does not have the type `T`.
    pub fn get<T: FromStr>(&self, path: &str, default: T) -> Result<T, InvalidValue> {
        match self.0.get(path) {
            None => Ok(default),
            Some(value) => parse_value(path, value),
        }
    }

    /// Returns the finite, non-negative number at a path, or the default if the path is absent.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if the value is not such a number.
    pub fn non_negative(&self, path: &str, default: f64) -> Result<f64, InvalidValue> {
        match self.get(path, default)? {
            value if value.is_finite() && value >= 0.0 => Ok(value),
            value => Err(InvalidValue::new(path, &value.to_string())),
        }
    }

    /// Returns the text at a path, or an empty text if the path is absent.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).map_or("", |value| value)
    }

    /// Returns the values of a list of plain values.
    pub fn list(&self, path: &str) -> impl Iterator<Item = &str> {
        self.text(path).split(',').filter(|value| !value.is_empty())
    }

    /// Returns the `name` of each object of a list, in order.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if the list's count is not a number.
    pub fn names(&self, list: &str) -> Result<Vec<String>, InvalidValue> {
        let name = |index| self.text(&format!("{list}.{index}.name")).to_owned();
        Ok((0..self.count(list)?).map(name).collect())
    }

    /// Returns the number of objects in a list of objects.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if the list's count is not a number.
    pub fn count(&self, list: &str) -> Result<usize, InvalidValue> {
        Ok(self.get::<usize>(&format!("{list}.count"), 0)?.min(MAX_LIST_LENGTH))
    }

    /// Returns the value at a position of a list of plain values.
    ///
    /// # Errors
    /// Returns [`InvalidValue`] if the value does not have the type `T`.
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
