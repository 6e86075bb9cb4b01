//! One file: its text read by a schema into a message of that schema's generated type.

use crate::fault::{Fault, Faults};
use crate::places::{line_of, Places};
use miette::Diagnostic;
use prost::Message;
use prost_reflect::{DynamicMessage, MessageDescriptor};
use std::ops::Range;

/// A settings file is typed by a person; one beyond this is something else.
const MOST_BYTES: usize = 4 << 20;
/// Faults of values that one look names; a file with more is no settings file.
const MOST_FAULTS: usize = 64;

/// A text that was read, with the places of its fields.
#[derive(Clone, Debug, Default)]
pub struct Source {
    pub file: String,
    pub places: Places,
}

impl Source {
    pub fn fault(&self, field: &str, what: impl Into<String>) -> Fault {
        let line = self.places.line(field);
        Fault { file: self.file.clone(), line, field: field.to_owned(), what: what.into() }
    }
}

/// Reads a text as one message of `kind`, whose generated type is `T`. Fails with every unknown field, or where
/// there is none, with every value that is not of its field's type.
pub fn read<T: Message + Default>(
    file: &str,
    text: &str,
    kind: &MessageDescriptor,
) -> Result<(T, Source), Faults> {
    if text.len() > MOST_BYTES {
        return Err(Faults::whole(
            file,
            format!("{} bytes; a settings file has at most {MOST_BYTES}", text.len()),
        ));
    }
    let places = Places::find(text, kind);
    let source = Source { file: file.to_owned(), places };
    let mut faults: Vec<Fault> = Vec::new();
    let mut rest = text.to_owned();
    for unknown in &source.places.unknown {
        let meant =
            unknown.meant.as_ref().map(|meant| format!("; did you mean '{meant}'?")).unwrap_or_default();
        let what = format!("there is no field '{}' here{meant}", unknown.name);
        let (line, field) = (unknown.line, unknown.within.clone());
        faults.push(Fault { file: file.to_owned(), line, field, what });
        blank(&mut rest, unknown.bytes.clone());
    }
    while faults.len() < MOST_FAULTS {
        let error = match DynamicMessage::parse_text_format(kind.clone(), &rest) {
            Ok(message) if faults.is_empty() => {
                let message = message.transcode_to::<T>();
                let message = message.map_err(|e| Faults::whole(file, format!("not of its schema: {e}")))?;
                return Ok((message, source));
            }
            Ok(_) => break,
            Err(error) => error,
        };
        let at = error.labels().and_then(|mut labels| labels.next()).map(|label| label.offset());
        let at = at.unwrap_or(text.len());
        let leaf = source.places.leaves.iter().find(|(_, bytes)| bytes.contains(&at));
        let (field, line) = (leaf.map(|leaf| leaf.0.clone()).unwrap_or_default(), line_of(text, at));
        faults.push(Fault { file: file.to_owned(), line, field, what: error.to_string() });
        // One bad value does not hide the next: it is blanked, and the rest read again.
        let blanked = leaf.is_some_and(|(_, bytes)| blank(&mut rest, bytes.clone()));
        if !blanked {
            break;
        }
    }
    faults.sort_by_key(|fault| fault.line);
    Err(Faults(faults))
}

/// Makes blanks of some bytes, so that all others keep their places; false where they were blank already.
fn blank(text: &mut String, bytes: Range<usize>) -> bool {
    let had = &text[bytes.clone()];
    let blanks: String = had.bytes().map(|b| if b == b'\n' { '\n' } else { ' ' }).collect();
    let changes = had != blanks;
    text.replace_range(bytes, &blanks);
    changes
}
