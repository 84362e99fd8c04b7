//! Program of a coordinator. See [`cli`].

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
