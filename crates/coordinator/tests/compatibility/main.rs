//! What may not change from one version to the next: the store's bytes, the settings, the command line, the exit codes, the records.

mod command_line;
mod exit_codes;
mod records;
mod settings;
mod store;
mod support;
