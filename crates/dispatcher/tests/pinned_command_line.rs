//! What the command line prints and how it exits: help, version, the summary of a good configuration, and the faults of
//! wrong calls and wrong files. The program's own name is masked.

use std::process::Command;

const PROGRAM: &str = env!("CARGO_PKG_NAME");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/every_key.json");

/// Exit code, standard output and standard error of a call.
fn call_unmasked(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dispatcher"));
    for variable in ["CONFIG", "LISTEN", "DISCOVERY", "NAME", "CONSOLE", "ACCEPT_FD"] {
        command.env_remove(format!("BALANCER_{variable}"));
    }
    command.env_remove("CAIRNCRANK_SETTINGS").envs(variables.iter().copied());
    let output = command.args(arguments).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, error) = (text(&output.stdout), text(&output.stderr));
    format!("exit {:?}\n--- output\n{out}--- error\n{error}", output.status.code())
}

/// The same with the program's name and the file masked.
fn call(arguments: &[&str], variables: &[(&str, &str)], file: &str) -> String {
    let shown = call_unmasked(arguments, variables);
    let shown = if file.is_empty() { shown } else { shown.replace(file, "FILE") };
    ["PROGRAM ", "PROGRAM: ", "PROGRAM::"]
        .iter()
        .fold(shown, |shown, mask| shown.replace(&mask.replace("PROGRAM", PROGRAM), mask))
}

#[test]
fn help_says_how_to_call_the_program() {
    let help = call(&["help"], &[], "");
    insta::assert_snapshot!("help", help);
    assert_eq!(call(&["--help"], &[], ""), help);
    assert_eq!(call(&["-h"], &[], ""), help);
}

/// The version carries the name of the project.
#[test]
fn version_is_one_line() {
    let expected =
        concat!("exit Some(0)\n--- output\ncairncrank ", env!("CARGO_PKG_VERSION"), "\n--- error\n");
    for argument in ["version", "--version", "-V"] {
        assert_eq!(call_unmasked(&[argument], &[]), expected);
    }
}

#[test]
fn wrong_calls_are_told_with_the_usage() {
    let mut seen = String::new();
    for arguments in [
        &["dance"][..],
        &["version", "now"],
        &["--loud"],
        &["--config"],
        &["--settings"],
        &["--log", ""],
        &["--log", "loud=much"],
        &["--log-format", "xml"],
    ] {
        let shown = call(arguments, &[], "");
        // The usage itself stands in another snapshot.
        let first = shown.split("\n\n").next().unwrap_or_default();
        assert!(shown.contains("usage: PROGRAM [serve]"), "{shown}");
        seen.push_str(&format!("{arguments:?}\n{first}\n\n"));
    }
    insta::assert_snapshot!("wrong_calls", seen);
}

#[test]
fn a_good_configuration_is_summed_up() {
    let shown = call(&["check-config", "--config", EXAMPLE], &[], "");
    insta::assert_snapshot!("check_config", shown);
    assert_eq!(call(&["check-config"], &[("BALANCER_CONFIG", EXAMPLE)], ""), shown);
}

#[test]
fn wrong_files_are_named_with_line_and_key() {
    let file = std::env::temp_dir().join(format!("wrong-settings-{}.hcl", std::process::id()));
    let name = file.display().to_string();
    let fleet = "fleet {\n  installation = \"n\"\n  listen = \"127.0.0.1:1\"\n";
    let keepers: String =
        (1..=3).map(|n| format!("  keeper \"{n}\" {{\n    address = \"127.0.0.1:{n}\"\n  }}\n")).collect();
    let mut seen = String::new();
    for text in [
        "room {\n".to_owned(),
        "rooms {\n}\n".to_owned(),
        "room {\n  price = \"high\"\n}\n".to_owned(),
        "room {\n  hold = 3\n}\n".to_owned(),
        "room {\n  from_slots = 1\n}\n".to_owned(),
        "fleet {\n}\n".to_owned(),
        "fleet {\n  installation = \"n\"\n  listen = \"here\"\n}\n".to_owned(),
        format!("{fleet}}}\n"),
        format!("{fleet}  bind = \"here\"\n{keepers}}}\n"),
        format!("{fleet}  address = \"here\"\n{keepers}}}\n"),
        format!("{fleet}  silence_ms = 1\n{keepers}}}\n"),
        format!("{fleet}{keepers}  times {{\n    lease_ms = 900\n  }}\n}}\n"),
        format!("{fleet}{keepers}  cold {{\n  }}\n}}\n"),
        format!("{fleet}{keepers}  watch {{\n    every_ms = 2000\n    holds_ms = 3000\n  }}\n}}\n"),
        format!("{fleet}{keepers}  account {{\n    holds_ms = 1\n  }}\n}}\n"),
        format!("{fleet}{keepers}  listens = true\n}}\n"),
    ] {
        std::fs::write(&file, &text).expect("a file");
        let shown = call(&["check-config", "--config", EXAMPLE, "--settings", &name], &[], &name);
        let variable = [("CAIRNCRANK_SETTINGS", name.as_str())];
        assert_eq!(call(&["check-config", "--config", EXAMPLE], &variable, &name), shown);
        seen.push_str(&format!("{text}=> {shown}\n"));
    }
    let _ = std::fs::remove_file(&file);
    seen.push_str(&format!(
        "no such file => {}",
        call(&["check-config", "--config", EXAMPLE, "--settings", &name], &[], &name)
    ));
    insta::assert_snapshot!("wrong_settings", seen);
}

#[test]
fn wrong_configurations_are_named_with_their_key() {
    let file = std::env::temp_dir().join(format!("wrong-configuration-{}.json", std::process::id()));
    let name = file.display().to_string();
    let mut seen = call(&["check-config"], &[], "");
    seen.push_str(&call(&["check-config", "--config", &name], &[], &name));
    for text in ["{", "{}", r#"{"settings": 3}"#, r#"{"settings": {"profiles": []}}"#] {
        std::fs::write(&file, text).expect("a file");
        for command in ["check-config", "serve"] {
            let shown = call(&[command, "--config", &name], &[], &name);
            seen.push_str(&format!("{command} {text} => {shown}"));
        }
    }
    let _ = std::fs::remove_file(&file);
    insta::assert_snapshot!("wrong_configurations", seen);
}

#[test]
fn a_descriptor_that_is_no_socket_is_named_with_its_variable() {
    // A program that passes the variable over ends as well, since the address is taken.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let mut seen = String::new();
    for value in ["x", "-1", "1000"] {
        let variables = [("BALANCER_ACCEPT_FD", value), ("BALANCER_LISTEN", address.as_str())];
        let shown = call(&["serve", "--config", EXAMPLE], &variables, "");
        seen.push_str(&format!("{value} => {shown}\n"));
    }
    insta::assert_snapshot!("descriptors", seen);
}
