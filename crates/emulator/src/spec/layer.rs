//! Reads a key from a block of an experiment, or from the same block of `base.hcl`, which holds the defaults.

use hcl_config::{HclResult, Section};

use super::ValueRange;

/// Converts keys in milliseconds, because specifications hold all times in seconds.
pub(super) const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// A block of the experiment, if present, and the same block of the base. Keys of the experiment take precedence.
#[derive(Clone, Copy)]
pub(super) struct Layer<'a> {
    pub(super) overrides: Option<&'a Section>,
    pub(super) base: &'a Section,
}

impl<'a> Layer<'a> {
    /// Returns the nested block of this kind in both.
    pub(super) fn block(self, kind: &str) -> HclResult<Layer<'a>> {
        let own = match self.overrides {
            Some(own) => own.section(kind)?,
            None => None,
        };
        match self.base.section(kind)? {
            Some(base) => Ok(Layer { overrides: own, base }),
            None => Err(self.base.error(kind, "base.hcl lacks this block")),
        }
    }

    /// Returns the labeled blocks of this kind: those of the experiment or, if it has none, those of the base.
    pub(super) fn blocks(self, kind: &'a str) -> Vec<&'a Section> {
        let own: Vec<&Section> = self.overrides.map(|own| own.sections(kind).collect()).unwrap_or_default();
        if own.is_empty() {
            self.base.sections(kind).collect()
        } else {
            own
        }
    }

    /// Reads a number or a pair of numbers between `low` and `high`.
    pub(super) fn range(self, key: &str, low: f64, high: f64) -> HclResult<ValueRange> {
        let own = match self.overrides {
            Some(own) => own.number_range(key, low..=high)?,
            None => None,
        };
        match own {
            Some(range) => Ok(range),
            None => required(self.base, key, self.base.number_range(key, low..=high)?),
        }
    }

    /// Reads a number between `low` and `high`.
    pub(super) fn number(self, key: &str, low: f64, high: f64) -> HclResult<f64> {
        let own = match self.overrides {
            Some(own) => own.number(key, low..=high)?,
            None => None,
        };
        match own {
            Some(number) => Ok(number),
            None => required(self.base, key, self.base.number(key, low..=high)?),
        }
    }

    /// Reads an integer between `low` and `high`.
    pub(super) fn integer(self, key: &str, low: u64, high: u64) -> HclResult<u64> {
        let own = match self.overrides {
            Some(own) => own.integer(key, low..=high)?,
            None => None,
        };
        match own {
            Some(number) => Ok(number),
            None => required(self.base, key, self.base.integer(key, low..=high)?),
        }
    }
}

/// Returns the value of a required key, or an error if the key is absent.
pub(super) fn required<T>(section: &Section, key: &str, value: Option<T>) -> HclResult<T> {
    value.ok_or_else(|| section.error(key, "missing"))
}

/// Converts a range from milliseconds to seconds.
pub(super) fn seconds(milliseconds: ValueRange) -> ValueRange {
    (milliseconds.0 / MILLISECONDS_PER_SECOND, milliseconds.1 / MILLISECONDS_PER_SECOND)
}
