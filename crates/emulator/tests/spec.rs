//! Reading of experiments: what the base fills in, and the errors that name file, line and key.

use emulator::spec::read;

fn fault(text: &str) -> String {
    read("e.hcl", text).map(|_| String::new()).unwrap_or_else(|fault| fault.to_string())
}

#[test]
fn the_base_holds_where_an_experiment_says_nothing() {
    let text = "experiment \"one\" {\n  fleet {\n    workers = 7\n  }\n  arm \"a\" {\n    router = \"random\"\n  }\n}\n";
    let experiment = read("e.hcl", text).expect("no fault");
    assert_eq!((experiment.workers, experiment.kinds.len()), ((7.0, 7.0), 3));
    assert_eq!((experiment.cases.len(), experiment.traffic.classes.len()), (1, 3));
}

#[test]
fn faults_name_file_line_and_key() {
    let of = |body: &str| {
        fault(&format!("experiment \"one\" {{\n  {body}\n  arm \"a\" {{ router = \"random\" }}\n}}\n"))
    };
    assert_eq!(of("length = 3"), "e.hcl:2: experiment[one].length: there is no such key here");
    assert!(of("length_s = -3").starts_with("e.hcl:2: experiment[one].length_s: expected a number from 1"));
    assert!(of("case \"x\" { troubles = [\"flood\"] }").contains("there is no trouble \"flood\""));
    assert!(of("case \"x\" { troubles = [\"crash\"] }").contains("needs a block trouble \"crash\""));
    assert!(of("arm \"a\" { router = \"oracle\" }").contains("two arms are named \"a\""));
    assert!(
        of("arm \"b\" { router = \"best\" }").contains("arm[b].router: expected one of cairncrank, random")
    );
    assert!(fault("experiment \"x\" {\n}\n").contains("expected one arm or more"));
}
