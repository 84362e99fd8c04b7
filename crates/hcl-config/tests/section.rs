//! Getters check the type and bounds of settings; their errors name file, line and key.

use hcl_config::{HclError, Section};

const TEXT: &str = "\
name = \"here\"

room {
  share = 0.5
  wide  = [1, 2.5]
  on    = true
}

class \"small\" {
  slots = 1
}
class \"large\" {
  slots = -4
}
";

fn parse(text: &str) -> Section {
    Section::parse("a.hcl", text).expect("valid HCL")
}

#[test]
fn values_are_read_by_type_and_bounds() {
    let file = parse(TEXT);
    let room = file.section("room").expect("at most one block").expect("a block");
    assert_eq!(file.string("name"), Ok(Some("here".to_owned())));
    assert_eq!(room.number("share", 0.0..=1.0), Ok(Some(0.5)));
    assert_eq!(room.number_range("wide", 0.0..=9.0), Ok(Some((1.0, 2.5))));
    assert_eq!(room.boolean("on"), Ok(Some(true)));
    assert_eq!(room.number("absent", 0.0..=1.0), Ok(None));
    let labels: Vec<&str> = file.sections("class").map(Section::label).collect();
    assert_eq!(labels, ["small", "large"]);
}

#[test]
fn errors_name_file_line_and_key() {
    let file = parse(TEXT);
    let to_text = |error: HclError| error.to_string();
    let room = file.section("room").expect("at most one block").expect("a block");
    let wide = room.number("wide", 0.0..=1.0).map_err(to_text);
    assert_eq!(wide, Err("a.hcl:5: room.wide: expected a number from 0 to 1, found a list of 2".to_owned()));
    let large = file.sections("class").last().expect("a block");
    let slots = large.integer("slots", 1..=64).map_err(to_text);
    let expected = "a.hcl:13: class[large].slots: expected a whole number from 1 to 64, found -4";
    assert_eq!(slots, Err(expected.to_owned()));
    let repeated = file.section("class").map(|_| ()).map_err(to_text);
    assert_eq!(repeated, Err("a.hcl:12: class[large]: there is more than one such block".to_owned()));
    let text = Section::parse("a.hcl", "a = 1\nb = = 2\n").map(|_| ()).map_err(|e| (e.line, e.key));
    assert_eq!(text, Err((2, String::new())));
    let call = Section::parse("a.hcl", "\na = env(\"HOME\")\n").map(|_| ()).map_err(|e| (e.line, e.key));
    assert_eq!(call, Err((2, "a".to_owned())));
}

#[test]
fn rejects_keys_and_blocks_that_no_getter_has_read() {
    let file = parse("room {\n  share = 1\n  shore = 2\n}\nroam {}\n");
    let room = file.section("room").expect("at most one block").expect("a block");
    let _ = room.number("share", 0.0..=1.0);
    let unknown_key = |file: &Section| file.deny_unknown_keys().map_err(|error| error.to_string());
    assert_eq!(unknown_key(&file), Err("a.hcl:3: room.shore: there is no such key here".to_owned()));
    let _ = room.value("shore");
    assert_eq!(unknown_key(&file), Err("a.hcl:5: roam: there is no such block here".to_owned()));
    let _ = file.section("roam");
    assert_eq!(unknown_key(&file), Ok(()));
}
