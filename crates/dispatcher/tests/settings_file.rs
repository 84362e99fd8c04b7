//! The local settings: their defaults, and the errors of invalid files.

use dispatch_core::api::CapacityReservation;
use dispatcher::settings_file::{LocalSettings, VARIABLE};

#[test]
fn capacity_reservation_is_off_unless_the_file_enables_it() {
    let read = |text| {
        LocalSettings::parse("local.hcl", text)
            .map(|local| local.capacity_reservation)
            .map_err(|error| error.to_string())
    };
    assert_eq!(read(""), Ok(None));
    assert_eq!(read("room {\n}\n"), Ok(Some(CapacityReservation { min_slots: 4.0, price: 16.0 })));
    assert_eq!(read("room {\n  hold = false\n  from_slots = 2\n}\n"), Ok(None));
    let too_small = "local.hcl:2: room.from_slots: expected a number from 2 to 1024, found 1".to_owned();
    assert_eq!(read("room {\n  from_slots = 1\n}\n"), Err(too_small));
    assert_eq!(read("rooms {\n}\n"), Err("local.hcl:1: rooms: there is no such block here".to_owned()));
}

#[test]
fn cluster_settings_have_defaults_and_required_keys() {
    let coordinator = |n| format!("  keeper \"{n}\" {{\n    address = \"127.0.0.1:710{n}\"\n  }}\n");
    let coordinators: String = (1..=3).map(coordinator).collect();
    let head = "fleet {\n  installation = \"north\"\n  listen = \"127.0.0.1:0\"\n";
    let cluster =
        LocalSettings::parse("local.hcl", &format!("{head}{coordinators}}}\n")).unwrap().cluster.unwrap();
    assert_eq!(
        (cluster.coordinators.len(), cluster.shared_list, cluster.list_event_timeout),
        (3, true, 3_000_000)
    );
    let error = |text: String| LocalSettings::parse("local.hcl", &text).unwrap_err().to_string();
    let with_health_checks = |inner: &str| format!("{head}{coordinators}  watch {{\n{inner}  }}\n}}\n");
    let health_checks = LocalSettings::parse("local.hcl", &with_health_checks("    sets = 4\n"))
        .unwrap()
        .cluster
        .unwrap()
        .health_checks
        .unwrap();
    assert_eq!(
        (health_checks.set_count, health_checks.probe_interval, health_checks.report_ttl),
        (4, 1_000_000, 4_000_000)
    );
    let expiry_error = error(with_health_checks("    every_ms = 2000\n    holds_ms = 3000\n"));
    assert!(expiry_error.contains("holds_ms") && expiry_error.contains("every_ms"), "{expiry_error}");
    let with_slow_start = |inner: &str| format!("{head}{coordinators}  cold {{\n{inner}  }}\n}}\n");
    let quota = LocalSettings::parse("local.hcl", &with_slow_start("    slots = 8\n"))
        .unwrap()
        .cluster
        .unwrap()
        .slow_start
        .unwrap();
    assert_eq!((quota.smallest_worker_slots, quota.grantable_fraction, quota.grant_ttl), (8.0, 0.5, 500_000));
    assert!(error(with_slow_start("")).contains("cold.slots"), "{}", error(with_slow_start("")));
    assert!(error(with_slow_start("    slots = 8\n    part = 0.6\n")).contains("cold.part"));
    assert!(error(format!("{head}}}\n")).contains("expected three or five replicas"));
    let timing_error = error(format!("{head}{coordinators}  times {{\n    lease_ms = 900\n  }}\n}}\n"));
    assert!(timing_error.contains("renew_ms") && timing_error.contains("lease_ms"), "{timing_error}");
    assert!(
        error(format!("fleet {{\n  listen = \"127.0.0.1:0\"\n{coordinators}}}\n")).contains("installation")
    );
}

#[test]
fn a_missing_file_is_an_error_only_if_it_was_named() {
    let variables = |settings: Option<&'static str>| {
        move |name: &str| match name {
            VARIABLE => settings.map(str::to_owned),
            _ => Some("/nowhere/config.json".to_owned()),
        }
    };
    assert_eq!(LocalSettings::load(variables(None)), Ok(LocalSettings::default()));
    let missing = LocalSettings::load(variables(Some("/nowhere/local.hcl"))).map_err(|error| error.key);
    assert_eq!(missing, Err("/nowhere/local.hcl".to_owned()));
}
