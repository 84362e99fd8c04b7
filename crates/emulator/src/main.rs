//! The command line of the emulator.

mod cli;

use std::process::ExitCode;

use clap::Parser as _;

fn main() -> ExitCode {
    match cli::run(cli::CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emulator: {error}");
            ExitCode::FAILURE
        }
    }
}
