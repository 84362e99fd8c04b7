//! Error of an invalid configuration.

/// Problem of a key that is not set.
pub(crate) const MISSING: &str = "missing";

/// Error of an invalid configuration, by the faulty key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigError {
    /// Faulty key.
    pub key: String,
    /// Problem of its value.
    pub problem: String,
}

impl ConfigError {
    /// Returns true if the key is not set.
    pub(crate) fn is_missing(&self) -> bool {
        self.problem.starts_with(MISSING)
    }
}

/// Returns the error of a faulty key.
pub(crate) fn invalid<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}
