//! Errors that name file, line and key.

use std::fmt;

use crate::Value;

/// A problem at a place of a file, displayed as `FILE:LINE: KEY: PROBLEM`.
#[derive(Clone, Debug, PartialEq)]
pub struct HclError {
    /// File, as the caller named it.
    pub file: String,
    /// Line, from 1; 1 if the problem is with the entire file.
    pub line: usize,
    /// Key with its enclosing blocks; empty for a syntax error or an error of the entire file.
    pub key: String,
    /// Problem at this place.
    pub problem: Problem,
}

/// Result of reading a setting.
pub type HclResult<T> = Result<T, HclError>;

/// Problem at a place of a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not HCL; contains the parser's message.
    #[error("invalid HCL: {0}")]
    Syntax(String),
    /// An expression is not a plain value.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// The value at a key has another type, or is out of bounds.
    #[error("expected {expected}, found {actual}")]
    Unexpected {
        /// Expected type and bounds.
        expected: String,
        /// Value in the file.
        actual: Value,
    },
    /// A block that may occur at most once occurs again.
    #[error("there is more than one such block")]
    RepeatedBlock,
    /// The key is unknown: no getter has read it.
    #[error("there is no such key here")]
    UnknownKey,
    /// The block is unknown: no getter has read it.
    #[error("there is no such block here")]
    UnknownBlock,
    /// Problem other than type and bounds, reported by the caller of the getters.
    #[error("{0}")]
    Invalid(String),
}

impl From<String> for Problem {
    fn from(text: String) -> Problem {
        Problem::Invalid(text)
    }
}

impl From<&str> for Problem {
    fn from(text: &str) -> Problem {
        Problem::Invalid(text.to_owned())
    }
}

/// Reason for which an expression is not a plain value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// A number is not finite as an `f64`.
    #[error("the number is out of range")]
    NumberOutOfRange,
    /// A key of an object is an expression that needs evaluation.
    #[error("keys of an object must be names")]
    ComputedKey,
    /// A minus sign precedes a value that is not a number.
    #[error("expected a number after the minus sign, found {0}")]
    NegatedNonNumber(Value),
    /// An expression needs evaluation.
    #[error("expected a plain value; variables, functions and templates are not supported")]
    ComputedValue,
}

impl fmt::Display for HclError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.problem)
    }
}

impl std::error::Error for HclError {}
