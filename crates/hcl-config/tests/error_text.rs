//! Complete texts of errors, which operators and their tools read: file, line, key and problem.

use std::fmt::Write as _;

use hcl_config::{HclError, Section};

const SETTINGS: &str = "\
name = \"here\"
wide = [1, 2.5]
deep = { inner = [1, 2], on = true }
debt = -4

room {
  share = 0.5
  on    = true
  many  = [1, 2, 30]
}

class \"small\" {
  slots = 1
}
class \"large\" \"extra\" {
  slots = 1.5
  limits {
    rate = \"fast\"
  }
}
";

fn error_text<T>(result: Result<T, HclError>) -> String {
    match result {
        Ok(_) => "read".to_owned(),
        Err(error) => format!("{error} [line {}, key {:?}]", error.line, error.key),
    }
}

#[test]
fn texts_of_errors_in_values() {
    let file = Section::parse("etc/a.hcl", SETTINGS).unwrap();
    let room = file.section("room").unwrap().unwrap();
    let large = file.sections("class").last().unwrap();
    let limits = large.section("limits").unwrap().unwrap();
    let keywords = [("slow", 1), ("quick", 2)];
    let texts = [
        error_text(file.number("name", 0.0..=1.5)),
        error_text(room.number("share", 1.0..=2.0)),
        error_text(file.integer("debt", 1..=64)),
        error_text(file.integer("name", 0..=u64::MAX)),
        error_text(large.integer("slots", 1..=64)),
        error_text(file.number_range("wide", 2.0..=9.0)),
        error_text(file.number_range("deep", 2.0..=9.0)),
        error_text(room.number_list("many", 1.0..=2.0)),
        error_text(room.boolean("share")),
        error_text(file.boolean("deep")),
        error_text(room.string("on")),
        error_text(file.string("wide")),
        error_text(limits.keyword("rate", &keywords)),
        error_text(file.section("class").map(|_| ())),
        error_text::<()>(Err(limits.error("", "is not needed"))),
        error_text::<()>(Err(limits.error("absent", "is missing"))),
        error_text::<()>(Err(file.error("", "is empty"))),
        error_text(file.deny_unknown_keys()),
        error_text(room.deny_unknown_keys()),
        error_text(large.deny_unknown_keys()),
    ];
    let text = texts.join("\n");
    insta::assert_snapshot!(text);
}

#[test]
fn texts_of_errors_in_files() {
    let mut text = String::new();
    for source in [
        "a = 1\nb = = 2\n",
        "a = env(\"HOME\")\n",
        "\na = b\n",
        "room {\n  a = \"x${b}\"\n}\n",
        "a = 1e999\n",
        "a = -\"x\"\n",
        "a = { \"x${b}\" = 1 }\n",
        "a = [1, !true]\n",
        "room \"x\" {\n",
    ] {
        writeln!(text, "{}", error_text(Section::parse("etc/a.hcl", source))).unwrap();
    }
    let shared = "a = 1\nroom {\n  b = 2\n}\nroam {}\n";
    let file = Section::parse("etc/a.hcl", shared).unwrap();
    file.value("a");
    writeln!(text, "{}", error_text(file.deny_unknown_keys())).unwrap();
    let room = file.section("room").unwrap().unwrap();
    writeln!(text, "{}", error_text(file.deny_unknown_keys())).unwrap();
    room.value("b");
    writeln!(text, "{}", error_text(file.deny_unknown_keys())).unwrap();
    insta::assert_snapshot!(text);
}
