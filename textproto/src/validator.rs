//! Validates the values of a message once they are of their types: ranges, names, required fields. All errors are
//! collected; a check that fails returns a valid value in place of the wrong one, so that validation goes on.

use crate::diagnostics::{Diagnostic, Diagnostics};
use crate::parse::SourceFile;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::ops::RangeInclusive;

const MAX_IDENTIFIER_BYTES: usize = 64;

/// A field or message of a file, and all errors of that file so far.
pub struct Validator<'a> {
    source: &'a SourceFile,
    /// The path of the field; empty for the whole message.
    path: String,
    diagnostics: &'a RefCell<Vec<Diagnostic>>,
}

impl<'a> Validator<'a> {
    /// Validates a whole message. What `convert` returns is kept only if it reported no error.
    pub fn validate<T>(source: &SourceFile, convert: impl FnOnce(&Validator) -> T) -> Result<T, Diagnostics> {
        let diagnostics = RefCell::default();
        let value = convert(&Validator { source, path: String::new(), diagnostics: &diagnostics });
        let mut diagnostics = diagnostics.into_inner();
        if diagnostics.is_empty() {
            return Ok(value);
        }
        diagnostics.sort_by_key(|diagnostic: &Diagnostic| diagnostic.line);
        Err(Diagnostics(diagnostics))
    }

    fn child(&self, step: String) -> Validator<'a> {
        let path = if self.path.is_empty() { step } else { format!("{}.{step}", self.path) };
        Validator { source: self.source, path, diagnostics: self.diagnostics }
    }

    /// A field of this message.
    pub fn field(&self, name: &str) -> Validator<'a> {
        self.child(name.to_owned())
    }

    /// An element of a repeated field of this message, from 0.
    pub fn element(&self, name: &str, position: usize) -> Validator<'a> {
        self.child(format!("{name}[{position}]"))
    }

    /// Reports an error of this field.
    pub fn report(&self, message: impl Into<String>) {
        self.diagnostics.borrow_mut().push(self.source.diagnostic(&self.path, message));
    }

    /// Reports an error of this field unless the condition holds.
    pub fn require(&self, condition: bool, message: impl FnOnce() -> String) {
        if !condition {
            self.report(message());
        }
    }

    /// The value if it is within bounds, else the lower bound; `unit` says what it measures.
    pub fn in_range(&self, value: f64, bounds: RangeInclusive<f64>, unit: &str) -> f64 {
        if bounds.contains(&value) {
            return value;
        }
        let (least, most) = (*bounds.start(), *bounds.end());
        self.report(format!("{value} {unit} is not allowed: {least} to {most} {unit}"));
        least
    }

    /// The whole number if it is within bounds, else the lower bound; `unit` says what it counts.
    pub fn count_in_range(&self, value: u32, bounds: RangeInclusive<u32>, unit: &str) -> u32 {
        if bounds.contains(&value) {
            return value;
        }
        let (least, most) = (*bounds.start(), *bounds.end());
        self.report(format!("{value} {unit} is not allowed: {least} to {most}"));
        least
    }

    /// The value, which has to be an identifier: short, and without characters that would break a table or a path.
    pub fn identifier(&self, value: &str) -> String {
        let allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid = !value.is_empty() && value.len() <= MAX_IDENTIFIER_BYTES && value.chars().all(allowed);
        self.require(valid, || {
            format!("'{value}' is no name: 1 to {MAX_IDENTIFIER_BYTES} letters, digits, '-', '_' or '.'")
        });
        value.to_owned()
    }

    /// The position of a name among those that exist, or 0; `what` says what the names stand for.
    pub fn position_of(&self, name: &str, known: &[String], what: &str) -> usize {
        if let Some(position) = known.iter().position(|known_name| known_name == name) {
            return position;
        }
        self.report(format!("there is no {what} '{name}'; there are: {}", known.join(", ")));
        0
    }

    /// Reports each element of a repeated field whose `name` an earlier one has.
    pub fn unique_names<'n>(&self, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut positions = HashMap::new();
        for (position, name) in names.enumerate() {
            if let Some(earlier) = positions.insert(name, position) {
                let message = format!("'{name}' is the name of {field}[{earlier}] already");
                self.element(field, position).field("name").report(message);
            }
        }
    }

    /// The value, which has to be there, or the default; `what` says what it is.
    pub fn required<T: Default>(&self, value: Option<T>, what: impl Display) -> T {
        value.unwrap_or_else(|| {
            self.report(format!("is missing: {what}"));
            T::default()
        })
    }
}
