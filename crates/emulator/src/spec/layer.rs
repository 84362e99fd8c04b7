//! A block of an experiment over the same block of the base, and conversions of what is read.

use hcl_config::{HclResult, Section};

use super::Span;

/// Experiments give short times in milliseconds; all values that are read are in seconds.
pub(super) const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// A block of the experiment, if it has one, over the same block of the base.
#[derive(Clone, Copy)]
pub(super) struct Layer<'a> {
    pub(super) overrides: Option<&'a Section>,
    pub(super) base: &'a Section,
}

impl<'a> Layer<'a> {
    /// The block of this kind within both.
    pub(super) fn block(self, kind: &str) -> HclResult<Layer<'a>> {
        let own = match self.overrides {
            Some(own) => own.section(kind)?,
            None => None,
        };
        match self.base.section(kind)? {
            Some(base) => Ok(Layer { overrides: own, base }),
            None => Err(self.base.error(kind, "the base lacks this block")),
        }
    }

    /// The labelled blocks: the experiment's own, or else those of the base.
    pub(super) fn blocks(self, kind: &'a str) -> Vec<&'a Section> {
        let own: Vec<&Section> = self.overrides.map(|own| own.sections(kind).collect()).unwrap_or_default();
        if own.is_empty() {
            self.base.sections(kind).collect()
        } else {
            own
        }
    }

    /// A span of figures between `low` and `high`.
    pub(super) fn span(self, key: &str, low: f64, high: f64) -> HclResult<Span> {
        let own = match self.overrides {
            Some(own) => own.number_range(key, low..=high)?,
            None => None,
        };
        match own {
            Some(span) => Ok(span),
            None => required(self.base, key, self.base.number_range(key, low..=high)?),
        }
    }

    /// A figure between `low` and `high`.
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

    /// A whole number between `low` and `high`.
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

/// The value of a key that has to be there.
pub(super) fn required<T>(section: &Section, key: &str, value: Option<T>) -> HclResult<T> {
    value.ok_or_else(|| section.error(key, "missing"))
}

/// Seconds of a span given in milliseconds.
pub(super) fn seconds(milliseconds: Span) -> Span {
    (milliseconds.0 / MILLISECONDS_PER_SECOND, milliseconds.1 / MILLISECONDS_PER_SECOND)
}
