//! Imports captured load from the logs of other programs: CSV and JSON lines.

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

/// Row errors that are kept; further ones are only counted.
const MAX_ROW_ERRORS: usize = 20;
/// Numbers above this, in microseconds, are Unix times: 2001 and later.
const MIN_UNIX_TIME_US: i64 = 1_000_000_000_000_000;

/// The format of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Comma-separated values with a header line.
    Csv,
    /// One JSON object a line.
    JsonLines,
}

/// How times are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeFormat {
    /// A number of seconds.
    Seconds,
    /// A number of milliseconds.
    Millis,
    /// A number of microseconds.
    Micros,
    /// Date and time, such as 2026-06-01T07:30:00.5+01:00.
    Rfc3339,
}

/// Which column or field holds what. Those but `at` and `request_class` may be absent from a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Columns {
    /// The time of the request.
    pub at: String,
    /// The name of its class.
    pub request_class: String,
    /// The name of its client's zone.
    pub zone: String,
    /// Its work in milliseconds on a core of speed 1.
    pub work_ms: String,
    /// Its idempotency key.
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

/// How a log is read.
#[derive(Clone, Debug)]
pub struct ImportOptions<'a> {
    /// The fleet whose request classes and zones the log names.
    pub fleet: &'a Fleet,
    /// The format of the log.
    pub log_format: LogFormat,
    /// How its times are written.
    pub time_format: TimeFormat,
    /// Which column holds what.
    pub columns: Columns,
    /// The fleet's names for names in the log.
    pub aliases: BTreeMap<String, String>,
}

/// What an import came to.
#[derive(Debug, Default)]
pub struct ImportSummary {
    /// Requests that were imported.
    pub requests: u64,
    /// Rows that could not be used.
    pub rejected_rows: u64,
    /// Why, for the first of them.
    pub rejections: Vec<Rejection>,
    /// The Unix time of the first request in milliseconds; 0 where the log has no Unix times.
    pub started_unix_ms: u64,
}

/// A row that could not be used.
#[derive(Debug)]
pub struct Rejection {
    /// The line that it begins on, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub error: RowError,
}

impl fmt::Display for ImportSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns", self.requests)?;
        if self.rejected_rows > 0 {
            write!(f, ", {} rows refused", self.rejected_rows)?;
        }
        Ok(())
    }
}

/// Reads a log, and hands each request to `sink` with its time since the first one. A row that can't be used is
/// rejected by itself; a log that can't be read, and a sink that fails, end the import.
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

/// An import under way.
struct Importer<'a, S> {
    options: &'a ImportOptions<'a>,
    sink: S,
    /// The time of the first request, from which the others count.
    first_at_us: Option<i64>,
    summary: ImportSummary,
}

impl<S: FnMut(RequestRecord) -> io::Result<()>> Importer<'_, S> {
    /// Imports a row, or rejects it.
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
            None => self.begin(row.at_us),
        };
        self.summary.requests += 1;
        let at_us = row.at_us.saturating_sub(first_at_us);
        (self.sink)(RequestRecord { at_us, ..row.record }).map_err(ImportError::Write)
    }

    /// Takes the time of the first request, and returns it.
    fn begin(&mut self, at_us: i64) -> i64 {
        let is_unix_time = self.options.time_format == TimeFormat::Rfc3339 || at_us > MIN_UNIX_TIME_US;
        self.summary.started_unix_ms = if is_unix_time { (at_us / 1000) as u64 } else { 0 };
        self.first_at_us = Some(at_us);
        at_us
    }

    fn reject(&mut self, line: u64, error: RowError) {
        self.summary.rejected_rows += 1;
        if self.summary.rejections.len() < MAX_ROW_ERRORS {
            self.summary.rejections.push(Rejection { line, error });
        }
    }
}
