//! Parser of a text into sections with the lines of their keys and blocks.

use std::ops::Range;
use std::rc::Rc;

use hcl_edit::structure::{Attribute, Block, BlockLabel, Body, Structure};
use hcl_edit::Span as _;

use crate::section::{BlockHeader, Section};
use crate::{HclError, HclResult, Problem, Value};

/// Line of the first character, which is also the line of errors of the top-level section.
const FIRST_LINE: usize = 1;

impl Section {
    /// Parses a text; `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Problem::Syntax`] if the text is not HCL, and [`Problem::Value`] if an expression needs evaluation
    /// (variables, functions, interpolation).
    pub fn parse(file: &str, text: &str) -> HclResult<Section> {
        let body = hcl_edit::parser::parse_body(text).map_err(|error| HclError {
            file: file.to_owned(),
            line: error.location().line(),
            key: String::new(),
            problem: Problem::Syntax(error.message().to_owned()),
        })?;
        let top = BlockHeader { line: FIRST_LINE, ..BlockHeader::default() };
        Parser { file: file.into(), text }.section(&body, top)
    }
}

struct Parser<'a> {
    file: Rc<str>,
    text: &'a str,
}

impl Parser<'_> {
    fn section(&self, body: &Body, header: BlockHeader) -> HclResult<Section> {
        let mut section = Section::new(Rc::clone(&self.file), header);
        for structure in body {
            match structure {
                Structure::Attribute(attribute) => self.add_attribute(&mut section, attribute)?,
                Structure::Block(block) => {
                    let header = self.block_header(&section, block);
                    section.add_section(self.section(&block.body, header)?);
                }
            }
        }
        Ok(section)
    }

    fn add_attribute(&self, section: &mut Section, attribute: &Attribute) -> HclResult<()> {
        let key = attribute.key.as_str().to_owned();
        let line = self.line(attribute.key.span());
        let value = Value::from_expression(&attribute.value).map_err(|error| HclError {
            file: self.file.to_string(),
            line,
            key: section.qualified_key(&key),
            problem: error.into(),
        })?;
        section.add_entry(key, line, value);
        Ok(())
    }

    fn block_header(&self, parent: &Section, block: &Block) -> BlockHeader {
        let kind = block.ident.as_str().to_owned();
        let labels: Vec<&str> = block.labels.iter().map(BlockLabel::as_str).collect();
        let label = labels.join(" ");
        let name = if label.is_empty() { kind.clone() } else { format!("{kind}[{label}]") };
        BlockHeader { path: parent.qualified_key(&name), line: self.line(block.ident.span()), kind, label }
    }

    fn line(&self, span: Option<Range<usize>>) -> usize {
        let before = span.and_then(|span| self.text.get(..span.start)).unwrap_or_default();
        FIRST_LINE + before.bytes().filter(|byte| *byte == b'\n').count()
    }
}
