//! Progress on the console, and result files.

use std::collections::BTreeMap;
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;

use super::CliError;

/// Returns a progress bar for `length` units of work; `unit` is their name in the plural.
pub fn progress_bar(length: usize, unit: &str) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) =
        ProgressStyle::with_template(&format!("{{bar:40}} {{pos}}/{{len}} {unit}, {{eta}} left"))
    {
        bar.set_style(style);
    }
    bar
}

/// Prints names, one per line.
pub fn print_names(names: &[&str]) {
    names.iter().for_each(|name| println!("{name}"));
}

/// Writes a value as JSON.
pub fn write_json(file: &Path, value: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(file, text).map_err(CliError::file(file))
}

/// Writes the results of schedules by seed. Returns an error with the first seed whose result does not hold.
pub fn write_schedules<T: Serialize>(
    file: &Path,
    results: &BTreeMap<u64, T>,
    holds: impl Fn(&T) -> bool,
) -> Result<(), CliError> {
    write_json(file, results)?;
    match results.iter().find(|(_, result)| !holds(result)) {
        Some((seed, _)) => Err(CliError::ScheduleViolated { file: file.to_owned(), seed: *seed }),
        None => Ok(()),
    }
}
