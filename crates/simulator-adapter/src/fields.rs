//! Lines of the protocol and their values.

use std::str::{FromStr, Split};

use dispatch_core::settings_pairs::InvalidValue;

use crate::wire::ABSENT;

/// Description of an absent value, for errors.
pub(crate) const NOTHING: &str = "nothing";

/// A line of the protocol: its name and its values.
pub(crate) struct Line<'a> {
    /// Complete text of the line.
    pub(crate) text: &'a str,
    /// Name, which is the first word.
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

/// Iterator over the values of a line. A value is absent if it is [`ABSENT`] or missing at the end of the line.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Returns the remaining words without parsing them.
    pub(crate) fn rest(self) -> impl Iterator<Item = &'a str> {
        self.0
    }

    /// Returns the next value without parsing it; `None` if it is absent.
    pub(crate) fn text(&mut self) -> Option<&'a str> {
        self.0.next().filter(|value| *value != ABSENT && !value.is_empty())
    }

    /// Returns the next value, which must be present, without parsing it. `expected` describes the value in errors.
    pub(crate) fn required_text(&mut self, expected: &str) -> Result<&'a str, InvalidValue> {
        self.text().ok_or_else(|| InvalidValue::new(expected, NOTHING))
    }

    /// Parses the next value, which may be absent.
    pub(crate) fn optional<T: FromStr>(&mut self, expected: &str) -> Result<Option<T>, InvalidValue> {
        let parse = |value: &str| value.parse().map_err(|_| InvalidValue::new(expected, value));
        self.text().map(parse).transpose()
    }

    /// Parses the next value, which must be present.
    pub(crate) fn required<T: FromStr>(&mut self, expected: &str) -> Result<T, InvalidValue> {
        self.optional(expected)?.ok_or_else(|| InvalidValue::new(expected, NOTHING))
    }

    /// Converts the next value, which must be one of the names that `expected` describes.
    pub(crate) fn named<T>(
        &mut self,
        expected: &str,
        from_name: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, InvalidValue> {
        let name = self.text();
        name.and_then(from_name).ok_or_else(|| InvalidValue::new(expected, name.unwrap_or(NOTHING)))
    }

    /// Parses the next value as a finite number; it may be absent.
    pub(crate) fn number(&mut self, expected: &str) -> Result<Option<f64>, InvalidValue> {
        match self.optional::<f64>(expected)? {
            Some(value) if !value.is_finite() => Err(InvalidValue::new(expected, &value.to_string())),
            value => Ok(value),
        }
    }

    /// Parses the next value as a flag: 1 is true, 0 or an absent value is false.
    pub(crate) fn flag(&mut self, expected: &str) -> Result<bool, InvalidValue> {
        match self.text() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(InvalidValue::new(expected, value)),
        }
    }
}
