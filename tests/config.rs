//! Messages about the configuration name the faulty key, and the command line says what is wrong with a call.

use std::io::Write as _;
use std::process::{Command, Stdio};

use cairncrank::config::Config;
use serde_json::{json, Value};

fn good() -> Value {
    serde_json::from_str(include_str!("../examples/config.json")).expect("the example is JSON")
}

fn fault(change: impl FnOnce(&mut Value)) -> String {
    let mut config = good();
    change(&mut config);
    Config::read(&config.to_string(), |_| None).expect_err("a fault").to_string()
}

#[test]
fn the_example_is_read_and_variables_win() {
    let config = Config::read(&good().to_string(), |name| match name {
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
    let mut command = Command::new(env!("CARGO_BIN_EXE_cairncrank"));
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
    let (code, out, _) = cairncrank(&["version"]);
    assert_eq!((code, out.trim()), (Some(0), concat!("cairncrank ", env!("CARGO_PKG_VERSION"))));
    let (code, _, error) = cairncrank(&[]);
    assert!(code == Some(1) && error.contains("BALANCER_CONFIG"), "{error}");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let (code, out, error) = cairncrank(&["check-config", "--config", example]);
    assert!(code == Some(0) && out.contains("2 classes"), "{out}{error}");
}

/// The adapter starts, answers an empty batch and ends with its input.
#[test]
fn the_adapter_answers() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cairncrank-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter runs");
    child.stdin.take().expect("its input").write_all(b"SYNC 1.5\nEOF_BATCH\n").expect("a batch");
    let output = child.wait_with_output().expect("its end");
    assert_eq!((output.status.code(), output.stdout.as_slice()), (Some(0), &b"OK\n"[..]));
}

/// The program itself, with sockets and a real signal: SIGTERM ends it in good order.
#[cfg(unix)]
#[test]
fn sigterm_ends_the_program_in_good_order() {
    let free = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    let (address, nobody) = (free(), free());
    let mut child = Command::new(env!("CARGO_BIN_EXE_cairncrank"))
        .args(["serve", "--config", concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json")])
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
