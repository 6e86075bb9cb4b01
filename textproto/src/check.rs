//! What a package checks its values with, once they are of their types: ranges, names, sums.

use crate::fault::{Fault, Faults};
use crate::text::Source;
use std::cell::RefCell;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// A place in a file, and all faults found in that file so far.
pub struct Checker<'a> {
    source: &'a Source,
    path: String,
    faults: &'a RefCell<Vec<Fault>>,
}

impl<'a> Checker<'a> {
    /// Checks a whole message; what `read` yields is kept only if nothing was amiss.
    pub fn whole<T>(source: &Source, read: impl FnOnce(&Checker) -> T) -> Result<T, Faults> {
        let faults = RefCell::default();
        let value = read(&Checker { source, path: String::new(), faults: &faults });
        let mut faults = faults.into_inner();
        faults.sort_by_key(|fault: &Fault| fault.line);
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(Faults(faults))
        }
    }

    fn step(&self, step: String) -> Checker<'a> {
        let path = if self.path.is_empty() { step } else { format!("{}.{step}", self.path) };
        Checker { source: self.source, path, faults: self.faults }
    }

    /// A field of this message.
    pub fn at(&self, field: &str) -> Checker<'a> {
        self.step(field.to_owned())
    }

    /// One of a repeated field, from 0.
    pub fn nth(&self, field: &str, k: usize) -> Checker<'a> {
        self.step(format!("{field}[{k}]"))
    }

    pub fn fault(&self, what: impl Into<String>) {
        self.faults.borrow_mut().push(self.source.fault(&self.path, what));
    }

    pub fn unless(&self, sound: bool, what: impl FnOnce() -> String) {
        if !sound {
            self.fault(what());
        }
    }

    /// A figure within bounds, or the nearest that is; `unit` says what it counts.
    pub fn within(&self, value: f64, bounds: RangeInclusive<f64>, unit: &str) -> f64 {
        let sound = bounds.contains(&value);
        self.unless(sound, || {
            format!("{value} {unit} is not allowed: {} to {} {unit}", bounds.start(), bounds.end())
        });
        if sound {
            value
        } else {
            *bounds.start()
        }
    }

    /// A whole number within bounds, or the least.
    pub fn count(&self, value: u32, bounds: RangeInclusive<u32>, what: &str) -> u32 {
        self.unless(bounds.contains(&value), || {
            format!("{value} {what} is not allowed: {} to {}", bounds.start(), bounds.end())
        });
        if bounds.contains(&value) {
            value
        } else {
            *bounds.start()
        }
    }

    /// A name: some letters, and none that would break a table or a path.
    pub fn name(&self, value: &str) -> String {
        let fits = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
        self.unless(!value.is_empty() && value.len() <= 64 && value.chars().all(fits), || {
            format!("'{value}' is no name: 1 to 64 letters, digits, '-', '_' or '.'")
        });
        value.to_owned()
    }

    /// The place of a name among those that were given.
    pub fn place(&self, name: &str, known: &[String], what: &str) -> usize {
        known.iter().position(|k| k == name).unwrap_or_else(|| {
            self.fault(format!("there is no {what} '{name}'; there are: {}", known.join(", ")));
            0
        })
    }

    /// Names that may stand once only.
    pub fn unique<'n>(&self, field: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = std::collections::HashMap::new();
        for (k, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, k) {
                self.nth(field, k)
                    .at("name")
                    .fault(format!("'{name}' is the name of {field}[{first}] already"));
            }
        }
    }

    /// What the file must say.
    pub fn needed<T: Default>(&self, value: Option<T>, what: impl Display) -> T {
        value.unwrap_or_else(|| {
            self.fault(format!("is missing: {what}"));
            T::default()
        })
    }
}
