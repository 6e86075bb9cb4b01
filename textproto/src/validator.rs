//! Validates the values of a parsed message: ranges, names, required fields. All errors are collected; a
//! check that fails reports the error and still returns a value, so that validation can continue.

use crate::diagnostics::{Diagnostic, Diagnostics};
use crate::parse::SourceFile;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::ops::RangeInclusive;

const MAX_IDENTIFIER_BYTES: usize = 64;

/// Validates one field or message of a file, and collects its errors with those of the rest of the file.
pub struct Validator<'a> {
    source: &'a SourceFile,
    /// The path of the field or message; empty for the top-level message.
    path: String,
    diagnostics: &'a RefCell<Vec<Diagnostic>>,
}

impl<'a> Validator<'a> {
    /// Validates a top-level message. Returns the result of `convert` if it reported no errors, else the
    /// errors.
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

    fn child(&self, segment: String) -> Validator<'a> {
        let path = if self.path.is_empty() { segment } else { format!("{}.{segment}", self.path) };
        Validator { source: self.source, path, diagnostics: self.diagnostics }
    }

    /// The validator of a field of this message.
    pub fn field(&self, name: &str) -> Validator<'a> {
        self.child(name.to_owned())
    }

    /// The validator of one element of a repeated field of this message; `position` counts from 0.
    pub fn element(&self, name: &str, position: usize) -> Validator<'a> {
        self.child(format!("{name}[{position}]"))
    }

    /// Reports an error about this field.
    pub fn report(&self, message: impl Into<String>) {
        self.diagnostics.borrow_mut().push(self.source.diagnostic(&self.path, message));
    }

    /// Reports an error about this field unless the condition holds.
    pub fn require(&self, condition: bool, message: impl FnOnce() -> String) {
        if !condition {
            self.report(message());
        }
    }

    /// Returns the value if it is within bounds; else reports an error and returns the lower bound. `unit`
    /// follows the bounds in the error.
    pub fn in_range(&self, value: f64, bounds: RangeInclusive<f64>, unit: &str) -> f64 {
        if bounds.contains(&value) {
            return value;
        }
        let (min, max) = (*bounds.start(), *bounds.end());
        self.report(format!("{value} is out of range; expected {min} to {max} {unit}"));
        min
    }

    /// Returns the integer if it is within bounds; else reports an error and returns the lower bound. `unit`
    /// follows the bounds in the error.
    pub fn count_in_range(&self, value: u32, bounds: RangeInclusive<u32>, unit: &str) -> u32 {
        if bounds.contains(&value) {
            return value;
        }
        let (min, max) = (*bounds.start(), *bounds.end());
        self.report(format!("{value} is out of range; expected {min} to {max} {unit}"));
        min
    }

    /// Returns the value, and reports an error unless it is an identifier: short, and without characters that
    /// would break a table or a path.
    pub fn identifier(&self, value: &str) -> String {
        let is_allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid = !value.is_empty() && value.len() <= MAX_IDENTIFIER_BYTES && value.chars().all(is_allowed);
        self.require(valid, || {
            let allowed = "letters, digits, '-', '_' or '.'";
            format!("'{value}' is not a valid name; expected 1 to {MAX_IDENTIFIER_BYTES} bytes: {allowed}")
        });
        value.to_owned()
    }

    /// Returns the position of a name in the known names; if it isn't one of them, reports an error and
    /// returns 0. `kind` is the kind of object that the names refer to.
    pub fn position_of(&self, name: &str, known: &[String], kind: &str) -> usize {
        if let Some(position) = known.iter().position(|known_name| known_name == name) {
            return position;
        }
        self.report(format!("unknown {kind} '{name}'; expected one of: {}", known.join(", ")));
        0
    }

    /// Reports each element of a repeated field whose `name` field repeats that of an earlier element.
    pub fn unique_names<'n>(&self, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut positions = HashMap::new();
        for (position, name) in names.enumerate() {
            if let Some(earlier) = positions.insert(name, position) {
                let message = format!("duplicate name '{name}'; {field}[{earlier}] already has it");
                self.element(field, position).field("name").report(message);
            }
        }
    }

    /// Returns the value; if there is none, reports an error and returns the default. `description`
    /// describes the value in the error.
    pub fn required<T: Default>(&self, value: Option<T>, description: impl Display) -> T {
        value.unwrap_or_else(|| {
            self.report(format!("is missing: {description}"));
            T::default()
        })
    }
}
