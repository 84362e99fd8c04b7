//! Output and exit codes of the command line: help, version, the summary of a valid configuration, and the errors of
//! invalid arguments and files. The name of the program is masked.

use std::process::Command;

const PROGRAM: &str = env!("CARGO_PKG_NAME");
const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/every_key.json");

/// Runs the program and returns its exit code, standard output and standard error as text.
fn run_unmasked(arguments: &[&str], variables: &[(&str, &str)]) -> String {
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

/// Like [`run_unmasked`], with the name of the program and the path of the file masked.
fn run(arguments: &[&str], variables: &[(&str, &str)], file: &str) -> String {
    let shown = run_unmasked(arguments, variables);
    let shown = if file.is_empty() { shown } else { shown.replace(file, "FILE") };
    ["PROGRAM ", "PROGRAM: ", "PROGRAM::"]
        .iter()
        .fold(shown, |shown, mask| shown.replace(&mask.replace("PROGRAM", PROGRAM), mask))
}

#[test]
fn help_is_the_same_for_command_and_options() {
    let help = run(&["help"], &[], "");
    insta::assert_snapshot!("help", help);
    assert_eq!(run(&["--help"], &[], ""), help);
    assert_eq!(run(&["-h"], &[], ""), help);
}

/// The version is printed with the name of the project, not of the package.
#[test]
fn version_is_one_line() {
    let expected =
        concat!("exit Some(0)\n--- output\ncairncrank ", env!("CARGO_PKG_VERSION"), "\n--- error\n");
    for argument in ["version", "--version", "-V"] {
        assert_eq!(run_unmasked(&[argument], &[]), expected);
    }
}

#[test]
fn invalid_arguments_are_reported_with_the_usage() {
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
        let shown = run(arguments, &[], "");
        // The usage itself is in the snapshot of the help.
        let first = shown.split("\n\n").next().unwrap_or_default();
        assert!(shown.contains("usage: PROGRAM [serve]"), "{shown}");
        seen.push_str(&format!("{arguments:?}\n{first}\n\n"));
    }
    insta::assert_snapshot!("wrong_calls", seen);
}

#[test]
fn check_config_prints_a_summary() {
    let shown = run(&["check-config", "--config", EXAMPLE], &[], "");
    insta::assert_snapshot!("check_config", shown);
    assert_eq!(run(&["check-config"], &[("BALANCER_CONFIG", EXAMPLE)], ""), shown);
}

#[test]
fn errors_of_local_settings_name_line_and_key() {
    let file = std::env::temp_dir().join(format!("wrong-settings-{}.hcl", std::process::id()));
    let name = file.display().to_string();
    let cluster = "fleet {\n  installation = \"n\"\n  listen = \"127.0.0.1:1\"\n";
    let coordinators: String =
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
        format!("{cluster}}}\n"),
        format!("{cluster}  bind = \"here\"\n{coordinators}}}\n"),
        format!("{cluster}  address = \"here\"\n{coordinators}}}\n"),
        format!("{cluster}  silence_ms = 1\n{coordinators}}}\n"),
        format!("{cluster}{coordinators}  times {{\n    lease_ms = 900\n  }}\n}}\n"),
        format!("{cluster}{coordinators}  cold {{\n  }}\n}}\n"),
        format!("{cluster}{coordinators}  watch {{\n    every_ms = 2000\n    holds_ms = 3000\n  }}\n}}\n"),
        format!("{cluster}{coordinators}  account {{\n    holds_ms = 1\n  }}\n}}\n"),
        format!("{cluster}{coordinators}  listens = true\n}}\n"),
    ] {
        std::fs::write(&file, &text).expect("a file");
        let shown = run(&["check-config", "--config", EXAMPLE, "--settings", &name], &[], &name);
        let variable = [("CAIRNCRANK_SETTINGS", name.as_str())];
        assert_eq!(run(&["check-config", "--config", EXAMPLE], &variable, &name), shown);
        seen.push_str(&format!("{text}=> {shown}\n"));
    }
    let _ = std::fs::remove_file(&file);
    seen.push_str(&format!(
        "no such file => {}",
        run(&["check-config", "--config", EXAMPLE, "--settings", &name], &[], &name)
    ));
    insta::assert_snapshot!("wrong_settings", seen);
}

#[test]
fn errors_of_the_configuration_name_the_key() {
    let file = std::env::temp_dir().join(format!("wrong-configuration-{}.json", std::process::id()));
    let name = file.display().to_string();
    let mut seen = run(&["check-config"], &[], "");
    seen.push_str(&run(&["check-config", "--config", &name], &[], &name));
    for text in ["{", "{}", r#"{"settings": 3}"#, r#"{"settings": {"profiles": []}}"#] {
        std::fs::write(&file, text).expect("a file");
        for command in ["check-config", "serve"] {
            let shown = run(&[command, "--config", &name], &[], &name);
            seen.push_str(&format!("{command} {text} => {shown}"));
        }
    }
    let _ = std::fs::remove_file(&file);
    insta::assert_snapshot!("wrong_configurations", seen);
}

#[test]
fn errors_of_the_inherited_descriptor_name_its_variable() {
    // This address is in use, so that the program would also exit if it ignored the variable and bound the address.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let mut seen = String::new();
    for value in ["x", "-1", "1000"] {
        let variables = [("BALANCER_ACCEPT_FD", value), ("BALANCER_LISTEN", address.as_str())];
        let shown = run(&["serve", "--config", EXAMPLE], &variables, "");
        seen.push_str(&format!("{value} => {shown}\n"));
    }
    insta::assert_snapshot!("descriptors", seen);
}
