//! Reads configuration files in protobuf text format against a schema. A file is accepted or rejected as a
//! whole. A rejection reports all errors that were found rather than only the first, each with its line, the
//! path of its field, a description and the valid values.
//!
//! [`parse`] decodes text into the generated type of its schema. The package that owns the schema then checks
//! the values with a [`Validator`]. `locations` maps field paths to lines, `tokens` is the tokenizer, and
//! `diagnostics` defines the error types.

mod diagnostics;
mod locations;
mod parse;
mod tokens;
mod validator;

pub use diagnostics::{Diagnostic, Diagnostics};
pub use locations::FieldLocations;
pub use parse::{parse, SourceFile};
pub use validator::Validator;
