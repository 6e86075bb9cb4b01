//! Why a log or a row of it can't be imported.

use super::json_log::MAX_LINE_BYTES;
use std::io;

/// Why an import ended.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The header line is not CSV.
    #[error("its first line is no CSV: {0}")]
    InvalidHeader(#[source] csv::Error),
    /// The header line lacks a required column.
    #[error("its first line names no column '{column}'; there are: {present}")]
    MissingColumn {
        /// The required column.
        column: String,
        /// The columns that there are.
        present: String,
    },
    /// A row is not CSV, or can't be read.
    #[error("line {line}: {source}")]
    InvalidCsv {
        /// The line that the row begins on, from 1.
        line: u64,
        /// What is wrong.
        source: csv::Error,
    },
    /// A line can't be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, from 1.
        line: u64,
        /// Why.
        source: io::Error,
    },
    /// A line is too long for a record of a request.
    #[error("line {line} is longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong {
        /// The line, from 1.
        line: u64,
    },
    /// The sink failed.
    #[error("it can't be written: {0}")]
    Write(#[source] io::Error),
}

/// Why a row can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// It is not a JSON value.
    #[error("it is not JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// A required value is missing.
    #[error("'{column}' is missing")]
    Missing {
        /// The column that should hold it.
        column: String,
    },
    /// The zone is missing, and the fleet has several.
    #[error("'{column}' is missing, and the fleet has {zones} halls")]
    MissingZone {
        /// The column that should hold it.
        column: String,
        /// The number of the fleet's zones.
        zones: usize,
    },
    /// The time is not an RFC 3339 date and time.
    #[error("'{column}' is no date and time as 2026-06-01T07:30:00Z: '{text}'")]
    InvalidDate {
        /// The column that holds it.
        column: String,
        /// What it holds.
        text: String,
    },
    /// The time is not a number, or too large.
    #[error("'{column}' is no time: '{text}'")]
    InvalidTime {
        /// The column that holds it.
        column: String,
        /// What it holds.
        text: String,
    },
    /// The fleet has no request class or zone of this name.
    #[error("the fleet has no {what} '{name}' (it has {known}); name it with --as")]
    UnknownName {
        /// What the name stands for.
        what: &'static str,
        /// The name, after aliases.
        name: String,
        /// The names that there are.
        known: String,
    },
    /// The work is not a number.
    #[error("'{column}' is no number: '{text}'")]
    InvalidWork {
        /// The column that holds it.
        column: String,
        /// What it holds.
        text: String,
    },
    /// The work is negative or too large.
    #[error("'{column}' is {work_ms}: 0 to 600,000 ms of work are allowed")]
    WorkOutOfRange {
        /// The column that holds it.
        column: String,
        /// What it holds.
        work_ms: f64,
    },
    /// The attempt is not a number, or too large.
    #[error("'{column}' is no number of tries: '{text}'")]
    InvalidAttempt {
        /// The column that holds it.
        column: String,
        /// What it holds.
        text: String,
    },
}
