//! Log levels by target, as given to `--log`. Target names of former versions are accepted as well.

use tracing_subscriber::filter::{LevelFilter, Targets};

use super::LogArgumentError;

/// Separator of the modules in a target.
const PATH_SEPARATOR: &str = "::";

/// A former name of a target, and the current targets that it stands for.
struct FormerTarget {
    name: &'static str,
    current: &'static [&'static str],
}

/// Packages that were renamed.
const FORMER_PACKAGES: [FormerTarget; 5] = [
    FormerTarget {
        name: "cairncrank",
        current: &["dispatcher", "dispatch_core", "coordination", "disruption_budget", "cluster_member"],
    },
    FormerTarget { name: "cairncrank_core", current: &["dispatch_core"] },
    FormerTarget { name: "cairncrank_duty", current: &["coordination"] },
    FormerTarget { name: "cairncrank_release", current: &["disruption_budget"] },
    FormerTarget { name: "cairncrank_fleet", current: &["cluster_member"] },
];

/// Modules that were renamed or split, by the current name of their package.
const FORMER_MODULES: [FormerTarget; 9] = [
    FormerTarget { name: "dispatcher::own", current: &["dispatcher::settings_file"] },
    FormerTarget { name: "dispatcher::net::cold", current: &["dispatcher::net::cluster::slow_start"] },
    FormerTarget { name: "dispatcher::net::fleet", current: &["dispatcher::net::cluster"] },
    FormerTarget { name: "dispatcher::net::inherit", current: &["dispatcher::net::socket_activation"] },
    FormerTarget { name: "dispatcher::net::leave", current: &["dispatcher::net::planned_drain"] },
    FormerTarget { name: "dispatcher::net::probe", current: &["dispatcher::net::worker::health_check"] },
    FormerTarget {
        name: "dispatcher::net::signal",
        current: &["dispatcher::net::shutdown", "dispatcher::net::reload"],
    },
    FormerTarget { name: "dispatcher::net::values", current: &["dispatcher::net::json_framing"] },
    FormerTarget { name: "dispatcher::net::watchers", current: &["dispatcher::net::cluster::health_checks"] },
];

/// Parses levels by target, such as `info` or `warn,dispatcher::net=debug`. A level that is given for the former name
/// of a target applies to its current name, unless a level is given for that too.
///
/// # Errors
/// Returns [`LogArgumentError::Levels`] if an element is neither a level nor a target with a level, and
/// [`LogArgumentError::NoLevel`] if the text is empty.
pub fn parse_levels(text: &str) -> Result<Targets, LogArgumentError> {
    let targets =
        text.parse::<Targets>().map_err(|error| LogArgumentError::Levels { text: text.to_owned(), error })?;
    if text.trim().is_empty() {
        return Err(LogArgumentError::NoLevel);
    }
    let mut former = Vec::new();
    let mut current = Vec::new();
    for (target, level) in &targets {
        former.extend(current_targets(target).into_iter().map(|target| (target, level)));
        current.push((target.to_owned(), level));
    }
    let translated = former.into_iter().collect::<Targets>().with_targets(current);
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
fn current_targets(target: &str) -> Vec<String> {
    let renamed_package = targets_of_renamed_package(target);
    if renamed_package.is_empty() {
        return targets_of_renamed_module(target);
    }
    let mut current = Vec::new();
    for target in renamed_package {
        let renamed_module = targets_of_renamed_module(&target);
        if renamed_module.is_empty() {
            current.push(target);
        } else {
            current.extend(renamed_module);
        }
    }
    current
}

/// Replaces a former package name at the start of a target. The bare name of a package stands for all its current
/// packages; a path to a module stands for a module of the first one only.
fn targets_of_renamed_package(target: &str) -> Vec<String> {
    let Some((package, path)) = target.split_once(PATH_SEPARATOR) else {
        return targets_of(&FORMER_PACKAGES, target);
    };
    let mut current = targets_of(&FORMER_PACKAGES, package);
    current.truncate(1);
    current.into_iter().map(|package| format!("{package}{PATH_SEPARATOR}{path}")).collect()
}

/// Replaces a target that is a former module of a current package.
fn targets_of_renamed_module(target: &str) -> Vec<String> {
    targets_of(&FORMER_MODULES, target)
}

fn targets_of(former_targets: &[FormerTarget], name: &str) -> Vec<String> {
    let former = former_targets.iter().find(|former| former.name == name);
    former.map_or_else(Vec::new, |former| former.current.iter().map(|&target| target.to_owned()).collect())
}
