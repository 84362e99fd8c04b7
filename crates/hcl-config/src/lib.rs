//! Reads settings from HCL, with errors that name file, line and key.
//!
//! `hcl-edit` parses the text and knows where each part stood. This package keeps plain values with their lines, and offers
//! getters that check types and bounds. A key or block that no getter read is an error too
//! ([`Section::deny_unknown_keys`]): a misspelt setting must not pass for a default.
//!
//! | module | concern |
//! | --- | --- |
//! | `error` | what is wrong with a file, and where |
//! | `value` | plain values, from HCL expressions |
//! | `section` | a file or block, and getters for its settings |
//! | `parser` | from a text to sections |

mod error;
mod parser;
mod section;
mod value;

pub use error::{HclError, HclResult, Problem, ValueError};
pub use section::Section;
pub use value::Value;
