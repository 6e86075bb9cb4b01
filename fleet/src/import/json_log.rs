//! Reads logs with one JSON object per line.

use super::row::Row;
use super::{ImportError, Importer, RowError};
use otterwinch_traffic_capture::RequestRecord;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Read};

/// A line of this length or more can't be the record of one request; the import ends there.
pub(super) const MAX_LINE_BYTES: u64 = 64 << 10;

impl Row for Value {
    fn value(&self, column: &str) -> Option<String> {
        match self.get(column)? {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }
}

/// Imports all lines of a JSON log except blank ones.
pub(super) fn import_rows<S: FnMut(RequestRecord) -> io::Result<()>>(
    log: impl Read,
    importer: &mut Importer<S>,
) -> Result<(), ImportError> {
    let mut reader = BufReader::new(log);
    let mut text = Vec::new();
    for line in 1.. {
        text.clear();
        let read = (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut text);
        if read.map_err(|source| ImportError::Read { line, source })? == 0 {
            break;
        }
        if text.len() as u64 >= MAX_LINE_BYTES {
            return Err(ImportError::LineTooLong { line });
        }
        if text.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match serde_json::from_slice::<Value>(&text) {
            Ok(value) => importer.import_row(line, &value)?,
            Err(error) => importer.reject(line, RowError::InvalidJson(error)),
        }
    }
    Ok(())
}
