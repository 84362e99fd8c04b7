//! Reads settings from HCL, with faults that name file, line and key.
//!
//! `hcl-edit` parses the text and keeps where each part stood; this package keeps no more of it than plain values
//! with their lines, and offers getters that check type and bounds. A key or block that no getter asked for is a
//! fault too ([`Section::deny_unknown_keys`]): a misspelt setting must not pass for a default.

use std::cell::Cell;
use std::fmt;
use std::ops::RangeInclusive;
use std::rc::Rc;

use hcl_edit::expr::{Expression, ObjectKey, UnaryOperator};
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span as _;

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HclError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 where the file itself is at fault.
    pub line: usize,
    /// The key at fault, with the blocks it stands in; empty where the text is no HCL.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

impl fmt::Display for HclError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.problem)
    }
}

impl std::error::Error for HclError {}

/// What reading a setting gives.
pub type HclResult<T> = Result<T, HclError>;

/// A plain value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// True or false.
    Bool(bool),
    /// A number; whole ones are exact up to 2^53.
    Number(f64),
    /// A text without interpolation.
    String(String),
    /// A list.
    List(Vec<Value>),
    /// An object, in the order of the file.
    Object(Vec<(String, Value)>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Bool(flag) => write!(f, "{flag}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::String(text) => write!(f, "\"{text}\""),
            Value::List(items) => write!(f, "a list of {}", items.len()),
            Value::Object(_) => f.write_str("an object"),
        }
    }
}

#[derive(Debug)]
struct Entry {
    key: String,
    line: usize,
    value: Value,
    was_read: Cell<bool>,
}

/// A file or a block of it.
#[derive(Debug)]
pub struct Section {
    file: Rc<str>,
    path: String,
    line: usize,
    kind: String,
    label: String,
    entries: Vec<Entry>,
    sections: Vec<Section>,
    was_read: Cell<bool>,
}

impl Section {
    /// Reads a text; `file` is its name in faults.
    ///
    /// # Errors
    /// The text is no HCL, or uses what needs evaluation: variables, functions, interpolation.
    pub fn parse(file: &str, text: &str) -> HclResult<Section> {
        let body = hcl_edit::parser::parse_body(text).map_err(|error| HclError {
            file: file.to_owned(),
            line: error.location().line(),
            key: String::new(),
            problem: format!("no HCL: {}", error.message()),
        })?;
        let parser = Parser { file: file.into(), text };
        parser.section(&body, String::new(), 1, String::new(), String::new())
    }

    /// The label of a block such as `class "stock-lookup"`; empty where it has none.
    pub fn label(&self) -> &str {
        &self.label
    }

    /// A fault of this section at a key, or of the section itself where the key is empty.
    pub fn error(&self, key: &str, problem: impl Into<String>) -> HclError {
        let line = self.entries.iter().find(|e| e.key == key).map_or(self.line, |e| e.line);
        HclError { file: self.file.to_string(), line, key: self.qualified_key(key), problem: problem.into() }
    }

    fn qualified_key(&self, key: &str) -> String {
        match (self.path.is_empty(), key.is_empty()) {
            (true, _) => key.to_owned(),
            (false, true) => self.path.clone(),
            (false, false) => format!("{}.{key}", self.path),
        }
    }

    /// The value at a key, whatever its type.
    pub fn value(&self, key: &str) -> Option<&Value> {
        let entry = self.entries.iter().find(|entry| entry.key == key)?;
        entry.was_read.set(true);
        Some(&entry.value)
    }

    fn converted<T>(
        &self,
        key: &str,
        expected: &str,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> HclResult<Option<T>> {
        let Some(value) = self.value(key) else { return Ok(None) };
        match convert(value) {
            Some(converted) => Ok(Some(converted)),
            None => Err(self.error(key, format!("expected {expected}, found {value}"))),
        }
    }

    /// A number within bounds.
    ///
    /// # Errors
    /// It is no number, or out of bounds.
    pub fn number(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<f64>> {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| match value {
            Value::Number(number) if bounds.contains(number) => Some(*number),
            _ => None,
        })
    }

    /// A whole number within bounds.
    ///
    /// # Errors
    /// It is no whole number, or out of bounds.
    pub fn integer(&self, key: &str, bounds: RangeInclusive<u64>) -> HclResult<Option<u64>> {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| match value {
            Value::Number(n) if n.fract() == 0.0 && *n >= 0.0 && bounds.contains(&(*n as u64)) => {
                Some(*n as u64)
            }
            _ => None,
        })
    }

    /// A number, or a list of two as a span of numbers, both within bounds and the lower one first.
    ///
    /// # Errors
    /// It is neither, out of bounds, or the wrong way round.
    pub fn number_range(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<(f64, f64)>> {
        let (low, high) = (bounds.start(), bounds.end());
        let expected = format!("a number from {low} to {high}, or [lower, upper] within these");
        self.converted(key, &expected, |value| match value {
            Value::Number(number) if bounds.contains(number) => Some((*number, *number)),
            Value::List(items) => match items[..] {
                [Value::Number(a), Value::Number(b)]
                    if bounds.contains(&a) && bounds.contains(&b) && a <= b =>
                {
                    Some((a, b))
                }
                _ => None,
            },
            _ => None,
        })
    }

    /// One number or a list of them, each within bounds.
    ///
    /// # Errors
    /// It is neither, empty, or out of bounds.
    pub fn number_list(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<Vec<f64>>> {
        let expected = format!("numbers from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| {
            let items = match value {
                Value::List(items) if !items.is_empty() => items.as_slice(),
                one => std::slice::from_ref(one),
            };
            let number = |item: &Value| match item {
                Value::Number(number) if bounds.contains(number) => Some(*number),
                _ => None,
            };
            items.iter().map(number).collect()
        })
    }

    /// True or false.
    ///
    /// # Errors
    /// It is neither.
    pub fn boolean(&self, key: &str) -> HclResult<Option<bool>> {
        self.converted(key, "true or false", |value| match value {
            Value::Bool(flag) => Some(*flag),
            _ => None,
        })
    }

    /// A text.
    ///
    /// # Errors
    /// It is none.
    pub fn string(&self, key: &str) -> HclResult<Option<String>> {
        self.converted(key, "a text", |value| match value {
            Value::String(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// One of some words.
    ///
    /// # Errors
    /// It is none of them.
    pub fn keyword<T: Copy>(&self, key: &str, keywords: &[(&str, T)]) -> HclResult<Option<T>> {
        let known: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
        self.converted(key, &format!("one of {}", known.join(", ")), |value| match value {
            Value::String(text) => {
                keywords.iter().find(|(keyword, _)| keyword == text).map(|(_, meaning)| *meaning)
            }
            _ => None,
        })
    }

    /// The blocks of a kind, in the order of the file.
    pub fn sections<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        let of_kind = self.sections.iter().filter(move |section| section.kind == kind);
        of_kind.inspect(|section| section.was_read.set(true))
    }

    /// The one block of a kind, where there is one.
    ///
    /// # Errors
    /// There are several.
    pub fn section(&self, kind: &str) -> HclResult<Option<&Section>> {
        let mut found = self.sections.iter().filter(|section| section.kind == kind);
        let first = found.next().inspect(|section| section.was_read.set(true));
        match found.next() {
            Some(second) => Err(second.error("", "there is more than one such block")),
            None => Ok(first),
        }
    }

    /// Checks that all that stands in the file was asked for.
    ///
    /// # Errors
    /// The first key or block that was not.
    pub fn deny_unknown_keys(&self) -> HclResult<()> {
        if let Some(entry) = self.entries.iter().find(|entry| !entry.was_read.get()) {
            return Err(self.error(&entry.key, "there is no such key here"));
        }
        self.sections.iter().try_for_each(|section| match section.was_read.get() {
            true => section.deny_unknown_keys(),
            false => Err(section.error("", "there is no such block here")),
        })
    }
}

struct Parser<'a> {
    file: Rc<str>,
    text: &'a str,
}

impl Parser<'_> {
    fn line(&self, span: Option<std::ops::Range<usize>>) -> usize {
        let before = span.and_then(|span| self.text.get(..span.start)).unwrap_or_default();
        1 + before.bytes().filter(|byte| *byte == b'\n').count()
    }

    fn section(
        &self,
        body: &Body,
        path: String,
        line: usize,
        kind: String,
        label: String,
    ) -> HclResult<Section> {
        let (file, was_read) = (Rc::clone(&self.file), Cell::new(false));
        let (entries, sections) = (Vec::new(), Vec::new());
        let mut section = Section { file, path, line, kind, label, entries, sections, was_read };
        for part in body {
            match part {
                Structure::Attribute(attribute) => {
                    let key = attribute.key.as_str().to_owned();
                    let line = self.line(attribute.key.span());
                    let value = plain_value(&attribute.value).map_err(|problem| HclError {
                        file: self.file.to_string(),
                        line,
                        key: section.qualified_key(&key),
                        problem,
                    })?;
                    section.entries.push(Entry { key, line, value, was_read: Cell::new(false) });
                }
                Structure::Block(block) => {
                    let kind = block.ident.as_str().to_owned();
                    let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
                    let label = labels.join(" ");
                    let name = if label.is_empty() { kind.clone() } else { format!("{kind}[{label}]") };
                    let line = self.line(block.ident.span());
                    section.sections.push(self.section(
                        &block.body,
                        section.qualified_key(&name),
                        line,
                        kind,
                        label,
                    )?);
                }
            }
        }
        Ok(section)
    }
}

fn plain_value(expression: &Expression) -> Result<Value, String> {
    Ok(match expression {
        Expression::Bool(flag) => Value::Bool(**flag),
        Expression::Number(number) => match number.as_f64() {
            Some(number) if number.is_finite() => Value::Number(number),
            _ => return Err("a number out of range".to_owned()),
        },
        Expression::String(text) => Value::String(text.as_str().to_owned()),
        Expression::Array(items) => Value::List(items.iter().map(plain_value).collect::<Result<_, _>>()?),
        Expression::Object(map) => {
            let entry = |(key, item): (&ObjectKey, &hcl_edit::expr::ObjectValue)| {
                let key = match key {
                    ObjectKey::Ident(name) => name.as_str().to_owned(),
                    ObjectKey::Expression(Expression::String(name)) => name.as_str().to_owned(),
                    ObjectKey::Expression(Expression::Number(number)) => number.to_string(),
                    ObjectKey::Expression(_) => return Err("keys of an object are names".to_owned()),
                };
                Ok((key, plain_value(item.expr())?))
            };
            Value::Object(map.iter().map(entry).collect::<Result<_, String>>()?)
        }
        Expression::Parenthesis(inner) => plain_value(inner.inner())?,
        Expression::UnaryOp(op) if *op.operator == UnaryOperator::Neg => match plain_value(&op.expr)? {
            Value::Number(number) => Value::Number(-number),
            other => return Err(format!("there is no minus of {other}")),
        },
        _ => return Err("expected a plain value; variables, functions and templates are not read".to_owned()),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

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

    fn read(text: &str) -> Section {
        Section::parse("a.hcl", text).expect("HCL")
    }

    #[test]
    fn values_are_read_by_type_and_bounds() {
        let file = read(TEXT);
        let room = file.section("room").expect("one").expect("there");
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
        let file = read(TEXT);
        let shown = |error: HclError| error.to_string();
        let room = file.section("room").expect("one").expect("there");
        let wide = room.number("wide", 0.0..=1.0).map_err(shown);
        assert_eq!(
            wide,
            Err("a.hcl:5: room.wide: expected a number from 0 to 1, found a list of 2".to_owned())
        );
        let large = file.sections("class").last().expect("two");
        let slots = large.integer("slots", 1..=64).map_err(shown);
        let said = "a.hcl:13: class[large].slots: expected a whole number from 1 to 64, found -4";
        assert_eq!(slots, Err(said.to_owned()));
        let twice = file.section("class").map(|_| ()).map_err(shown);
        assert_eq!(twice, Err("a.hcl:12: class[large]: there is more than one such block".to_owned()));
        let text = Section::parse("a.hcl", "a = 1\nb = = 2\n").map(|_| ()).map_err(|f| (f.line, f.key));
        assert_eq!(text, Err((2, String::new())));
        let call = Section::parse("a.hcl", "\na = env(\"HOME\")\n").map(|_| ()).map_err(|f| (f.line, f.key));
        assert_eq!(call, Err((2, "a".to_owned())));
    }

    #[test]
    fn rejects_keys_that_nobody_reads() {
        let file = read("room {\n  share = 1\n  shore = 2\n}\nroam {}\n");
        let room = file.section("room").expect("one").expect("there");
        let _ = room.number("share", 0.0..=1.0);
        let shown = |file: &Section| file.deny_unknown_keys().map_err(|error| error.to_string());
        assert_eq!(shown(&file), Err("a.hcl:3: room.shore: there is no such key here".to_owned()));
        let _ = room.value("shore");
        assert_eq!(shown(&file), Err("a.hcl:5: roam: there is no such block here".to_owned()));
        let _ = file.section("roam");
        assert_eq!(shown(&file), Ok(()));
    }
}
