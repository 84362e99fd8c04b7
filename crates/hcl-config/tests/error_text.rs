//! Texts of errors as operators and their tools read them: file, line, key, problem.

use std::fmt::Write as _;

use hcl_config::{Fault, Section};

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

fn shown<T>(read: Result<T, Fault>) -> String {
    match read {
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
    let words = [("slow", 1), ("quick", 2)];
    let texts = [
        shown(file.number("name", 0.0..=1.5)),
        shown(room.number("share", 1.0..=2.0)),
        shown(file.whole("debt", 1..=64)),
        shown(file.whole("name", 0..=u64::MAX)),
        shown(large.whole("slots", 1..=64)),
        shown(file.span("wide", 2.0..=9.0)),
        shown(file.span("deep", 2.0..=9.0)),
        shown(room.numbers("many", 1.0..=2.0)),
        shown(room.flag("share")),
        shown(file.flag("deep")),
        shown(room.text("on")),
        shown(file.text("wide")),
        shown(limits.word("rate", &words)),
        shown(file.section("class").map(|_| ())),
        shown::<()>(Err(limits.fault("", "is of no use"))),
        shown::<()>(Err(limits.fault("absent", "is missing"))),
        shown::<()>(Err(file.fault("", "is empty"))),
        shown(file.finish()),
        shown(room.finish()),
        shown(large.finish()),
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
        writeln!(text, "{}", shown(Section::parse("etc/a.hcl", source))).unwrap();
    }
    let shared = "a = 1\nroom {\n  b = 2\n}\nroam {}\n";
    let file = Section::parse("etc/a.hcl", shared).unwrap();
    file.value("a");
    writeln!(text, "{}", shown(file.finish())).unwrap();
    let room = file.section("room").unwrap().unwrap();
    writeln!(text, "{}", shown(file.finish())).unwrap();
    room.value("b");
    writeln!(text, "{}", shown(file.finish())).unwrap();
    insta::assert_snapshot!(text);
}
