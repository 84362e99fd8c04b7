//! What all cases share: arguments, verdict and exit codes.

use std::path::{Path, PathBuf};

use crate::record::Record;

/// Exit code of a case whose rule held.
const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
const NOT_RUN: i32 = 2;

/// Paths of a run, and its record.
pub struct Run {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder of this run.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is played; `TROUBLE=0` leaves it out.
    pub with_disruption: bool,
}

/// Plays a case and ends the process with its exit code. The case returns one line for each time that the rule was
/// broken, or the reason for which it could not run.
pub fn play(case: impl Fn(&Run) -> Result<Vec<String>, String>) -> ! {
    let result = Run::from_environment().and_then(|run| {
        let broken = case(&run)?;
        for line in &broken {
            run.record.print(&format!("broken: {line}"));
        }
        run.record.print(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
        Ok(broken.is_empty())
    });
    std::process::exit(match result {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            NOT_RUN
        }
    })
}

impl Run {
    fn from_environment() -> Result<Run, String> {
        let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, record] = arguments.as_slice() else {
            return Err("usage: ROOT FOLDER RECORD".to_owned());
        };
        let with_disruption = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(Path::new(record)).map_err(|error| format!("record: {error}"))?;
        record.write(if with_disruption { "with the disruption" } else { "without the disruption" });
        Ok(Run { root: root.clone(), folder: folder.clone(), record, with_disruption })
    }
}

/// Turns an error into the reason for which a case could not run.
pub fn reason(error: impl std::fmt::Display) -> String {
    error.to_string()
}
