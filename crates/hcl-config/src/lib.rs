//! Reads settings from HCL, with errors that name file, line and key.
//!
//! `hcl-edit` parses the text into expressions with their positions. This package stores plain values with their lines,
//! and provides getters that check types and bounds. A key or block that no getter has read is an error as
//! well ([`Section::deny_unknown_keys`]): a misspelled key would otherwise leave its setting at the default.
//!
//! | module | content |
//! | --- | --- |
//! | `error` | errors that name file, line and key |
//! | `value` | plain values, converted from HCL expressions |
//! | `section` | a file or block with getters for its settings |
//! | `parser` | parses a text into sections |

mod error;
mod parser;
mod section;
mod value;

pub use error::{HclError, HclResult, Problem, ValueError};
pub use section::Section;
pub use value::Value;
