//! Runs the scenarios in `tests/scenarios/` against the dispatcher's network layer and compares the messages that each
//! party received with a snapshot. `tests/scenario/mod.rs` describes the language.

mod scenario;

#[test]
fn scenarios() {
    insta::glob!("scenarios/*.txt", |path| {
        let script = std::fs::read_to_string(path).expect("a readable scenario");
        insta::assert_snapshot!(scenario::run(&script));
    });
}
