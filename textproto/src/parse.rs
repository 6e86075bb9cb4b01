//! Parses text in protobuf text format into the generated type of a schema.

use crate::diagnostics::{Diagnostic, Diagnostics};
use crate::locations::FieldLocations;
use crate::tokens::line_at;
use miette::Diagnostic as _;
use prost::Message;
use prost_reflect::{DynamicMessage, MessageDescriptor};
use std::ops::Range;

/// Configuration files are written by hand; a larger file is not one of them and is rejected.
const MAX_FILE_BYTES: usize = 4 << 20;
/// Parsing isn't retried to find further errors once there are this many.
const MAX_DIAGNOSTICS: usize = 64;

/// A configuration file that has been parsed, and the locations of its fields.
#[derive(Clone, Debug, Default)]
pub struct SourceFile {
    /// The name of the file in the errors.
    pub file: String,
    /// The locations of the fields in the file.
    pub locations: FieldLocations,
}

impl SourceFile {
    /// Creates an error about a field in this file.
    pub fn diagnostic(&self, field: &str, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            file: self.file.clone(),
            line: self.locations.line(field),
            field: field.to_owned(),
            message: message.into(),
        }
    }
}

/// Parses a text as one message of a schema whose generated type is `T`. `file` is the file name in the
/// errors. Reports all unknown fields, and values that don't have the type of their field.
pub fn parse<T: Message + Default>(
    file: &str,
    text: &str,
    schema: &MessageDescriptor,
) -> Result<(T, SourceFile), Diagnostics> {
    if text.len() > MAX_FILE_BYTES {
        let message = format!("{} bytes; at most {MAX_FILE_BYTES} are allowed", text.len());
        return Err(Diagnostics::for_file(file, message));
    }
    let source = SourceFile { file: file.to_owned(), locations: FieldLocations::scan(text, schema) };
    let mut remaining = text.to_owned();
    let mut diagnostics = blank_unknown_fields(&source, &mut remaining);
    while diagnostics.len() < MAX_DIAGNOSTICS {
        let error = match DynamicMessage::parse_text_format(schema.clone(), &remaining) {
            Ok(message) if diagnostics.is_empty() => return Ok((transcode(file, &message)?, source)),
            Ok(_) => break,
            Err(error) => error,
        };
        let offset = error.labels().and_then(|mut labels| labels.next()).map(|label| label.offset());
        let offset = offset.unwrap_or(text.len());
        let value = source.locations.value_at(offset);
        diagnostics.push(Diagnostic {
            file: file.to_owned(),
            line: line_at(text, offset),
            field: value.map(|value| value.path.clone()).unwrap_or_default(),
            message: error.to_string(),
        });
        // The parser stops at the first error. Blanking the invalid value lets it find the next one.
        let blanked = value.is_some_and(|value| blank_range(&mut remaining, value.span.clone()));
        if !blanked {
            break;
        }
    }
    diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    Err(Diagnostics(diagnostics))
}

/// Reports each unknown field, and blanks it, so that the parser doesn't stop there.
fn blank_unknown_fields(source: &SourceFile, text: &mut String) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    for unknown in &source.locations.unknown_fields {
        let mut message = format!("unknown field '{}'", unknown.name);
        if let Some(suggestion) = &unknown.suggestion {
            message.push_str(&format!("; did you mean '{suggestion}'?"));
        }
        diagnostics.push(Diagnostic {
            file: source.file.clone(),
            line: unknown.line,
            field: unknown.parent.clone(),
            message,
        });
        blank_range(text, unknown.span.clone());
    }
    diagnostics
}

fn transcode<T: Message + Default>(file: &str, message: &DynamicMessage) -> Result<T, Diagnostics> {
    let transcoded = message.transcode_to::<T>();
    transcoded.map_err(|error| Diagnostics::for_file(file, format!("does not match its schema: {error}")))
}

/// Overwrites a byte range with spaces, keeping line breaks, so that all other bytes keep their offsets and
/// lines. Returns false if the range was blank already.
fn blank_range(text: &mut String, range: Range<usize>) -> bool {
    let original = &text[range.clone()];
    let blanks: String = original.bytes().map(|byte| if byte == b'\n' { '\n' } else { ' ' }).collect();
    let changed = original != blanks;
    text.replace_range(range, &blanks);
    changed
}
