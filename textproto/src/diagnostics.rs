//! The errors found in a configuration file.

use std::fmt;

/// An error, its location in the file, and the valid values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The name of the file in which the error is.
    pub file: String,
    /// The line number, from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// The path of the field, such as `group[2].cores`; empty if the error concerns the whole file.
    pub field: String,
    /// The description of the error, with the valid values.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// The errors found in a file, sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// A single error that concerns the whole file, for example that it can't be opened.
    pub fn for_file(file: &str, message: impl fmt::Display) -> Self {
        Diagnostics(vec![Diagnostic {
            file: file.to_owned(),
            line: 0,
            field: String::new(),
            message: message.to_string(),
        }])
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Diagnostics {}
