//! Compatibility: what must not change between versions. The bytes of the store, the settings, the command line, the
//! exit codes, and the records.

mod command_line;
mod exit_codes;
mod records;
mod settings;
mod store;
mod support;
