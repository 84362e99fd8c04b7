//! Violations of the rules that an experiment checks.

use std::collections::BTreeMap;
use std::fmt;

/// A rule that an experiment checks, with the text by which results and tables name it.
pub trait Rule: Copy + Ord {
    /// Returns the text of the rule.
    fn text(self) -> &'static str;
}

/// Descriptions of violations by rule.
#[derive(Clone)]
pub struct Violations<R>(BTreeMap<R, Vec<String>>);

impl<R: Rule> Violations<R> {
    /// Adds a violation of a rule.
    pub fn add(&mut self, rule: R, description: impl Into<String>) {
        self.0.entry(rule).or_default().push(description.into());
    }

    /// Adds all violations of another check.
    pub fn merge(&mut self, other: Violations<R>) {
        for (rule, descriptions) in other.0 {
            self.0.entry(rule).or_default().extend(descriptions);
        }
    }

    /// Whether no rule was violated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the rules that were violated, in their order.
    pub fn rules(&self) -> impl Iterator<Item = R> + '_ {
        self.0.keys().copied()
    }

    /// Returns the violated rules with the descriptions of their violations.
    pub fn iter(&self) -> impl Iterator<Item = (R, &[String])> {
        self.0.iter().map(|(rule, descriptions)| (*rule, descriptions.as_slice()))
    }

    /// Returns each violation as one text, with its rule.
    pub fn descriptions(&self) -> impl Iterator<Item = String> + '_ {
        self.iter().flat_map(|(rule, descriptions)| {
            descriptions.iter().map(move |description| format!("{}: {description}", rule.text()))
        })
    }

    /// Returns the violations by the text of their rule, as in results.
    #[must_use]
    pub fn by_text(&self) -> BTreeMap<String, Vec<String>> {
        self.iter().map(|(rule, descriptions)| (rule.text().to_owned(), descriptions.to_vec())).collect()
    }
}

impl<R> Default for Violations<R> {
    fn default() -> Violations<R> {
        Violations(BTreeMap::new())
    }
}

impl<R: Rule> fmt::Debug for Violations<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.by_text().fmt(f)
    }
}
