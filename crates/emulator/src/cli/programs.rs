//! Paths of the programs in the folder of this one.

use std::path::PathBuf;

use emulator::cluster::cluster_harness::Binaries;
use emulator::cluster::lease_harness::Programs;

use super::CliError;

/// Returns the path of the program with this name in the folder of this one.
pub fn sibling(name: &str) -> Result<PathBuf, CliError> {
    let own = std::env::current_exe().map_err(CliError::OwnPath)?;
    let program = own.with_file_name(format!("{name}{}", std::env::consts::EXE_SUFFIX));
    if program.is_file() {
        Ok(program)
    } else {
        Err(CliError::MissingProgram(program))
    }
}

/// Returns the programs for a cluster of dispatchers.
pub fn cluster_binaries() -> Result<Binaries, CliError> {
    Ok(Binaries { dispatcher: sibling("dispatcher")?, coordinator: sibling("coordinator")? })
}

/// Returns the programs for a cluster of lightweight members.
pub fn lease_programs() -> Result<Programs, CliError> {
    let own = std::env::current_exe().map_err(CliError::OwnPath)?;
    Ok(Programs { coordinator: sibling("coordinator")?, emulator: own })
}
