//! Reading of experiment files: defaults from `base.hcl`, and errors with file, line and key.

use emulator::spec::read;

fn error(text: &str) -> String {
    read("e.hcl", text).map(|_| String::new()).unwrap_or_else(|error| error.to_string())
}

#[test]
fn absent_keys_and_blocks_are_read_from_the_base() {
    let text = "experiment \"one\" {\n  fleet {\n    workers = 7\n  }\n  arm \"a\" {\n    router = \"random\"\n  }\n}\n";
    let experiment = read("e.hcl", text).expect("a valid experiment");
    assert_eq!((experiment.workers, experiment.kinds.len()), ((7.0, 7.0), 3));
    assert_eq!((experiment.cases.len(), experiment.traffic.classes.len()), (1, 3));
}

#[test]
fn errors_contain_file_line_and_key() {
    let of = |body: &str| {
        error(&format!("experiment \"one\" {{\n  {body}\n  arm \"a\" {{ router = \"random\" }}\n}}\n"))
    };
    assert_eq!(of("length = 3"), "e.hcl:2: experiment[one].length: there is no such key here");
    assert!(of("length_s = -3").starts_with("e.hcl:2: experiment[one].length_s: expected a number from 1"));
    assert!(of("case \"x\" { troubles = [\"flood\"] }").contains("unknown trouble \"flood\""));
    assert!(of("case \"x\" { troubles = [\"crash\"] }").contains("needs a block trouble \"crash\""));
    assert!(of("arm \"a\" { router = \"oracle\" }").contains("two arms are named \"a\""));
    assert!(
        of("arm \"b\" { router = \"best\" }").contains("arm[b].router: expected one of cairncrank, random")
    );
    assert!(error("experiment \"x\" {\n}\n").contains("expected one arm or more"));
}
