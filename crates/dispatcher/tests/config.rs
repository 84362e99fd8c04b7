//! Messages about the configuration name the faulty key, and the command line says what is wrong with a call.

use std::process::{Command, Stdio};

use dispatcher::config::Config;
use serde_json::{json, Value};

fn good() -> Value {
    serde_json::from_str(include_str!("../../../examples/config.json")).expect("the example is JSON")
}

fn fault(change: impl FnOnce(&mut Value)) -> String {
    let mut config = good();
    change(&mut config);
    Config::parse(&config.to_string(), |_| None).expect_err("a fault").to_string()
}

#[test]
fn the_example_is_read_and_variables_win() {
    let config = Config::parse(&good().to_string(), |name| match name {
        "BALANCER_LISTEN" => Some("127.0.0.1:1234".to_owned()),
        _ => None,
    })
    .expect("the example is good");
    assert_eq!(config.listen.port(), 1234);
    assert_eq!(config.settings.classes.len(), config.names.classes.len());
    assert!(config.client_sockets + config.worker_sockets < 1024);
}

#[test]
fn messages_name_the_faulty_key() {
    insta::assert_snapshot!([
        fault(|c| c["settings"]["caps"]["send-cap"] = json!("many")),
        fault(|c| c["settings"]["profiles"][1]["promise-s"] = json!(-1)),
        fault(|c| c["settings"]["profiles"] = json!([])),
        fault(|c| c["settings"]["projects"][0]["name"] = Value::Null),
        fault(|c| c["settings"]["zone"] = json!(9)),
        fault(|c| c["settings"] = Value::Null),
        fault(|c| c["listen"] = json!("here")),
        fault(|c| c["discovery"] = Value::Null),
        fault(|c| c["seed"] = Value::Null),
        fault(|c| c["limits"]["sockets"] = json!(10)),
        fault(|c| c["known"]["members"][0]["phase"] = json!("asleep")),
        fault(|c| c["known"]["members"][0]["host_port"] = json!("nowhere")),
        fault(|c| c["known"]["revision"] = json!(-1)),
    ]
    .join("\n"));
}

fn cairncrank(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dispatcher"));
    for variable in ["CONFIG", "LISTEN", "DISCOVERY", "NAME"] {
        command.env_remove(format!("BALANCER_{variable}"));
    }
    let output = command.args(arguments).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn the_command_line_says_what_is_wrong() {
    let (code, out, error) = cairncrank(&["dance"]);
    assert_eq!((code, out.as_str()), (Some(2), ""));
    assert!(error.contains("'dance'") && error.contains("usage:"), "{error}");
    assert_eq!(cairncrank(&["--loud"]).0, Some(2));
    let deployed = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/cairncrank.hcl");
    let (code, out, error) = cairncrank(&["check-config", "--config", EXAMPLE, "--settings", deployed]);
    assert!(code == Some(0), "{out}{error}");
    let (code, _, error) = cairncrank(&["check-config", "--config", EXAMPLE, "--settings", "none.hcl"]);
    assert!(code == Some(1) && error.contains("none.hcl: cannot read it"), "{error}");
    for (option, word) in [("--log", "loud=much"), ("--log-format", "xml")] {
        let (code, _, error) = cairncrank(&["version", option, word]);
        assert!(code == Some(2) && error.contains(word), "{error}");
    }
    let (code, out, _) = cairncrank(&["version"]);
    assert_eq!((code, out.trim()), (Some(0), concat!("cairncrank ", env!("CARGO_PKG_VERSION"))));
    let (code, _, error) = cairncrank(&[]);
    assert!(code == Some(1) && error.contains("BALANCER_CONFIG"), "{error}");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let (code, out, error) = cairncrank(&["check-config", "--config", example]);
    assert!(code == Some(0) && out.contains("2 classes"), "{out}{error}");
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");

/// The program itself, with sockets and a real signal: SIGTERM ends it in good order.
#[cfg(unix)]
#[test]
fn sigterm_ends_the_program_in_good_order() {
    let free = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    let (address, nobody) = (free(), free());
    let mut child = Command::new(env!("CARGO_BIN_EXE_dispatcher"))
        .args(["serve", "--config", concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json")])
        .env("BALANCER_LISTEN", address.to_string())
        .env("BALANCER_DISCOVERY", nobody.to_string())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program runs");
    let connected = (0..3000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        std::net::TcpStream::connect(address).is_ok()
    });
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
    let status = child.wait().expect("its end");
    assert!(connected && killed.is_ok_and(|k| k.success()));
    assert_eq!(status.code(), Some(0));
}

/// The file as it would be read while the program runs on the example.
fn replaced(change: impl FnOnce(&mut Value)) -> Result<Config, String> {
    let old = Config::parse(&good().to_string(), |_| None).expect("the example is good");
    let mut config = good();
    change(&mut config);
    let variable = |name: &str| Some("127.0.0.1:1".to_owned()).filter(|_| name == "BALANCER_DISCOVERY");
    old.replace(&config.to_string(), variable).map_err(|error| error.to_string())
}

#[test]
fn a_file_read_again_wins_over_the_variable_of_discovery() {
    let new = replaced(|c| c["discovery"] = json!("127.0.0.1:2")).expect("a good file");
    assert_eq!(new.discovery.port(), 2);
    let new = replaced(|c| drop(c.as_object_mut().map(|c| c.remove("discovery")))).expect("a good file");
    assert_eq!(new.discovery.port(), 1, "where the file does not say, the variable holds");
}

#[test]
fn what_a_running_program_cannot_change_is_named() {
    let fault = |change: &dyn Fn(&mut Value)| replaced(|c| change(c)).expect_err("a fault");
    assert!(fault(&|c| c["listen"] = json!("127.0.0.1:9")).starts_with("listen: "));
    assert!(fault(&|c| c["settings"]["profiles"].as_array_mut().unwrap().reverse())
        .starts_with("settings.profiles: "));
    assert!(fault(&|c| drop(c["settings"]["projects"].as_array_mut().unwrap().pop()))
        .starts_with("settings.projects: "));
    assert!(fault(&|c| c["seed"] = Value::Null).starts_with("seed: "));
}

/// SIGHUP does not end the program: it reads the file again and follows discovery where that says, also where
/// a variable said otherwise at the start; a faulty file is logged. SIGTERM then ends it with 0.
#[test]
fn a_hangup_reads_the_file_again() {
    let listen = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (first, second) = (listen(), listen());
    let file = std::env::temp_dir().join(format!("cairncrank-hangup-{}.json", std::process::id()));
    let write = |discovery: &Value| {
        let mut config = good();
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
    // By the time it asks for the list its signals are caught.
    let _old = first.accept().expect("a watch");
    write(&json!("nowhere"));
    signal("-HUP");
    let mut log = std::io::BufReader::new(program.stderr.take().expect("a pipe"));
    let mut line = String::new();
    std::io::BufRead::read_line(&mut log, &mut line).expect("a line");
    assert!(line.contains("configuration unchanged: discovery: "), "{line}");
    write(&json!(address(&second)));
    signal("-HUP");
    let _new = second.accept().expect("a watch at the other address");
    signal("-TERM");
    assert_eq!(program.wait().expect("an end").code(), Some(0));
    let _ = std::fs::remove_file(&file);
}

/// Our own settings are read again with the platform's; a fault in them leaves all as it was.
#[test]
fn a_fault_in_our_own_settings_stops_a_reload() {
    let file = std::env::temp_dir().join(format!("cairncrank-own-{}.hcl", std::process::id()));
    let write = |text: &str| std::fs::write(&file, text).expect("a file");
    let named = file.display().to_string();
    let variable = |name: &str| match name {
        "BALANCER_CONFIG" => Some(EXAMPLE.to_owned()),
        "CAIRNCRANK_SETTINGS" => Some(named.clone()),
        _ => None,
    };
    write("room {\n  price = 3\n}\n");
    let config = Config::from_environment(variable).expect("no fault");
    assert_eq!(config.settings.capacity_reservation.map(|room| room.price), Some(3.0));
    write("room {\n  price = -3\n}\n");
    let fault = config.reload(variable).expect_err("a fault").to_string();
    assert!(fault.contains(".hcl:2: room.price: expected a number from 0"), "{fault}");
    write("room {\n  hold = false\n}\n");
    assert_eq!(config.reload(variable).expect("no fault").settings.capacity_reservation, None);
    let _ = std::fs::remove_file(&file);
}
