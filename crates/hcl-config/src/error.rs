//! What is wrong with a file, and where.

use std::fmt;

use crate::Value;

/// What is wrong with a file, and where: shown as `FILE:LINE: KEY: PROBLEM`.
#[derive(Clone, Debug, PartialEq)]
pub struct HclError {
    /// The file, as the caller named it.
    pub file: String,
    /// The line, from 1; 0 where the file as a whole is at fault.
    pub line: usize,
    /// The key, with the blocks that it stands in; empty where the text is not HCL.
    pub key: String,
    /// What is wrong there.
    pub problem: Problem,
}

/// The result of reading a setting.
pub type HclResult<T> = Result<T, HclError>;

/// What is wrong at a place of a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The text is not HCL; the parser's message.
    #[error("invalid HCL: {0}")]
    Syntax(String),
    /// An expression is not a plain value.
    #[error(transparent)]
    Value(#[from] ValueError),
    /// The value at a key has another type, or is out of bounds.
    #[error("expected {expected}, found {found}")]
    Unexpected {
        /// What the getter wanted.
        expected: String,
        /// The value that stands there.
        found: Value,
    },
    /// A block that may stand there once stands there again.
    #[error("there is more than one such block")]
    RepeatedBlock,
    /// No getter read this key.
    #[error("there is no such key here")]
    UnknownKey,
    /// No getter read this block.
    #[error("there is no such block here")]
    UnknownBlock,
    /// What the reader of the settings found wrong, beyond types and bounds.
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

/// Why an expression is not a plain value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ValueError {
    /// A number is infinite or beyond `f64`.
    #[error("the number is out of range")]
    NumberOutOfRange,
    /// A key of an object has to be evaluated.
    #[error("keys of an object must be names")]
    ComputedKey,
    /// A minus stands before something that is not a number.
    #[error("a minus needs a number, found {0}")]
    NegatedNonNumber(Value),
    /// An expression has to be evaluated.
    #[error("expected a plain value; variables, functions and templates are not read")]
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
