//! Levels given to `--log` by target, with current and former names of packages and modules.

use dispatcher::log::parse_levels;
use tracing::Level;

fn enabled(levels: &str, target: &str, level: Level) -> bool {
    parse_levels(levels).expect("valid levels").would_enable(target, &level)
}

#[test]
fn former_package_names_apply_to_current_packages() {
    for (former, current) in [
        ("cairncrank::net", "dispatcher::net::discovery"),
        ("cairncrank::policy", "dispatcher::policy"),
        ("cairncrank_core::policy", "dispatch_core::policy"),
        ("cairncrank_duty", "coordination::times"),
        ("cairncrank_release", "disruption_budget"),
        ("cairncrank_fleet::member", "cluster_member::member"),
    ] {
        let levels = format!("warn,{former}=debug");
        assert!(enabled(&levels, current, Level::DEBUG), "{levels} for {current}");
        assert!(!enabled(&levels, current, Level::TRACE), "{levels} for {current}");
        assert!(!enabled(&levels, "elsewhere", Level::INFO), "{levels} elsewhere");
        assert!(enabled(&levels, "elsewhere", Level::WARN), "{levels} elsewhere");
    }
}

#[test]
fn the_project_name_applies_to_all_packages() {
    for package in ["dispatcher", "dispatch_core", "coordination", "disruption_budget", "cluster_member"] {
        assert!(enabled("cairncrank=trace", package, Level::TRACE), "{package}");
        assert!(!enabled("cairncrank::net=trace", &format!("{package}::log"), Level::ERROR), "{package}");
    }
    assert!(!enabled("cairncrank=trace", "tokio", Level::ERROR));
}

#[test]
fn former_module_names_apply_to_current_modules() {
    for (former, current) in [
        ("own", "settings_file"),
        ("net::cold", "net::cluster::slow_start"),
        ("net::fleet", "net::cluster::timing"),
        ("net::inherit", "net::socket_activation"),
        ("net::leave", "net::planned_drain"),
        ("net::probe", "net::worker::health_check"),
        ("net::signal", "net::shutdown"),
        ("net::signal", "net::reload"),
        ("net::values", "net::json_framing"),
        ("net::watchers", "net::cluster::health_checks"),
    ] {
        let current = format!("dispatcher::{current}");
        for package in ["cairncrank", "dispatcher"] {
            let levels = format!("warn,{package}::{former}=debug");
            assert!(enabled(&levels, &current, Level::DEBUG), "{levels} for {current}");
            assert!(!enabled(&levels, &current, Level::TRACE), "{levels} for {current}");
            assert!(!enabled(&levels, "dispatcher::net::console", Level::INFO), "{levels} elsewhere");
            assert!(enabled(&levels, "dispatcher::net::console", Level::WARN), "{levels} elsewhere");
        }
    }
}

#[test]
fn a_current_module_name_takes_precedence_over_its_former_name() {
    for levels in [
        "cairncrank::net::leave=trace,dispatcher::net::planned_drain=warn",
        "dispatcher::net::planned_drain=warn,dispatcher::net::leave=trace",
    ] {
        assert!(!enabled(levels, "dispatcher::net::planned_drain", Level::INFO), "{levels}");
        assert!(enabled(levels, "dispatcher::net::planned_drain", Level::WARN), "{levels}");
    }
}

#[test]
fn current_target_names_are_accepted_and_take_precedence() {
    assert!(enabled("warn,dispatcher::net=debug", "dispatcher::net::client", Level::DEBUG));
    assert!(!enabled("warn,dispatcher::net=debug", "dispatcher::engine", Level::INFO));
    for levels in ["cairncrank::net=trace,dispatcher::net=warn", "dispatcher::net=warn,cairncrank::net=trace"]
    {
        assert!(!enabled(levels, "dispatcher::net", Level::INFO), "{levels}");
    }
}

#[test]
fn a_level_without_a_target_applies_to_all_targets() {
    assert!(enabled("debug", "dispatcher", Level::DEBUG) && enabled("debug", "tokio", Level::DEBUG));
    assert!(!enabled("debug", "dispatcher", Level::TRACE));
}
