//! Our own settings: their defaults, and the faults of wrong files.

use dispatch_core::api::CapacityReservation;
use dispatcher::settings_file::{LocalSettings, VARIABLE};

#[test]
fn room_is_held_where_the_file_asks_for_it() {
    let read = |text| {
        LocalSettings::parse("own.hcl", text)
            .map(|own| own.capacity_reservation)
            .map_err(|fault| fault.to_string())
    };
    assert_eq!(read(""), Ok(None));
    assert_eq!(read("room {\n}\n"), Ok(Some(CapacityReservation { min_slots: 4.0, price: 16.0 })));
    assert_eq!(read("room {\n  hold = false\n  from_slots = 2\n}\n"), Ok(None));
    let from = "own.hcl:2: room.from_slots: expected a number from 2 to 1024, found 1".to_owned();
    assert_eq!(read("room {\n  from_slots = 1\n}\n"), Err(from));
    assert_eq!(read("rooms {\n}\n"), Err("own.hcl:1: rooms: there is no such block here".to_owned()));
}

#[test]
fn a_fleet_is_named_whole_or_not_at_all() {
    let keeper = |n| format!("  keeper \"{n}\" {{\n    address = \"127.0.0.1:710{n}\"\n  }}\n");
    let keepers: String = (1..=3).map(keeper).collect();
    let head = "fleet {\n  installation = \"north\"\n  listen = \"127.0.0.1:0\"\n";
    let fleet = LocalSettings::parse("own.hcl", &format!("{head}{keepers}}}\n")).unwrap().cluster.unwrap();
    assert_eq!((fleet.coordinators.len(), fleet.shared_list, fleet.list_silence), (3, true, 3_000_000));
    let fault = |text: String| LocalSettings::parse("own.hcl", &text).unwrap_err().to_string();
    let watch = |inner: &str| format!("{head}{keepers}  watch {{\n{inner}  }}\n}}\n");
    let watched = LocalSettings::parse("own.hcl", &watch("    sets = 4\n"))
        .unwrap()
        .cluster
        .unwrap()
        .health_checks
        .unwrap();
    assert_eq!((watched.set_count, watched.probe_interval, watched.report_ttl), (4, 1_000_000, 4_000_000));
    let lapses = fault(watch("    every_ms = 2000\n    holds_ms = 3000\n"));
    assert!(lapses.contains("holds_ms") && lapses.contains("every_ms"), "{lapses}");
    let cold = |inner: &str| format!("{head}{keepers}  cold {{\n{inner}  }}\n}}\n");
    let dealt = LocalSettings::parse("own.hcl", &cold("    slots = 8\n"))
        .unwrap()
        .cluster
        .unwrap()
        .slow_start
        .unwrap();
    assert_eq!((dealt.smallest_worker_slots, dealt.grantable_fraction, dealt.grant_ttl), (8.0, 0.5, 500_000));
    assert!(fault(cold("")).contains("cold.slots"), "{}", fault(cold("")));
    assert!(fault(cold("    slots = 8\n    part = 0.6\n")).contains("cold.part"));
    assert!(fault(format!("{head}}}\n")).contains("expected three or five replicas"));
    let times = fault(format!("{head}{keepers}  times {{\n    lease_ms = 900\n  }}\n}}\n"));
    assert!(times.contains("renew_ms") && times.contains("lease_ms"), "{times}");
    assert!(fault(format!("fleet {{\n  listen = \"127.0.0.1:0\"\n{keepers}}}\n")).contains("installation"));
}

#[test]
fn a_named_file_must_be_there_and_the_one_beside_may_be_missing() {
    let var = |settings: Option<&'static str>| {
        move |name: &str| match name {
            VARIABLE => settings.map(str::to_owned),
            _ => Some("/nowhere/config.json".to_owned()),
        }
    };
    assert_eq!(LocalSettings::load(var(None)), Ok(LocalSettings::default()));
    let missing = LocalSettings::load(var(Some("/nowhere/own.hcl"))).map_err(|error| error.key);
    assert_eq!(missing, Err("/nowhere/own.hcl".to_owned()));
}
