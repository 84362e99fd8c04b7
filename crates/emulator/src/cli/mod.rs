//! The command line: its arguments, and a module for each group of subcommands.

mod arguments;
mod cluster;
mod error;
mod experiments;
mod output;
mod programs;
mod protocol;

use emulator::cluster::lightweight_member;

use arguments::Command;
pub use arguments::CommandLine;
pub use error::CliError;

/// Runs the subcommand of the command line.
///
/// # Errors
/// The subcommand failed, or a rule that it checks is violated.
pub fn run(command_line: CommandLine) -> Result<(), CliError> {
    match command_line.command {
        Command::Run(arguments) => experiments::run(&arguments),
        Command::Compare { before, after } => experiments::compare_results(&before, &after),
        Command::List { folder } => experiments::list(&folder),
        Command::Waits { length_s, out } => cluster::dispatch_latency(length_s, &out),
        Command::Worth(arguments) => cluster::scaling_cost(&arguments),
        Command::Watching(arguments) => cluster::shared_health_checks(&arguments),
        Command::Drains(arguments) => cluster::planned_drains(&arguments),
        Command::Joining(arguments) => cluster::slow_start(&arguments),
        Command::LightMember { file } => Ok(lightweight_member::run(&file)?),
        Command::Hours(arguments) => protocol::soak(&arguments),
        Command::Model(arguments) => protocol::model(&arguments),
    }
}
