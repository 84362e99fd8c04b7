//! Command line of a coordinator.
//!
//! | module | concern |
//! | --- | --- |
//! | `arguments` | usage and arguments |
//! | `commands` | subcommands |
//! | `error` | errors and exit codes |
//! | `output` | printed text and JSON |
//! | `metrics` | metrics in the text format of Prometheus |

mod arguments;
mod commands;
mod error;
mod metrics;
mod output;

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use arguments::{Arguments, Subcommand, USAGE};
use coordinator::{config, exit_code};
use error::CommandError;

const PROGRAM: &str = env!("CARGO_BIN_NAME");

/// Runs the program with the arguments of the process.
pub(crate) fn run() -> ExitCode {
    let arguments = match arguments::parse() {
        Ok(arguments) => arguments,
        Err(error) => return bad_usage(&error),
    };
    let subcommand = match arguments.subcommand() {
        Ok(subcommand) => subcommand,
        Err(error) => return bad_usage(&error),
    };
    match subcommand {
        Subcommand::Help => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Subcommand::Version => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    let Some(file) = &arguments.config else {
        eprintln!("{PROGRAM}: --config FILE is missing");
        return ExitCode::from(exit_code::BAD_USAGE);
    };
    match run_subcommand(subcommand, &arguments, file) {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn bad_usage(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{PROGRAM}: {error}\n\n{USAGE}");
    ExitCode::from(exit_code::BAD_USAGE)
}

/// Runs a subcommand that needs the settings file, and returns the text to be printed.
fn run_subcommand(
    subcommand: Subcommand,
    arguments: &Arguments,
    file: &Path,
) -> Result<String, CommandError> {
    let config = config::read(file)?;
    tracing_subscriber::fmt()
        .with_max_level(arguments.log_level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .init();
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    let command = commands::run(subcommand, arguments, &config);
    tokio::task::LocalSet::new().block_on(&runtime, command)
}
