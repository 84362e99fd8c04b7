//! The configuration and the command line: error messages, and SIGTERM and SIGHUP sent to the running program.

use std::process::{Command, Stdio};

use dispatcher::api::{Idempotency, KeyScope};
use dispatcher::config::{Config, NameTable};
use serde_json::{json, Value};

fn example() -> Value {
    serde_json::from_str(include_str!("../../../examples/config.json")).expect("the example is JSON")
}

/// Returns the error of the example configuration after a change.
fn error_after(change: impl FnOnce(&mut Value)) -> String {
    let mut config = example();
    change(&mut config);
    Config::parse(&config.to_string(), |_| None).expect_err("an error").to_string()
}

#[test]
fn the_example_is_valid_and_variables_take_precedence() {
    let config = Config::parse(&example().to_string(), |name| match name {
        "BALANCER_LISTEN" => Some("127.0.0.1:1234".to_owned()),
        _ => None,
    })
    .expect("the example is valid");
    assert_eq!(config.listen.port(), 1234);
    assert_eq!(config.settings.classes.len(), config.names.classes.len());
    assert!(config.client_sockets + config.worker_sockets < 1024);
}

#[test]
fn messages_name_the_faulty_key() {
    insta::assert_snapshot!([
        error_after(|c| c["settings"]["caps"]["send-cap"] = json!("many")),
        error_after(|c| c["settings"]["profiles"][1]["promise-s"] = json!(-1)),
        error_after(|c| c["settings"]["profiles"] = json!([])),
        error_after(|c| c["settings"]["projects"][0]["name"] = Value::Null),
        error_after(|c| c["settings"]["zone"] = json!(9)),
        error_after(|c| c["settings"] = Value::Null),
        error_after(|c| c["listen"] = json!("here")),
        error_after(|c| c["discovery"] = Value::Null),
        error_after(|c| c["seed"] = Value::Null),
        error_after(|c| c["limits"]["sockets"] = json!(10)),
        error_after(|c| c["known"]["members"][0]["phase"] = json!("asleep")),
        error_after(|c| c["known"]["members"][0]["host_port"] = json!("nowhere")),
        error_after(|c| c["known"]["revision"] = json!(-1)),
    ]
    .join("\n"));
}

/// Runs the program and returns exit code, standard output and standard error.
fn run_program(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dispatcher"));
    for variable in ["CONFIG", "LISTEN", "DISCOVERY", "NAME"] {
        command.env_remove(format!("BALANCER_{variable}"));
    }
    let output = command.args(arguments).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn the_command_line_names_invalid_arguments_and_files() {
    let (code, out, error) = run_program(&["dance"]);
    assert_eq!((code, out.as_str()), (Some(2), ""));
    assert!(error.contains("'dance'") && error.contains("usage:"), "{error}");
    assert_eq!(run_program(&["--loud"]).0, Some(2));
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/cairncrank.hcl");
    let (code, out, error) = run_program(&["check-config", "--config", EXAMPLE, "--settings", deployed]);
    assert!(code == Some(0), "{out}{error}");
    let (code, _, error) = run_program(&["check-config", "--config", EXAMPLE, "--settings", "none.hcl"]);
    assert!(code == Some(1) && error.contains("none.hcl: cannot read it"), "{error}");
    for (option, word) in [("--log", "loud=much"), ("--log-format", "xml")] {
        let (code, _, error) = run_program(&["version", option, word]);
        assert!(code == Some(2) && error.contains(word), "{error}");
    }
    let (code, out, _) = run_program(&["version"]);
    assert_eq!((code, out.trim()), (Some(0), concat!("cairncrank ", env!("CARGO_PKG_VERSION"))));
    let (code, _, error) = run_program(&[]);
    assert!(code == Some(1) && error.contains("BALANCER_CONFIG"), "{error}");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let (code, out, error) = run_program(&["check-config", "--config", example]);
    assert!(code == Some(0) && out.contains("2 classes"), "{out}{error}");
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");

/// Starts the program with real sockets and sends it SIGTERM while no discovery is reachable: it must exit with 0.
#[cfg(unix)]
#[test]
fn sigterm_ends_the_program_with_exit_code_0() {
    let unused_address = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
        listener.local_addr().expect("an address")
    };
    let (address, discovery) = (unused_address(), unused_address());
    let mut child = Command::new(env!("CARGO_BIN_EXE_dispatcher"))
        .args(["serve", "--config", concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json")])
        .env("BALANCER_LISTEN", address.to_string())
        .env("BALANCER_DISCOVERY", discovery.to_string())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs");
    let connected = (0..3000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        std::net::TcpStream::connect(address).is_ok()
    });
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    let status = child.wait().expect("waits for the exit");
    assert!(connected && killed.is_ok_and(|k| k.success()));
    assert_eq!(status.code(), Some(0));
}

/// Changes the example configuration and reads it as a reload by a program that was started with the example.
fn reload_after(change: impl FnOnce(&mut Value)) -> Result<Config, String> {
    let old = Config::parse(&example().to_string(), |_| None).expect("the example is valid");
    let mut config = example();
    change(&mut config);
    let variable = |name: &str| Some("127.0.0.1:1".to_owned()).filter(|_| name == "BALANCER_DISCOVERY");
    old.replace(&config.to_string(), variable).map_err(|error| error.to_string())
}

#[test]
fn in_a_reload_the_file_takes_precedence_over_the_discovery_variable() {
    let new = reload_after(|c| c["discovery"] = json!("127.0.0.1:2")).expect("a valid file");
    assert_eq!(new.discovery.port(), 2);
    let without_discovery = |c: &mut Value| drop(c.as_object_mut().map(|c| c.remove("discovery")));
    let error = reload_after(without_discovery).expect_err("a file that lacks a key");
    assert_eq!(error, "discovery: missing; the file in force has it");
    let mut config = example();
    without_discovery(&mut config);
    let variable = |name: &str| Some("127.0.0.1:1".to_owned()).filter(|_| name == "BALANCER_DISCOVERY");
    let old = Config::parse(&config.to_string(), variable).expect("a valid file");
    let new = old.replace(&config.to_string(), variable).expect("a valid file");
    assert_eq!(new.discovery.port(), 1, "the variable applies if no file has had the key");
}

/// A change of a file at these paths, and the error that it must cause at the start and at a reload.
const FAULTS: [(&[&str], &str, &str); 34] = [
    (&["settings", "profiles", "1", "key-scope"], "null", "missing"),
    (
        &["settings", "profiles", "1", "key-scope"],
        r#""rack""#,
        "expected one of all, zone, cell, found \"rack\"",
    ),
    (&["settings", "profiles", "1", "window-s"], "null", "missing"),
    (&["settings", "profiles", "1", "window-s"], "0", "expected a number above 0, found 0"),
    (&["settings", "profiles", "0", "deadline-s"], "null", "missing"),
    (&["settings", "profiles", "0", "deadline-s"], "0", "expected a number above 0, found 0"),
    (&["settings", "profiles", "0", "deadline-s"], "-5", "expected a number above 0, found -5"),
    (&["settings", "profiles", "0", "deadline-s"], r#""5""#, "expected a number above 0, found \"5\""),
    (&["settings", "profiles", "0", "promise-s"], "null", "missing"),
    (&["settings", "profiles", "0", "idempotency"], "null", "missing"),
    (&["settings", "profiles", "1", "name"], r#""lookup""#, "'lookup' is named twice"),
    (&["settings", "projects", "1", "share"], "null", "missing"),
    (&["settings", "caps", "send-cap"], "null", "missing"),
    (&["settings", "caps", "send-cap"], "0", "expected a whole number from 1 on, found 0"),
    (&["settings", "caps", "send-cap"], "2.5", "expected a whole number from 1 on, found 2.5"),
    (&["settings", "caps", "cancel"], "1", "expected true or false, found 1"),
    (&["settings", "balancers"], "null", "missing"),
    (&["settings", "balancers"], "0", "expected a whole number from 1 on, found 0"),
    (&["settings", "obligations", "warm-within-s"], "null", "missing"),
    (&["settings", "obligations", "drain-grace-s"], "-1", "expected a number from 0 on, found -1"),
    (&["settings", "discovery"], "null", "missing"),
    (&["settings", "discovery"], r#""pull""#, "expected one of push, ask, watch, found \"pull\""),
    (
        &["settings", "profiles", "1", "idempotency"],
        r#""safe""#,
        "expected one of free, guarded, single_shot",
    ),
    (&["settings", "profiles", "0", "late-worth"], "null", "missing"),
    (&["settings", "azs"], "null", "missing"),
    (&["settings", "flavors"], "null", "missing"),
    (&["settings", "zone"], "null", "missing"),
    (&["settings", "caps", "max-retry-after-s"], "null", "missing"),
    (&["settings", "caps", "probes"], "null", "missing"),
    (&["settings", "clients", "marks-retry"], "null", "missing"),
    (&["settings", "obligations", "ask-within-s"], "null", "missing"),
    (&["limits", "sockets"], "null", "missing"),
    (&["limits", "memory_mb"], "null", "missing"),
    (&["settings", "profiles"], "null", "missing"),
];

fn value_at<'a>(root: &'a mut Value, path: &[&str]) -> &'a mut Value {
    path.iter().fold(root, |value, key| match key.parse::<usize>() {
        Ok(index) => &mut value[index],
        Err(_) => &mut value[key],
    })
}

/// Guards against a file that lacks a key and is taken with a default in its place, or has a value out of range.
#[test]
fn a_missing_or_invalid_value_is_an_error_at_the_start_and_at_a_reload() {
    for (path, json, problem) in FAULTS {
        let change = |c: &mut Value| *value_at(c, path) = serde_json::from_str(json).expect("JSON");
        let expected = format!("{}: {problem}", path.join("."));
        for error in [error_after(change), reload_after(change).expect_err("an error")] {
            assert!(error.starts_with(&expected), "{path:?} {json}: {error}");
        }
    }
}

/// Guards against a file for a reload that lacks a key which has a default at the start.
#[test]
fn a_reload_is_an_error_without_any_key_of_the_file_in_force() {
    let groups: [&[&str]; 6] = [
        &[],
        &["settings"],
        &["settings", "caps"],
        &["settings", "obligations"],
        &["settings", "profiles", "0"],
        &["settings", "projects", "0"],
    ];
    let mut removed = 0;
    for group in groups {
        let keys: Vec<String> =
            value_at(&mut example(), group).as_object().expect("an object").keys().cloned().collect();
        for key in keys {
            let remove = |c: &mut Value| {
                drop(value_at(c, group).as_object_mut().map(|object| object.remove(&key)));
            };
            let is_start_key = group.is_empty() && ["known", "name"].contains(&key.as_str());
            match reload_after(remove) {
                Ok(_) => assert!(is_start_key, "{group:?} {key}"),
                Err(error) => assert!(error.contains(&key) && error.contains("missing"), "{key}: {error}"),
            }
            removed += 1;
        }
    }
    assert!(removed > 35, "{removed}");
}

/// Guards against a file that drops or reorders names being rejected as a whole, and against a name that gets the
/// position of another one, by which open jobs refer to it.
#[test]
fn names_keep_their_positions_when_a_reload_drops_and_reorders_them() {
    let new = reload_after(|c| {
        let settings = &mut c["settings"];
        settings["profiles"] = json!([
            {"name": "added", "idempotency": "free", "promise-s": 1.0, "deadline-s": 2.0, "late-worth": 0.1},
            {"name": "lookup", "idempotency": "single_shot", "promise-s": 0.7, "deadline-s": 3.0, "late-worth": 0.2},
        ]);
        settings["projects"] = json!([{"name": "till", "share": 1.0, "quota-per-s": 9.0}]);
        settings["azs"] = json!(["south", "north"]);
        settings["flavors"] = json!(["large", "small"]);
        settings["zone"] = json!(1);
        settings["family-info"]["class-kind"] = json!([0, 1]);
    })
    .expect("a valid file");
    let positions = |table: &NameTable, names: [&str; 3]| names.map(|name| table.current_position(name));
    assert_eq!(positions(&new.names.class_names, ["lookup", "order", "added"]), [Some(0), None, Some(2)]);
    assert_eq!(positions(&new.names.tenants, ["web", "till", ""]), [None, Some(1), None]);
    // Position 1 is that of workers whose zone or kind the first file did not list.
    assert_eq!(positions(&new.names.zones, ["north", "south", ""]), [Some(0), Some(2), None]);
    assert_eq!(positions(&new.names.kinds, ["small", "large", ""]), [Some(0), Some(2), None]);
    assert_eq!(new.settings.zone, 0);
    let classes = &new.settings.classes;
    assert_eq!(classes[0].idempotency, Idempotency::NotIdempotent);
    assert_eq!(classes[1].idempotency, Idempotency::WithKey(KeyScope::Cell), "as in force for open jobs");
    assert_eq!([classes[0].required_kind, classes[2].required_kind], [Some(0), Some(2)]);
    assert_eq!(new.settings.dropped.classes, [1].into());
    assert_eq!(new.settings.dropped.tenants, [0].into());
    assert_eq!(new.settings.total_quota(), 9.0);
    let quotas: Vec<f64> = new.settings.tenants.iter().map(|tenant| tenant.quota).collect();
    assert_eq!(quotas, [0.0, 9.0], "web has none any more, till has that of the file");
    assert_eq!(new.longest_timeout, 3_000_000);
}

#[test]
fn a_reload_names_keys_that_cannot_change_at_run_time() {
    let error = |change: &dyn Fn(&mut Value)| reload_after(|c| change(c)).expect_err("an error");
    assert!(error(&|c| c["listen"] = json!("127.0.0.1:9")).starts_with("listen: "));
    assert!(error(&|c| c["seed"] = Value::Null).starts_with("seed: "));
}

/// The program starts with discovery at the address of the variable. A SIGHUP with an invalid file must only be logged.
/// A SIGHUP with a valid file must make the program connect to discovery at the address of the file, although the
/// variable still names the first one. SIGTERM must then end it with exit code 0.
#[test]
fn sighup_reloads_the_configuration() {
    let listen = || std::net::TcpListener::bind("127.0.0.1:0").expect("binds to a port");
    let (first, second) = (listen(), listen());
    let file = std::env::temp_dir().join(format!("cairncrank-hangup-{}.json", std::process::id()));
    let write = |discovery: &Value| {
        let mut config = example();
        (config["listen"], config["discovery"]) = (json!("127.0.0.1:0"), discovery.clone());
        std::fs::write(&file, config.to_string()).expect("a file");
    };
    let address = |l: &std::net::TcpListener| l.local_addr().expect("an address").to_string();
    write(&json!("127.0.0.1:1"));
    let mut program = Command::new(env!("CARGO_BIN_EXE_dispatcher"))
        .arg("--config")
        .arg(&file)
        .env("BALANCER_DISCOVERY", address(&first))
        .env_remove("BALANCER_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let id = program.id().to_string();
    let signal = |name: &str| {
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill runs").success());
    };
    // Signal handlers are installed before the program connects to discovery.
    let _old = first.accept().expect("a watch");
    write(&json!("nowhere"));
    signal("-HUP");
    let mut log = std::io::BufReader::new(program.stderr.take().expect("a pipe"));
    for expected in ["listening for clients address=", "configuration unchanged: discovery: "] {
        let mut line = String::new();
        std::io::BufRead::read_line(&mut log, &mut line).expect("a line");
        assert!(line.contains(expected), "{line}");
    }
    write(&json!(address(&second)));
    signal("-HUP");
    let _new = second.accept().expect("a watch at the address of the file");
    signal("-TERM");
    assert_eq!(program.wait().expect("waits for the exit").code(), Some(0));
    let _ = std::fs::remove_file(&file);
}

/// A reload also reads the local settings again, and fails if they are invalid.
#[test]
fn invalid_local_settings_fail_a_reload() {
    let file = std::env::temp_dir().join(format!("cairncrank-local-{}.hcl", std::process::id()));
    let write = |text: &str| std::fs::write(&file, text).expect("a file");
    let path = file.display().to_string();
    let variable = |name: &str| match name {
        "BALANCER_CONFIG" => Some(EXAMPLE.to_owned()),
        "CAIRNCRANK_SETTINGS" => Some(path.clone()),
        _ => None,
    };
    write("room {\n  price = 3\n}\n");
    let config = Config::from_environment(variable).expect("valid settings");
    assert_eq!(config.settings.capacity_reservation.map(|reservation| reservation.price), Some(3.0));
    write("room {\n  price = -3\n}\n");
    let error = config.reload(variable).expect_err("an error").to_string();
    assert!(error.contains(".hcl:2: room.price: expected a number from 0"), "{error}");
    write("room {\n  hold = false\n}\n");
    assert_eq!(config.reload(variable).expect("valid settings").settings.capacity_reservation, None);
    let _ = std::fs::remove_file(&file);
}
