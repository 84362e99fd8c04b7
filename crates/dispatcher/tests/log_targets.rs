//! Levels given to `--log` by target, under the present names of the packages and the former ones.

use dispatcher::log::parse_levels;
use tracing::Level;

fn enabled(words: &str, target: &str, level: Level) -> bool {
    parse_levels(words).expect("good levels").would_enable(target, &level)
}

#[test]
fn levels_by_former_targets_count_for_the_present_ones() {
    for (former, present) in [
        ("cairncrank::net", "dispatcher::net::discovery"),
        ("cairncrank::policy", "dispatcher::policy"),
        ("cairncrank_core::policy", "dispatch_core::policy"),
        ("cairncrank_duty", "coordination::times"),
        ("cairncrank_release", "disruption_budget"),
        ("cairncrank_fleet::member", "cluster_member::member"),
    ] {
        let words = format!("warn,{former}=debug");
        assert!(enabled(&words, present, Level::DEBUG), "{words} for {present}");
        assert!(!enabled(&words, present, Level::TRACE), "{words} for {present}");
        assert!(!enabled(&words, "elsewhere", Level::INFO), "{words} elsewhere");
        assert!(enabled(&words, "elsewhere", Level::WARN), "{words} elsewhere");
    }
}

#[test]
fn the_name_of_the_project_stands_for_all_its_packages() {
    for package in ["dispatcher", "dispatch_core", "coordination", "disruption_budget", "cluster_member"] {
        assert!(enabled("cairncrank=trace", package, Level::TRACE), "{package}");
        assert!(!enabled("cairncrank::net=trace", &format!("{package}::log"), Level::ERROR), "{package}");
    }
    assert!(!enabled("cairncrank=trace", "tokio", Level::ERROR));
}

#[test]
fn levels_by_former_modules_count_for_the_present_ones() {
    for (former, present) in [
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
        let present = format!("dispatcher::{present}");
        for package in ["cairncrank", "dispatcher"] {
            let words = format!("warn,{package}::{former}=debug");
            assert!(enabled(&words, &present, Level::DEBUG), "{words} for {present}");
            assert!(!enabled(&words, &present, Level::TRACE), "{words} for {present}");
            assert!(!enabled(&words, "dispatcher::net::console", Level::INFO), "{words} elsewhere");
            assert!(enabled(&words, "dispatcher::net::console", Level::WARN), "{words} elsewhere");
        }
    }
}

#[test]
fn a_present_module_wins_over_its_former_name() {
    for words in [
        "cairncrank::net::leave=trace,dispatcher::net::planned_drain=warn",
        "dispatcher::net::planned_drain=warn,dispatcher::net::leave=trace",
    ] {
        assert!(!enabled(words, "dispatcher::net::planned_drain", Level::INFO), "{words}");
        assert!(enabled(words, "dispatcher::net::planned_drain", Level::WARN), "{words}");
    }
}

#[test]
fn present_targets_are_understood_and_win() {
    assert!(enabled("warn,dispatcher::net=debug", "dispatcher::net::client", Level::DEBUG));
    assert!(!enabled("warn,dispatcher::net=debug", "dispatcher::engine", Level::INFO));
    for words in ["cairncrank::net=trace,dispatcher::net=warn", "dispatcher::net=warn,cairncrank::net=trace"]
    {
        assert!(!enabled(words, "dispatcher::net", Level::INFO), "{words}");
    }
}

#[test]
fn a_level_alone_is_the_level_of_all() {
    assert!(enabled("debug", "dispatcher", Level::DEBUG) && enabled("debug", "tokio", Level::DEBUG));
    assert!(!enabled("debug", "dispatcher", Level::TRACE));
}
