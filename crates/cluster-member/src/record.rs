//! Records of what a process did and took, a JSON object a line, for whoever checks them afterwards.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;

use serde::Serialize;

/// Where records go, or nowhere. Each is written at once and whole, so that a killed process leaves what it did.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Option<Rc<RefCell<File>>>);

#[derive(Serialize)]
struct Line<'a, T> {
    t: u64,
    kind: &'a str,
    #[serde(flatten)]
    what: T,
}

impl Recorder {
    /// Records at the end of this file, made where there is none.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn append_to(path: &Path) -> std::io::Result<Recorder> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Recorder(Some(Rc::new(RefCell::new(file)))))
    }

    /// Whether records go anywhere.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Records that at this reading of [`crate::clock::now`] something of this kind was done.
    pub fn record<T: Serialize>(&self, t: u64, kind: &str, what: T) {
        let Some(file) = &self.0 else { return };
        let Ok(mut line) = serde_json::to_vec(&Line { t, kind, what }) else { return };
        line.push(b'\n');
        // A record that cannot be written is missed by the checker, and the process goes on.
        let _ = file.borrow_mut().write_all(&line);
    }
}
