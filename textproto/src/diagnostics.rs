//! The errors of a file.

use std::fmt;

/// One error: where it is, and what it takes to correct it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The name of the file.
    pub file: String,
    /// The line, from 1; 0 for an error of the whole file.
    pub line: usize,
    /// The path of the field, such as `group[2].cores`; empty for an error of the whole file.
    pub field: String,
    /// What is wrong and what is allowed.
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

/// All errors of a file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// A single error of a whole file, which can't be opened, for example.
    pub fn of_file(file: &str, message: impl fmt::Display) -> Self {
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
