//! Configuration files in protobuf text format, read by a schema. A file is accepted or rejected as a whole, and a
//! rejection reports every error at once: its line, the field by its path, what is wrong and what is allowed.
//!
//! [`parse`] reads a text into the generated type of its schema; a package that owns a schema then validates the values
//! with a [`Validator`]. `locations` finds the line of each field, `tokens` cuts the text into tokens, `diagnostics`
//! holds the errors.

mod diagnostics;
mod locations;
mod parse;
mod tokens;
mod validator;

pub use diagnostics::{Diagnostic, Diagnostics};
pub use locations::FieldLocations;
pub use parse::{parse, SourceFile};
pub use validator::Validator;
