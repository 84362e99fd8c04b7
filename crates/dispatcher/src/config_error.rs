//! Error of an invalid configuration.

/// Problem text of a key that is not set.
pub(crate) const MISSING: &str = "missing";

/// An invalid or missing configuration value.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigError {
    /// Path of the faulty key, or the environment variable or file that was read.
    pub key: String,
    /// What is wrong with the value of the key.
    pub problem: String,
}

impl ConfigError {
    /// Returns true if the key is not set.
    pub(crate) fn is_missing(&self) -> bool {
        self.problem.starts_with(MISSING)
    }
}

/// Returns a [`ConfigError`] for this key.
pub(crate) fn invalid<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}
