//! Records of what a process did and accepted, a JSON object a line, for programs that check them afterwards.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;

use coordination::Micros;
use serde::Serialize;

/// Writes records to a file, or nowhere. Each is written at once and complete, so that a killed process leaves what it did.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Option<Rc<RefCell<File>>>);

/// One line of the file.
#[derive(Serialize)]
struct Line<'a, T> {
    #[serde(rename = "t")]
    time: Micros,
    kind: &'a str,
    #[serde(flatten)]
    fields: T,
}

impl Recorder {
    /// Records at the end of this file, made where there is none.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn append_to(path: &Path) -> io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Some(Rc::new(RefCell::new(file)))))
    }

    /// Whether records go anywhere.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Records that something of this kind was done at this reading of [`crate::clock::now`], with fields that say more.
    pub fn record<T: Serialize>(&self, time: Micros, kind: &str, fields: T) {
        let Some(file) = &self.0 else { return };
        let Ok(mut line) = serde_json::to_vec(&Line { time, kind, fields }) else { return };
        line.push(b'\n');
        // A record that cannot be written is missing for the checker, and the process goes on.
        let _ = file.borrow_mut().write_all(&line);
    }
}
