//! Targets: the processes that budgets select and permits take out of service.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Kind of a target. The order of variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TargetKind {
    /// A dispatcher.
    Dispatcher,
    /// A worker.
    Worker,
}

/// A process that may be taken out of service, written `dispatcher/NAME` or `worker/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Kind of process.
    pub kind: TargetKind,
    /// Name, unique among targets of the kind.
    pub name: String,
}

impl Target {
    /// Returns the dispatcher of this name.
    pub(crate) fn dispatcher(name: &str) -> Target {
        Target { kind: TargetKind::Dispatcher, name: name.to_owned() }
    }

    /// Returns the worker of this name.
    pub(crate) fn worker(name: &str) -> Target {
        Target { kind: TargetKind::Worker, name: name.to_owned() }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            TargetKind::Dispatcher => write!(f, "dispatcher/{}", self.name),
            TargetKind::Worker => write!(f, "worker/{}", self.name),
        }
    }
}

/// Error for a text that is not a [`Target`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseTargetError {
    /// The text does not start with a known kind and a slash.
    #[error("{text:?} is not a target; expected dispatcher/NAME or worker/NAME")]
    UnknownKind {
        /// The complete text.
        text: String,
    },
    /// Nothing follows the slash.
    #[error("{text:?}: the name is missing")]
    MissingName {
        /// The complete text.
        text: String,
    },
}

impl FromStr for Target {
    type Err = ParseTargetError;

    fn from_str(text: &str) -> Result<Target, ParseTargetError> {
        let (kind, name) = text.split_once('/').unwrap_or(("", ""));
        let kind = match kind {
            "dispatcher" => TargetKind::Dispatcher,
            "worker" => TargetKind::Worker,
            _ => return Err(ParseTargetError::UnknownKind { text: text.to_owned() }),
        };
        if name.is_empty() {
            return Err(ParseTargetError::MissingName { text: text.to_owned() });
        }
        Ok(Target { kind, name: name.to_owned() })
    }
}
