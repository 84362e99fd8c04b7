//! Levels of the log by target, as given to `--log`; targets may have the names that they had in former versions.

use tracing_subscriber::filter::{LevelFilter, Targets};

use super::LogArgumentError;

/// Separates the modules in a target.
const PATH_SEPARATOR: &str = "::";

/// A former name of a target, and the targets that it stands for now.
struct FormerTarget {
    name: &'static str,
    present: &'static [&'static str],
}

/// Packages that were renamed.
const FORMER_PACKAGES: [FormerTarget; 5] = [
    FormerTarget {
        name: "cairncrank",
        present: &["dispatcher", "dispatch_core", "coordination", "disruption_budget", "cluster_member"],
    },
    FormerTarget { name: "cairncrank_core", present: &["dispatch_core"] },
    FormerTarget { name: "cairncrank_duty", present: &["coordination"] },
    FormerTarget { name: "cairncrank_release", present: &["disruption_budget"] },
    FormerTarget { name: "cairncrank_fleet", present: &["cluster_member"] },
];

/// Modules that were renamed or split, by the present name of their package.
const FORMER_MODULES: [FormerTarget; 9] = [
    FormerTarget { name: "dispatcher::own", present: &["dispatcher::settings_file"] },
    FormerTarget { name: "dispatcher::net::cold", present: &["dispatcher::net::cluster::slow_start"] },
    FormerTarget { name: "dispatcher::net::fleet", present: &["dispatcher::net::cluster"] },
    FormerTarget { name: "dispatcher::net::inherit", present: &["dispatcher::net::socket_activation"] },
    FormerTarget { name: "dispatcher::net::leave", present: &["dispatcher::net::planned_drain"] },
    FormerTarget { name: "dispatcher::net::probe", present: &["dispatcher::net::worker::health_check"] },
    FormerTarget {
        name: "dispatcher::net::signal",
        present: &["dispatcher::net::shutdown", "dispatcher::net::reload"],
    },
    FormerTarget { name: "dispatcher::net::values", present: &["dispatcher::net::json_framing"] },
    FormerTarget { name: "dispatcher::net::watchers", present: &["dispatcher::net::cluster::health_checks"] },
];

/// Parses levels by target, such as `info` or `warn,dispatcher::net=debug`. A level of a target's former name applies to
/// its present one, unless that has a level of its own.
///
/// # Errors
/// Returns [`LogArgumentError::Levels`] for what is neither a level nor a target with a level, and
/// [`LogArgumentError::NoLevel`] for an empty text.
pub fn parse_levels(text: &str) -> Result<Targets, LogArgumentError> {
    let targets =
        text.parse::<Targets>().map_err(|error| LogArgumentError::Levels { text: text.to_owned(), error })?;
    if text.trim().is_empty() {
        return Err(LogArgumentError::NoLevel);
    }
    let mut former = Vec::new();
    let mut present = Vec::new();
    for (target, level) in &targets {
        former.extend(present_targets(target).into_iter().map(|target| (target, level)));
        present.push((target.to_owned(), level));
    }
    let translated = former.into_iter().collect::<Targets>().with_targets(present);
    Ok(match targets.default_level() {
        Some(level) => translated.with_default(level),
        None => translated,
    })
}

/// Returns the levels that apply without `--log`.
pub fn default_levels() -> Targets {
    Targets::new().with_default(LevelFilter::INFO)
}

/// Returns the targets that a former target stands for; empty if the target was never renamed.
fn present_targets(target: &str) -> Vec<String> {
    let renamed_package = targets_of_renamed_package(target);
    if renamed_package.is_empty() {
        return targets_of_renamed_module(target);
    }
    let mut present = Vec::new();
    for target in renamed_package {
        let renamed_module = targets_of_renamed_module(&target);
        if renamed_module.is_empty() {
            present.push(target);
        } else {
            present.extend(renamed_module);
        }
    }
    present
}

/// Replaces a former package at the start of a target. A module stands for one of the first present package; only the
/// bare name of a package stands for all.
fn targets_of_renamed_package(target: &str) -> Vec<String> {
    let Some((package, path)) = target.split_once(PATH_SEPARATOR) else {
        return targets_of(&FORMER_PACKAGES, target);
    };
    let mut present = targets_of(&FORMER_PACKAGES, package);
    present.truncate(1);
    present.into_iter().map(|package| format!("{package}{PATH_SEPARATOR}{path}")).collect()
}

/// Replaces a former module of a present package.
fn targets_of_renamed_module(target: &str) -> Vec<String> {
    targets_of(&FORMER_MODULES, target)
}

fn targets_of(former_targets: &[FormerTarget], name: &str) -> Vec<String> {
    let former = former_targets.iter().find(|former| former.name == name);
    former.map_or_else(Vec::new, |former| former.present.iter().map(|&target| target.to_owned()).collect())
}
