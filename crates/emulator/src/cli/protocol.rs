//! Subcommands that check the lease protocol: the virtual-time soak, and a search of all orders of events.

use std::time::Instant;

use coordination::InjectedBug;
use emulator::cluster::lease_model::{search, Bounds};
use emulator::cluster::virtual_time_soak::run_soak;

use super::arguments::{ModelArgs, SoakArgs};
use super::output::print_names;
use super::CliError;

/// Value of `--seeded-bug` that lists all bugs.
pub const LIST: &str = "list";

fn injected_bug_names() -> Vec<&'static str> {
    InjectedBug::names().iter().map(|(name, _)| *name).collect()
}

/// Prints the names of the bugs that can be injected into the lease protocol.
pub fn list_injected_bugs() {
    print_names(&injected_bug_names());
}

/// Returns the bug with this name, if a name is given.
pub fn injected_bug(name: Option<&str>) -> Result<Option<InjectedBug>, CliError> {
    let Some(name) = name else { return Ok(None) };
    match InjectedBug::from_name(name) {
        Some(bug) => Ok(Some(bug)),
        None => Err(CliError::UnknownBug { names: injected_bug_names() }),
    }
}

/// Runs the virtual-time soak and prints its result.
pub fn soak(arguments: &SoakArgs) -> Result<(), CliError> {
    let bug = injected_bug(arguments.seeded_bug.as_deref())?;
    let result = run_soak(arguments.hours, arguments.seed, arguments.skew_ppm, bug);
    println!("{result:#}");
    if result.is_violated() {
        Err(CliError::SoakViolated)
    } else {
        Ok(())
    }
}

/// Checks every order of events within bounds, or lists the bugs that can be injected.
pub fn model(arguments: &ModelArgs) -> Result<(), CliError> {
    let bug_name = arguments.seeded_bug.as_deref();
    if bug_name == Some(LIST) {
        list_injected_bugs();
        return Ok(());
    }
    let bounds = Bounds {
        members: arguments.members,
        time: arguments.time,
        messages: arguments.messages,
        ..Bounds::default()
    };
    let start = Instant::now();
    let found = search(injected_bug(bug_name)?, bounds, arguments.threads);
    let took = start.elapsed().as_secs_f64();
    println!("{} states, {} events deep, {took:.1} s", found.states, found.depth);
    if let Some((property, events)) = found.violated {
        return Err(CliError::PropertyViolated { property: property.to_string(), events });
    }
    if !found.handed_over {
        return Err(CliError::NothingChecked);
    }
    Ok(())
}
