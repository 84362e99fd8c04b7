//! What is wrong with a configuration, by the key at fault.

/// What is wrong with a configuration.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

/// A fault at this key.
pub(crate) fn invalid<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}
