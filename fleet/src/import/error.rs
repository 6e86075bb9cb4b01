//! Errors of an import, and of single rows of a log.

use super::json_log::MAX_LINE_BYTES;
use std::io;

/// An error that ends an import.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// The header line is not valid CSV.
    #[error("the header line is not valid CSV: {0}")]
    InvalidHeader(#[source] csv::Error),
    /// The header line lacks a required column.
    #[error("the header line has no column '{column}'; it has: {available}")]
    MissingColumn {
        /// The required column.
        column: String,
        /// The columns of the header line.
        available: String,
    },
    /// A row is not valid CSV, or could not be read.
    #[error("line {line}: {source}")]
    InvalidCsv {
        /// The first line of the row, counted from 1.
        line: u64,
        /// The error of the CSV reader.
        source: csv::Error,
    },
    /// A line could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, counted from 1.
        line: u64,
        /// The error of the reader.
        source: io::Error,
    },
    /// A line of a JSON log has 64 KiB or more, with its line break.
    #[error("line {line} has {MAX_LINE_BYTES} bytes or more: it is too long for a request")]
    LineTooLong {
        /// The line, counted from 1.
        line: u64,
    },
    /// The sink failed to accept a request.
    #[error("can't write an imported request: {0}")]
    Write(#[source] io::Error),
}

/// The reason why a row is rejected.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The line is not a JSON value.
    #[error("the line is not valid JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
    /// A required value is missing.
    #[error("'{column}' is missing")]
    Missing {
        /// The column that should contain it.
        column: String,
    },
    /// The zone is missing, and the fleet has more than one.
    #[error("'{column}' is missing; it is required because the fleet has {zones} halls")]
    MissingZone {
        /// The column that should contain it.
        column: String,
        /// The number of zones of the fleet.
        zones: usize,
    },
    /// The time is not an RFC 3339 date and time.
    #[error("'{column}' must be an RFC 3339 date and time such as 2026-06-01T07:30:00Z, not '{text}'")]
    InvalidDate {
        /// The column that contains it.
        column: String,
        /// The value of the column.
        text: String,
    },
    /// The time is not a number, or is out of range.
    #[error("'{column}' is not a number, or is out of range for a time: '{text}'")]
    InvalidTime {
        /// The column that contains it.
        column: String,
        /// The value of the column.
        text: String,
    },
    /// The fleet has no request class or zone of this name.
    #[error("the fleet has no {kind} '{name}'; it has: {known}; map the name with --as")]
    UnknownName {
        /// The kind of object that the name denotes, in the terms of the schema: `product` or `hall`.
        kind: &'static str,
        /// The name, with aliases resolved.
        name: String,
        /// The names that the fleet has.
        known: String,
    },
    /// The work is not a number.
    #[error("'{column}' must be a number of milliseconds, not '{text}'")]
    InvalidWork {
        /// The column that contains it.
        column: String,
        /// The value of the column.
        text: String,
    },
    /// The work is negative or too large.
    #[error("'{column}' must be 0 to 600,000 ms of work, not {work_ms}")]
    WorkOutOfRange {
        /// The column that contains it.
        column: String,
        /// The value of the column.
        work_ms: f64,
    },
    /// The attempt is not a whole number, or is too large.
    #[error("'{column}' must be the number of an attempt, 0 to 1,000, not '{text}'")]
    InvalidAttempt {
        /// The column that contains it.
        column: String,
        /// The value of the column.
        text: String,
    },
}
