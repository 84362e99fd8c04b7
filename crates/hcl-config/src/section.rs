//! Sections: a file or a block in a file, with getters for its settings.

use std::cell::Cell;
use std::ops::RangeInclusive;
use std::rc::Rc;

use crate::{HclError, HclResult, Problem, Value};

/// A key with its value.
#[derive(Debug)]
struct Entry {
    key: String,
    line: usize,
    value: Value,
    was_read: Cell<bool>,
}

/// Header of a block, with its position.
#[derive(Debug, Default)]
pub(crate) struct BlockHeader {
    /// Path of the block with its enclosing blocks, such as `class[small].limits`; empty for a file.
    pub(crate) path: String,
    /// Line, from 1.
    pub(crate) line: usize,
    /// Kind of the block, which is its first word; empty for a file.
    pub(crate) kind: String,
    /// Labels of the block, separated by a space; empty if it has none.
    pub(crate) label: String,
}

/// A file or a block in a file.
#[derive(Debug)]
pub struct Section {
    file: Rc<str>,
    header: BlockHeader,
    entries: Vec<Entry>,
    sections: Vec<Section>,
    was_read: Cell<bool>,
}

impl Section {
    pub(crate) fn new(file: Rc<str>, header: BlockHeader) -> Section {
        Section { file, header, entries: Vec::new(), sections: Vec::new(), was_read: Cell::new(false) }
    }

    pub(crate) fn add_entry(&mut self, key: String, line: usize, value: Value) {
        self.entries.push(Entry { key, line, value, was_read: Cell::new(false) });
    }

    pub(crate) fn add_section(&mut self, section: Section) {
        self.sections.push(section);
    }

    /// Returns a key with its enclosing blocks, or the path of this block if the key is empty.
    pub(crate) fn qualified_key(&self, key: &str) -> String {
        let path = &self.header.path;
        match (path.is_empty(), key.is_empty()) {
            (true, _) => key.to_owned(),
            (false, true) => path.clone(),
            (false, false) => format!("{path}.{key}"),
        }
    }

    /// Returns the label of a block such as `class "stock-lookup"`; empty if it has none.
    pub fn label(&self) -> &str {
        &self.header.label
    }

    /// Creates an error at a key of this section, or at the section itself if the key is empty or absent.
    pub fn error(&self, key: &str, problem: impl Into<Problem>) -> HclError {
        let line = self.entry(key).map_or(self.header.line, |entry| entry.line);
        HclError { file: self.file.to_string(), line, key: self.qualified_key(key), problem: problem.into() }
    }

    fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Returns the value at a key, of any type; `None` if the key is absent. Like every getter, marks the key as read.
    pub fn value(&self, key: &str) -> Option<&Value> {
        let entry = self.entry(key)?;
        entry.was_read.set(true);
        Some(&entry.value)
    }

    /// Returns the converted value at a key; `expected` describes the values that `convert` accepts.
    fn converted<T>(
        &self,
        key: &str,
        expected: &str,
        convert: impl Fn(&Value) -> Option<T>,
    ) -> HclResult<Option<T>> {
        let Some(value) = self.value(key) else { return Ok(None) };
        let converted = convert(value).ok_or_else(|| {
            let problem = Problem::Unexpected { expected: expected.to_owned(), actual: value.clone() };
            self.error(key, problem)
        })?;
        Ok(Some(converted))
    }

    /// Returns a number within bounds.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is not a number or out of bounds.
    pub fn number(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<f64>> {
        let expected = format!("a number from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| number_within(value, &bounds))
    }

    /// Returns an integer within bounds.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is not an integer or out of bounds.
    pub fn integer(&self, key: &str, bounds: RangeInclusive<u64>) -> HclResult<Option<u64>> {
        let expected = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| match value {
            Value::Number(number) if number.fract() == 0.0 && *number >= 0.0 => {
                Some(*number as u64).filter(|integer| bounds.contains(integer))
            }
            _ => None,
        })
    }

    /// Returns the lower and the upper end of a range within bounds. The range is written as a list of two numbers, or
    /// as one number for both ends.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is neither, a number is out of bounds, or the lower end exceeds the
    /// upper one.
    pub fn number_range(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<(f64, f64)>> {
        let low = bounds.start();
        let high = bounds.end();
        let expected = format!("a number from {low} to {high}, or [lower, upper] within these");
        self.converted(key, &expected, |value| match value {
            Value::List(items) => range_within(items, &bounds),
            single => number_within(single, &bounds).map(|number| (number, number)),
        })
    }

    /// Returns a list of numbers within bounds, which may be written as one number.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is neither, the list is empty, or a number is out of bounds.
    pub fn number_list(&self, key: &str, bounds: RangeInclusive<f64>) -> HclResult<Option<Vec<f64>>> {
        let expected = format!("numbers from {} to {}", bounds.start(), bounds.end());
        self.converted(key, &expected, |value| {
            let items = match value {
                Value::List(items) if !items.is_empty() => items.as_slice(),
                single => std::slice::from_ref(single),
            };
            items.iter().map(|item| number_within(item, &bounds)).collect()
        })
    }

    /// Returns a boolean.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is not a boolean.
    pub fn boolean(&self, key: &str) -> HclResult<Option<bool>> {
        self.converted(key, "true or false", |value| match value {
            Value::Bool(boolean) => Some(*boolean),
            _ => None,
        })
    }

    /// Returns a string.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is not a string.
    pub fn string(&self, key: &str) -> HclResult<Option<String>> {
        self.converted(key, "a string", |value| match value {
            Value::String(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// Returns the value that `keywords` maps the keyword at a key to.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Unexpected`] if the value is not one of the keywords.
    pub fn keyword<T: Copy>(&self, key: &str, keywords: &[(&str, T)]) -> HclResult<Option<T>> {
        let choices: Vec<&str> = keywords.iter().map(|(keyword, _)| *keyword).collect();
        self.converted(key, &format!("one of {}", choices.join(", ")), |value| match value {
            Value::String(text) => {
                keywords.iter().find(|(keyword, _)| keyword == text).map(|(_, mapped)| *mapped)
            }
            _ => None,
        })
    }

    /// Returns the blocks of a kind, in the order of the file.
    pub fn sections<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        let of_kind = self.sections.iter().filter(move |section| section.header.kind == kind);
        of_kind.inspect(|section| section.was_read.set(true))
    }

    /// Returns the block of a kind that may occur at most once; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::RepeatedBlock`] if there are several.
    pub fn section(&self, kind: &str) -> HclResult<Option<&Section>> {
        let mut of_kind = self.sections.iter().filter(|section| section.header.kind == kind);
        let first = of_kind.next().inspect(|section| section.was_read.set(true));
        match of_kind.next() {
            Some(second) => Err(second.error("", Problem::RepeatedBlock)),
            None => Ok(first),
        }
    }

    /// Checks that every key and block of the section was read by a getter.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::UnknownKey`] or [`Problem::UnknownBlock`] at the first key or block that was not read.
    pub fn deny_unknown_keys(&self) -> HclResult<()> {
        if let Some(entry) = self.entries.iter().find(|entry| !entry.was_read.get()) {
            return Err(self.error(&entry.key, Problem::UnknownKey));
        }
        for section in &self.sections {
            if !section.was_read.get() {
                return Err(section.error("", Problem::UnknownBlock));
            }
            section.deny_unknown_keys()?;
        }
        Ok(())
    }
}

fn number_within(value: &Value, bounds: &RangeInclusive<f64>) -> Option<f64> {
    match value {
        Value::Number(number) if bounds.contains(number) => Some(*number),
        _ => None,
    }
}

/// Returns the ends of a range that is written as a list of two numbers, if they are within bounds and in order.
fn range_within(items: &[Value], bounds: &RangeInclusive<f64>) -> Option<(f64, f64)> {
    let [lower, upper] = items else { return None };
    let lower = number_within(lower, bounds)?;
    let upper = number_within(upper, bounds)?;
    (lower <= upper).then_some((lower, upper))
}
