//! All keys of the two settings files and all environment variables. The example files set each key to a different
//! value, so that a renamed key or variable fails a test.

use std::collections::BTreeMap;

use cluster_member::health_check::HealthCheckConfig;
use cluster_member::slow_start::QuotaConfig;
use coordination::Timing;
use dispatch_core::hashing::worker_id;
use dispatcher::api::{
    CapacityReservation, Class, Endpoint, Idempotency, KeyScope, ListScope, LoadReport, LoadReports, Tenant,
    WorkerState,
};
use dispatcher::config::{self, Config, NameTable};
use dispatcher::settings_file::{ClusterSettings, LocalSettings};
use serde_json::{json, Value};

const EVERY_KEY: &str = include_str!("fixtures/every_key.json");
const EVERY_KEY_HCL: &str = include_str!("fixtures/every_key.hcl");

fn every_key() -> Value {
    serde_json::from_str(EVERY_KEY).expect("the example is JSON")
}

fn parse(root: &Value) -> Result<Config, String> {
    Config::parse(&root.to_string(), |_| None).map_err(|error| error.to_string())
}

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn keys_outside_of_settings_are_read() {
    let config = parse(&every_key()).expect("the example is valid");
    assert_eq!(config.name, "every-key");
    assert_eq!(config.listen, address(7071));
    assert_eq!(config.discovery, address(8501));
    assert_eq!(config.console, Some(address(9901)));
    assert_eq!(config.seed, 0x2a);
    assert_eq!(config.client_sockets, 300);
    assert_eq!(config.worker_sockets, 200);
    assert_eq!(config.memory_limit, 48_000_000);
    assert_eq!(config.dial_timeout, 300_000);
    assert_eq!(config.idle_timeout, 4_800_000);
    assert_eq!(config.drain_grace, 750_000);
    assert!(config.list_is_pushed);
    assert_eq!(config.longest_timeout, 12_000_000);
    assert_eq!(config.cluster, None);
    let current = |table: &NameTable| table.current().map(str::to_owned).collect::<Vec<_>>();
    assert_eq!(current(&config.names.tenants), ["web", "till"]);
    assert_eq!(current(&config.names.zones), ["north", "south"]);
    assert_eq!(current(&config.names.kinds), ["small", "large"]);
    let classes: Vec<_> = config
        .names
        .classes
        .iter()
        .map(|c| (c.name.as_str(), c.timeout, c.requires_idempotency_key))
        .collect();
    assert_eq!(
        classes,
        [("lookup", 4_000_000, false), ("order", 9_000_000, true), ("refund", 12_000_000, true)]
    );
}

#[test]
fn the_saved_list_is_read() {
    let saved_list = parse(&every_key()).expect("the example is valid").saved_list;
    assert_eq!(saved_list.revision, Some(9));
    let found: Vec<_> = saved_list.endpoints.iter().map(|listed| (listed.endpoint, listed.address)).collect();
    let endpoint = |name: &str, kind, zone, cell, started_at, state| Endpoint {
        worker: worker_id(name),
        kind,
        zone,
        cell,
        started_at,
        state,
    };
    let expected = [
        (endpoint("w-1", 1, 1, 3, 1.5, WorkerState::Serving), Some(address(9101))),
        (endpoint("w-2", 1, 2, 4, 2.5, WorkerState::Draining), Some(address(9102))),
        (endpoint("w-3", 2, 1, 5, 3.5, WorkerState::Removed), Some(address(9103))),
    ];
    assert_eq!(format!("{found:?}"), format!("{:?}", Vec::from(expected)));
}

#[test]
fn settings_of_the_decision_module_are_read() {
    let settings = parse(&every_key()).expect("the example is valid").settings;
    assert_eq!(settings.instance, 3);
    assert_eq!(settings.instances, 7);
    assert_eq!(settings.zone, 1);
    let class = |idempotency, key_window, latency_objective, run_time_allowance, late_weight, kind| Class {
        idempotency,
        key_window,
        latency_objective,
        run_time_allowance,
        late_weight,
        required_kind: Some(kind),
    };
    let classes = vec![
        class(Idempotency::Idempotent, Class::default().key_window, 0.6, 1.25, 0.3, 1),
        class(Idempotency::WithKey(KeyScope::Cell), 14.0, 1.1, 2.5, 0.4, 0),
        class(Idempotency::WithKey(KeyScope::Zone), 13.0, 1.2, 3.0, 0.6, 1),
    ];
    assert_eq!(format!("{:?}", settings.classes), format!("{classes:?}"));
    let tenants = vec![Tenant { share: 0.7, quota: 14.0 }, Tenant { share: 0.3, quota: 6.0 }];
    assert_eq!(format!("{:?}", settings.tenants), format!("{tenants:?}"));
    assert!(!settings.polls_endpoint_list);
    assert_eq!(settings.max_poll_interval, 3.5);
    assert_eq!(settings.load_reports, LoadReports::WithProbes);
    assert!(settings.clients_mark_retries);
    assert!(settings.probes_allowed);
    assert_eq!(settings.probe_price, 0.045);
    assert!(settings.cancellation_allowed);
    assert_eq!(settings.max_attempts, 4);
    assert_eq!(settings.max_retry_after, 2.5);
    assert!(settings.reports_job_start);
    assert_eq!(settings.progress_interval, 0.35);
    assert!(settings.hedging_allowed);
    assert_eq!(settings.slow_start_min_capacity, 0.14);
    assert_eq!(settings.slow_start_duration, 24.5);
    assert_eq!(settings.overload_multiple, 3.25);
    assert_eq!(settings.overload_window, 1.75);
    assert_eq!(settings.cross_zone_price, 0.025);
    assert_eq!(settings.handshake_price, 0.035);
    assert_eq!(settings.keep_alive, 6.0);
    assert_eq!(settings.clock_resolution, 0.007);
    assert_eq!(settings.capacity_reservation, None);
}

#[test]
fn the_load_report_format_is_read() {
    let format = parse(&every_key()).expect("the example is valid").settings.load_report_format;
    let load = LoadReport {
        free_slots: Some(3.0),
        queue_length: Some(4.0),
        latency: Some(0.5),
        ..LoadReport::default()
    };
    assert_eq!(format.parse_json(r#"{"x0":3,"queue":4,"x1":500}"#).load, Some(load));
    assert_eq!(format.parse_text("TEXT x0=3, queue=4, x1=500").load, Some(load));
}

#[test]
fn each_value_of_a_key_with_a_choice_is_read() {
    let with_value = |path: [&str; 3], word: &str| {
        let mut root = every_key();
        match path {
            [outer, "", ""] => root["settings"][outer] = json!(word),
            [outer, inner, ""] => root["settings"][outer][inner] = json!(word),
            [outer, _, inner] => root["settings"][outer][0][inner] = json!(word),
        }
        parse(&root).expect("a valid file")
    };
    let polled = with_value(["discovery", "", ""], "ask");
    assert!(polled.settings.polls_endpoint_list && !polled.list_is_pushed);
    let watched = with_value(["discovery", "", ""], "watch");
    assert!(!watched.settings.polls_endpoint_list && !watched.list_is_pushed);
    assert_eq!(
        with_value(["report", "how", ""], "answers").settings.load_reports,
        LoadReports::WithResponses
    );
    assert_eq!(with_value(["report", "how", ""], "none").settings.load_reports, LoadReports::None);
    // The first class has no key scope, without which a class with keys is an error.
    let first_idempotency =
        |word| with_value(["profiles", "0", "idempotency"], word).settings.classes[0].idempotency;
    let mut scoped = every_key();
    scoped["settings"]["profiles"][0]["idempotency"] = json!("guarded");
    assert_eq!(parse(&scoped).map(drop), Err("settings.profiles.0.key-scope: missing".to_owned()));
    scoped["settings"]["profiles"][0]["key-scope"] = json!("all");
    scoped["settings"]["profiles"][0]["window-s"] = json!(5.0);
    let with_scope = parse(&scoped).expect("a valid file").settings;
    assert_eq!(with_scope.classes[0].idempotency, Idempotency::WithKey(KeyScope::All));
    assert_eq!(first_idempotency("free"), Idempotency::Idempotent);
    assert_eq!(first_idempotency("single_shot"), Idempotency::NotIdempotent);
}

/// Collects the paths of all values in a JSON tree. A list without objects counts as one value.
fn leaves(value: &Value, path: Vec<String>, found: &mut Vec<Vec<String>>) {
    let under = |key: String| path.iter().cloned().chain([key]).collect();
    match value {
        Value::Object(map) => map.iter().for_each(|(key, v)| leaves(v, under(key.clone()), found)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().enumerate().for_each(|(i, v)| leaves(v, under(i.to_string()), found));
        }
        _ => found.push(path),
    }
}

fn rename_key(root: &mut Value, path: &[String]) {
    let (last, parents) = path.split_last().expect("a key");
    let parent = parents.iter().fold(root, |at, key| match key.parse::<usize>() {
        Ok(index) => &mut at[index],
        Err(_) => &mut at[key],
    });
    let map = parent.as_object_mut().expect("a value with a key");
    let value = map.remove(last).expect("the key is there");
    map.insert(format!("{last}-renamed"), value);
}

/// Keys whose values the settings do not list. They are treated like missing keys, so renaming them has no effect.
const UNLISTED_NAMES: [&str; 2] = ["known.members.1.locality", "known.members.2.flavor"];

/// Renames each key of the example file in turn: the configuration that is read, or the error, must differ.
#[test]
fn renaming_any_key_changes_the_configuration() {
    let outcome = |root: &Value| parse(root).map(|config| format!("{config:?}"));
    let mut paths = Vec::new();
    leaves(&every_key(), Vec::new(), &mut paths);
    assert_eq!(paths.len(), 88);
    let unchanged = outcome(&every_key());
    for path in paths {
        let mut root = every_key();
        rename_key(&mut root, &path);
        let path = path.join(".");
        let differs = outcome(&root) != unchanged;
        assert_eq!(differs, !UNLISTED_NAMES.contains(&path.as_str()), "{path}");
    }
}

#[test]
fn an_endpoint_list_is_incremental_unless_marked_complete() {
    let names = parse(&every_key()).expect("the example is valid").names;
    let list = |complete: Value| {
        let value = json!({"revision": 12, "complete": complete, "members": every_key()["known"]["members"]});
        config::parse_endpoint_list(&value, &names).expect("a valid list")
    };
    let complete = list(json!(true));
    assert_eq!((complete.revision, complete.scope, complete.endpoints.len()), (12, ListScope::Full, 3));
    assert_eq!(list(json!(false)).scope, ListScope::Incremental);
    assert_eq!(list(Value::Null).scope, ListScope::Incremental);
}

#[test]
fn environment_variables_take_precedence_over_the_file() {
    let variables = [
        ("BALANCER_NAME", "from-variable"),
        ("BALANCER_LISTEN", "127.0.0.1:1"),
        ("BALANCER_DISCOVERY", "127.0.0.1:2"),
        ("BALANCER_CONSOLE", "127.0.0.1:3"),
    ];
    let variable = |name: &str| variables.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned());
    let config = Config::parse(EVERY_KEY, variable).expect("valid variables");
    assert_eq!(config.name, "from-variable");
    assert_eq!((config.listen, config.discovery, config.console), (address(1), address(2), Some(address(3))));
    let mut unnamed = every_key();
    unnamed.as_object_mut().expect("an object").remove("name");
    assert_eq!(parse(&unnamed).map(|config| config.name), Ok("cairncrank".to_owned()));
    for name in ["BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONSOLE"] {
        let result =
            Config::parse(EVERY_KEY, |variable| Some("nowhere".to_owned()).filter(|_| variable == name));
        let error = result.expect_err("an invalid address").to_string();
        assert_eq!(error, format!("{name}: expected an address such as 127.0.0.1:7070, found 'nowhere'"));
    }
}

#[test]
fn environment_variables_name_both_files() {
    let json = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/every_key.json");
    let hcl = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/every_key.hcl");
    let variable = |name: &str| match name {
        "BALANCER_CONFIG" => Some(json.to_owned()),
        "CAIRNCRANK_SETTINGS" => Some(hcl.to_owned()),
        _ => None,
    };
    let config = Config::from_environment(variable).expect("valid files");
    assert_eq!(
        config.settings.capacity_reservation,
        Some(CapacityReservation { min_slots: 8.0, price: 3.5 })
    );
    assert_eq!(config.cluster, Some(expected_cluster()));
    let error = Config::from_environment(|_| None).expect_err("no file").to_string();
    assert_eq!(error, "BALANCER_CONFIG: not set; it names the configuration file");
}

/// If no variable names the local settings, `cairncrank.hcl` in the folder of the configuration is read.
#[test]
fn local_settings_default_to_the_file_beside_the_configuration() {
    let folder = std::env::temp_dir().join(format!("beside-the-configuration-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let json = folder.join("config.json");
    std::fs::write(&json, EVERY_KEY).expect("a file");
    let variable = |name: &str| (name == "BALANCER_CONFIG").then(|| json.display().to_string());
    let reservation =
        || Config::from_environment(variable).expect("valid files").settings.capacity_reservation;
    assert_eq!(reservation(), None);
    std::fs::write(folder.join("cairncrank.hcl"), "room {\n}\n").expect("a file");
    assert_eq!(reservation(), Some(CapacityReservation { min_slots: 4.0, price: 16.0 }));
    let _ = std::fs::remove_dir_all(&folder);
}

fn expected_cluster() -> ClusterSettings {
    ClusterSettings {
        installation: "north".to_owned(),
        listen: address(7301),
        advertised_address: Some(address(7302)),
        bind_address: Some("127.0.0.2".parse().expect("an address")),
        coordinators: BTreeMap::from([(1, address(7101)), (2, address(7102)), (5, address(7105))]),
        timing: Timing {
            lease_duration: 1_700_000,
            renewal_interval: 410_000,
            call_timeout: 420_000,
            stability_period: 1_100_000,
            short_session_limit: 11_000_000,
            max_clock_skew_ppm: 1_200,
            election_timeout: 430_000,
            heartbeat_interval: 90_000,
        },
        shared_list: false,
        list_source: Some("catalogue".to_owned()),
        list_event_timeout: 4_500_000,
        fallback_per_s: 12.5,
        record: Some("/var/log/fleet.jsonl".into()),
        health_checks: Some(HealthCheckConfig {
            set_count: 9,
            zone_count: 1,
            probe_interval: 1_500_000,
            failure_threshold: 3,
            report_ttl: 7_000_000,
            injected_bug: None,
        }),
        readiness_validity: Some(1_300_000),
        slow_start: Some(QuotaConfig {
            smallest_worker_slots: 2.5,
            grantable_fraction: 0.25,
            grant_ttl: 600_000,
            delivery_timeout: 0,
            skew_ppm: 1_200,
        }),
    }
}

#[test]
fn all_local_settings_are_read() {
    let expected = LocalSettings {
        capacity_reservation: Some(CapacityReservation { min_slots: 8.0, price: 3.5 }),
        cluster: Some(expected_cluster()),
    };
    assert_eq!(
        LocalSettings::parse("every_key.hcl", EVERY_KEY_HCL).map_err(|error| error.to_string()),
        Ok(expected)
    );
    let disabled = EVERY_KEY_HCL.replace("hold       = true", "hold = false");
    assert_eq!(
        LocalSettings::parse("every_key.hcl", &disabled).map(|local| local.capacity_reservation).ok(),
        Some(None)
    );
}

#[test]
fn local_settings_have_defaults() {
    let text = "room {\n}\nfleet {\n  installation = \"n\"\n  listen = \"127.0.0.1:1\"\n  keeper \"1\" {\n    \
                address = \"127.0.0.1:1\"\n  }\n  keeper \"2\" {\n    address = \"127.0.0.1:2\"\n  }\n  keeper \
                \"3\" {\n    address = \"127.0.0.1:3\"\n  }\n  account {\n  }\n  cold {\n    slots = 1\n  }\n  \
                watch {\n  }\n}\n";
    let local = LocalSettings::parse("defaults.hcl", text).expect("valid settings");
    assert_eq!(local.capacity_reservation, Some(CapacityReservation { min_slots: 4.0, price: 16.0 }));
    let expected = ClusterSettings {
        installation: "n".to_owned(),
        listen: address(1),
        advertised_address: None,
        bind_address: None,
        coordinators: BTreeMap::from([(1, address(1)), (2, address(2)), (3, address(3))]),
        timing: Timing::default(),
        shared_list: true,
        list_source: None,
        list_event_timeout: 3_000_000,
        fallback_per_s: 20.0,
        record: None,
        health_checks: Some(HealthCheckConfig {
            set_count: 8,
            zone_count: 1,
            probe_interval: 1_000_000,
            failure_threshold: 2,
            report_ttl: 4_000_000,
            injected_bug: None,
        }),
        readiness_validity: Some(1_000_000),
        slow_start: Some(QuotaConfig {
            smallest_worker_slots: 1.0,
            grantable_fraction: 0.5,
            grant_ttl: 500_000,
            delivery_timeout: 0,
            skew_ppm: 1_000,
        }),
    };
    assert_eq!(local.cluster, Some(expected));
}

/// Renames each key and block of the example file in turn: the error must name the file, the line and the key.
#[test]
fn renaming_any_local_setting_is_an_error() {
    let mut errors = Vec::new();
    for (index, line) in EVERY_KEY_HCL.lines().enumerate() {
        let name =
            line.split_whitespace().next().filter(|word| word.starts_with(|c: char| c.is_alphabetic()));
        let Some(name) = name else { continue };
        let renamed = line.replacen(name, &format!("{name}_renamed"), 1);
        let mut lines: Vec<&str> = EVERY_KEY_HCL.lines().collect();
        lines[index] = &renamed;
        let result = LocalSettings::parse("every_key.hcl", &(lines.join("\n") + "\n"));
        errors.push(result.expect_err("a renamed key").to_string());
    }
    assert_eq!(errors.len(), 40);
    insta::assert_snapshot!("faults_of_renamed_keys", errors.join("\n"));
}
