//! The values of one line of the wire.

use std::str::{FromStr, Split};

use dispatch_core::settings_pairs::InvalidValue;

/// The values of one line, in order; `-` and values left off the end are absent.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Splits a line into its name, which comes first, and its values.
    pub(crate) fn of_line(line: &'a str) -> (&'a str, Fields<'a>) {
        let mut words = line.split(' ');
        (words.next().unwrap_or(""), Fields(words))
    }

    /// The words that are left, as they stand.
    pub(crate) fn rest(self) -> impl Iterator<Item = &'a str> {
        self.0
    }

    /// The next value as it stands.
    pub(crate) fn text(&mut self) -> Option<&'a str> {
        self.0.next().filter(|value| *value != "-" && !value.is_empty())
    }

    /// A value that must be there; `expected` describes it.
    pub(crate) fn required_text(&mut self, expected: &str) -> Result<&'a str, InvalidValue> {
        self.text().ok_or_else(|| InvalidValue::new(expected, "nothing"))
    }

    /// A value that may be absent.
    pub(crate) fn optional<T: FromStr>(&mut self, expected: &str) -> Result<Option<T>, InvalidValue> {
        let parse = |value: &str| value.parse().map_err(|_| InvalidValue::new(expected, value));
        self.text().map(parse).transpose()
    }

    /// A value that must be there.
    pub(crate) fn required<T: FromStr>(&mut self, expected: &str) -> Result<T, InvalidValue> {
        self.optional(expected)?.ok_or_else(|| InvalidValue::new(expected, "nothing"))
    }

    /// A finite number that may be absent.
    pub(crate) fn number(&mut self, expected: &str) -> Result<Option<f64>, InvalidValue> {
        match self.optional::<f64>(expected)? {
            Some(value) if !value.is_finite() => Err(InvalidValue::new(expected, &value.to_string())),
            value => Ok(value),
        }
    }

    /// 0 or 1; absent is 0.
    pub(crate) fn flag(&mut self, expected: &str) -> Result<bool, InvalidValue> {
        match self.text() {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(InvalidValue::new(expected, value)),
        }
    }
}
