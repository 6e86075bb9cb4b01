//! Imports captured load from logs of other programs, in CSV or JSON Lines format.

mod csv_log;
mod error;
mod json_log;
mod row;

pub use error::{ImportError, RowError};

use crate::model::Fleet;
use otterwinch_traffic_capture::RequestRecord;
use row::{ParsedRow, Row};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};

/// The number of rejected rows that a summary lists; further ones are only counted.
const MAX_REJECTIONS: usize = 20;
/// Times above this number of microseconds are interpreted as Unix times (September 2001 or later).
const MIN_UNIX_TIME_US: i64 = 1_000_000_000_000_000;

/// The format of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Comma-separated values with a header line.
    Csv,
    /// One JSON object per line.
    JsonLines,
}

/// The format of the times in a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeFormat {
    /// A number of seconds.
    Seconds,
    /// A number of milliseconds.
    Millis,
    /// A number of microseconds.
    Micros,
    /// An RFC 3339 date and time, such as 2026-06-01T07:30:00.5+01:00.
    Rfc3339,
}

/// The names of the columns of a CSV log, or of the fields of a JSON log. All except `at` and `request_class`
/// are optional in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Columns {
    /// The time of the request.
    pub at: String,
    /// The name of the request class.
    pub request_class: String,
    /// The name of the client's zone.
    pub zone: String,
    /// The work in milliseconds on a core of speed 1.
    pub work_ms: String,
    /// The idempotency key.
    pub idempotency_key: String,
    /// The number of the client's attempt, from 0.
    pub attempt: String,
}

impl Default for Columns {
    fn default() -> Self {
        Columns {
            at: "at".into(),
            request_class: "product".into(),
            zone: "hall".into(),
            work_ms: "work_ms".into(),
            idempotency_key: "key".into(),
            attempt: "attempt".into(),
        }
    }
}

/// The options of an import.
#[derive(Clone, Debug)]
pub struct ImportOptions<'a> {
    /// The fleet whose request classes and zones the log names.
    pub fleet: &'a Fleet,
    /// The format of the log.
    pub log_format: LogFormat,
    /// The format of its times.
    pub time_format: TimeFormat,
    /// The names of its columns or fields.
    pub columns: Columns,
    /// Maps names of request classes and zones in the log to the fleet's names for them.
    pub aliases: BTreeMap<String, String>,
}

/// The outcome of an import.
#[derive(Debug, Default)]
pub struct ImportSummary {
    /// The number of imported requests.
    pub requests: u64,
    /// The number of rows that were rejected.
    pub rejected_rows: u64,
    /// The first rejected rows; their number is limited.
    pub rejections: Vec<Rejection>,
    /// The Unix time of the first request in milliseconds; 0 where the log has no Unix times.
    pub started_unix_ms: u64,
}

/// A rejected row.
#[derive(Debug)]
pub struct Rejection {
    /// The first line of the row, counted from 1.
    pub line: u64,
    /// The reason.
    pub error: RowError,
}

impl fmt::Display for ImportSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns", self.requests)?;
        if self.rejected_rows > 0 {
            write!(f, ", {} rows rejected", self.rejected_rows)?;
        }
        Ok(())
    }
}

/// Reads a log and passes each request to `sink`, with its time relative to the first request. An invalid row
/// is rejected and the import continues; an unreadable log or an error of the sink ends the import.
pub fn import(
    log: impl Read,
    options: &ImportOptions,
    sink: impl FnMut(RequestRecord) -> io::Result<()>,
) -> Result<ImportSummary, ImportError> {
    let mut importer = Importer { options, sink, first_at_us: None, summary: ImportSummary::default() };
    match options.log_format {
        LogFormat::Csv => csv_log::import_rows(log, &mut importer)?,
        LogFormat::JsonLines => json_log::import_rows(log, &mut importer)?,
    }
    Ok(importer.summary)
}

/// The state of a running import.
struct Importer<'a, S> {
    options: &'a ImportOptions<'a>,
    sink: S,
    /// The time of the first request, to which all times are relative.
    first_at_us: Option<i64>,
    summary: ImportSummary,
}

impl<S: FnMut(RequestRecord) -> io::Result<()>> Importer<'_, S> {
    /// Imports a row, or rejects it if it is invalid.
    fn import_row(&mut self, line: u64, row: &dyn Row) -> Result<(), ImportError> {
        match ParsedRow::parse(row, self.options) {
            Ok(parsed) => self.accept(parsed),
            Err(error) => {
                self.reject(line, error);
                Ok(())
            }
        }
    }

    fn accept(&mut self, row: ParsedRow) -> Result<(), ImportError> {
        let first_at_us = match self.first_at_us {
            Some(first_at_us) => first_at_us,
            None => self.set_first_time(row.at_us),
        };
        self.summary.requests += 1;
        let at_us = row.at_us.saturating_sub(first_at_us);
        (self.sink)(RequestRecord { at_us, ..row.record }).map_err(ImportError::Write)
    }

    /// Stores the time of the first request, and returns it.
    fn set_first_time(&mut self, at_us: i64) -> i64 {
        let is_unix_time = self.options.time_format == TimeFormat::Rfc3339 || at_us > MIN_UNIX_TIME_US;
        self.summary.started_unix_ms = if is_unix_time { (at_us / 1000) as u64 } else { 0 };
        self.first_at_us = Some(at_us);
        at_us
    }

    fn reject(&mut self, line: u64, error: RowError) {
        self.summary.rejected_rows += 1;
        if self.summary.rejections.len() < MAX_REJECTIONS {
            self.summary.rejections.push(Rejection { line, error });
        }
    }
}
