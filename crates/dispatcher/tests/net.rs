//! Plays the scenarios in `tests/scenarios/` against the program's network code and compares what each party
//! saw with a snapshot. The language is in `tests/scenario/mod.rs`.

mod scenario;

#[test]
fn scenarios() {
    insta::glob!("scenarios/*.txt", |path| {
        let script = std::fs::read_to_string(path).expect("a readable scenario");
        insta::assert_snapshot!(scenario::play(&script));
    });
}
