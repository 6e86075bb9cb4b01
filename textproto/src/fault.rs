//! One thing that is amiss in a file, and all of them.

use std::fmt;

/// Where it is, and what it takes to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    /// From 1; 0 where it is the whole file's.
    pub line: usize,
    /// The field by its path, as `group[2].cores`; empty where it is no field's.
    pub field: String,
    /// What is amiss and what is allowed.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.what)
    }
}

/// All faults of a file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// A fault of a whole file: it can't be read, say.
    pub fn whole(file: &str, what: impl fmt::Display) -> Self {
        let (line, field) = (0, String::new());
        Faults(vec![Fault { file: file.to_owned(), line, field, what: what.to_string() }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}
