//! Records of events in a process, as lines of JSON, for the record checker of experiments.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;

use coordination::Micros;
use serde::Serialize;

/// Writer of records to a file; disabled by default. Each record is one write, so that the file of a killed process
/// contains complete lines only.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Option<Rc<RefCell<File>>>);

/// Kind of a record. The names in the file are a stable format and differ from those of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RecordKind {
    /// A process started.
    #[serde(rename = "started")]
    ProcessStarted,
    /// A replica became the leader or lost the leadership.
    #[serde(rename = "leads")]
    LeadershipChanged,
    /// A replica applied an entry of the log.
    #[serde(rename = "applied")]
    EntryApplied,
    /// A member opened a session.
    #[serde(rename = "session")]
    SessionOpened,
    /// A lease holder sent an effect.
    #[serde(rename = "acted")]
    EffectSent,
    /// A receiver accepted an effect.
    #[serde(rename = "taken")]
    EffectAccepted,
    /// A receiver rejected an effect.
    #[serde(rename = "refused")]
    EffectRejected,
    /// The holder of the slow-start lease granted quota.
    #[serde(rename = "granted")]
    QuotaGranted,
    /// A member applied an unhealthy verdict.
    #[serde(rename = "against")]
    VerdictApplied,
    /// A dispatcher entered standby.
    #[serde(rename = "standby")]
    StandbyEntered,
    /// A dispatcher returned from standby.
    #[serde(rename = "active")]
    StandbyLeft,
}

/// Line of the file.
#[derive(Serialize)]
struct Line<T> {
    #[serde(rename = "t")]
    time: Micros,
    kind: RecordKind,
    #[serde(flatten)]
    fields: T,
}

impl Recorder {
    /// Creates a recorder that appends to this file, which is created if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened.
    pub fn append_to(path: &Path) -> io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Some(Rc::new(RefCell::new(file)))))
    }

    /// Returns whether records are written.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Writes a record with its fields. `time` is a reading of [`crate::clock::now`].
    pub fn record<T: Serialize>(&self, time: Micros, kind: RecordKind, fields: T) {
        let Some(file) = &self.0 else { return };
        let Ok(mut line) = serde_json::to_vec(&Line { time, kind, fields }) else { return };
        line.push(b'\n');
        // A failed write only loses a record for the checker and must not stop the process.
        let _ = file.borrow_mut().write_all(&line);
    }
}
