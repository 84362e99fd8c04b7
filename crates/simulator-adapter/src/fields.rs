//! Values of one line of the wire.

use std::str::{FromStr, Split};

use dispatch_core::settings_pairs::InvalidValue;

use crate::wire::ABSENT;

/// Description of a value that was not found.
pub(crate) const NOTHING: &str = "nothing";

/// A line of the wire: its name and its values.
pub(crate) struct Line<'a> {
    /// Complete text of the line.
    pub(crate) text: &'a str,
    /// Name, the first word.
    pub(crate) name: &'a str,
    /// Values after the name.
    pub(crate) fields: Fields<'a>,
}

impl<'a> Line<'a> {
    /// Splits a line.
    pub(crate) fn new(text: &'a str) -> Line<'a> {
        let mut words = text.split(' ');
        Line { text, name: words.next().unwrap_or(""), fields: Fields(words) }
    }
}

/// Values of a line in order; [`ABSENT`] and values missing at the end are absent.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Returns the remaining words as they stand.
    pub(crate) fn rest(self) -> impl Iterator<Item = &'a str> {
        self.0
    }

    /// Returns the next value as it stands.
    pub(crate) fn text(&mut self) -> Option<&'a str> {
        self.0.next().filter(|value| *value != ABSENT && !value.is_empty())
    }

    /// Returns the next value, which must be present; `expected` describes it.
    pub(crate) fn required_text(&mut self, expected: &str) -> Result<&'a str, InvalidValue> {
        self.text().ok_or_else(|| InvalidValue::new(expected, NOTHING))
    }

    /// Parses a value that may be absent.
    pub(crate) fn optional<T: FromStr>(&mut self, expected: &str) -> Result<Option<T>, InvalidValue> {
        let parse = |value: &str| value.parse().map_err(|_| InvalidValue::new(expected, value));
        self.text().map(parse).transpose()
    }

    /// Parses a value that must be present.
    pub(crate) fn required<T: FromStr>(&mut self, expected: &str) -> Result<T, InvalidValue> {
        self.optional(expected)?.ok_or_else(|| InvalidValue::new(expected, NOTHING))
    }

    /// Parses a value by its name on the wire; `expected` describes all names.
    pub(crate) fn named<T>(
        &mut self,
        expected: &str,
        from_name: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, InvalidValue> {
        let name = self.text();
        name.and_then(from_name).ok_or_else(|| InvalidValue::new(expected, name.unwrap_or(NOTHING)))
    }

    /// Parses a finite number that may be absent.
    pub(crate) fn number(&mut self, expected: &str) -> Result<Option<f64>, InvalidValue> {
        match self.optional::<f64>(expected)? {
            Some(value) if !value.is_finite() => Err(InvalidValue::new(expected, &value.to_string())),
            value => Ok(value),
        }
    }

    /// Parses 0 or 1; an absent value is 0.
    pub(crate) fn flag(&mut self, expected: &str) -> Result<bool, InvalidValue> {
        match self.text() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(InvalidValue::new(expected, value)),
        }
    }
}
