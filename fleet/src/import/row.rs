//! Parses one row of a log.

use super::{ImportOptions, RowError, TimeFormat};
use otterwinch_traffic_capture::RequestRecord;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use xxhash_rust::xxh3::xxh3_64;

const MAX_WORK_MS: f64 = 600_000.0;
const MAX_ATTEMPT: u32 = 1_000;
/// Above about this many microseconds (2^53) an `f64` can't represent every whole number.
const MAX_TIME_US: f64 = 9e15;

/// Access to the values of a row by the names of their columns.
pub(super) trait Row {
    /// The value in a column; `None` where it is absent or empty.
    fn value(&self, column: &str) -> Option<String>;
}

/// A valid row.
pub(super) struct ParsedRow {
    /// The time in microseconds, relative to the epoch of the log.
    pub at_us: i64,
    /// The request, with 0 as its time.
    pub record: RequestRecord,
}

impl ParsedRow {
    pub(super) fn parse(row: &dyn Row, options: &ImportOptions) -> Result<Self, RowError> {
        let columns = &options.columns;
        let at_us = parse_time(&columns.at, required_value(row, &columns.at)?, options.time_format)?;
        let request_class = parse_request_class(row, options)?;
        let zone = parse_zone(row, options)?;
        let work_us = parse_work_us(row, &columns.work_ms)?;
        let attempt = parse_attempt(row, &columns.attempt)?;
        let idempotency_key = row.value(&columns.idempotency_key).map(|key| xxh3_64(key.as_bytes()));
        let record = RequestRecord { at_us: 0, request_class, zone, work_us, idempotency_key, attempt };
        Ok(ParsedRow { at_us, record })
    }
}

fn required_value(row: &dyn Row, column: &str) -> Result<String, RowError> {
    row.value(column).ok_or_else(|| RowError::Missing { column: column.to_owned() })
}

fn parse_request_class(row: &dyn Row, options: &ImportOptions) -> Result<u32, RowError> {
    let name = required_value(row, &options.columns.request_class)?;
    let classes = options.fleet.request_classes.iter();
    let known: Vec<&str> = classes.map(|class| class.name.as_str()).collect();
    position_of(&name, &known, "product", options)
}

/// The index of the zone of a row. If the fleet has only one zone, a log may omit it.
fn parse_zone(row: &dyn Row, options: &ImportOptions) -> Result<u32, RowError> {
    let known: Vec<&str> = options.fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    match row.value(&options.columns.zone) {
        Some(name) => position_of(&name, &known, "hall", options),
        None if known.len() == 1 => Ok(0),
        None => Err(RowError::MissingZone { column: options.columns.zone.clone(), zones: known.len() }),
    }
}

/// The index in `known` of a name, or of the name for which it is an alias.
fn position_of(
    name: &str,
    known: &[&str],
    kind: &'static str,
    options: &ImportOptions,
) -> Result<u32, RowError> {
    let name = options.aliases.get(name).map_or(name, String::as_str);
    match known.iter().position(|known_name| *known_name == name) {
        Some(position) => Ok(position as u32),
        None => Err(RowError::UnknownName { kind, name: name.to_owned(), known: known.join(", ") }),
    }
}

fn parse_work_us(row: &dyn Row, column: &str) -> Result<Option<u64>, RowError> {
    let Some(text) = row.value(column) else { return Ok(None) };
    let Ok(work_ms) = text.parse::<f64>() else {
        return Err(RowError::InvalidWork { column: column.to_owned(), text });
    };
    if !(0.0..=MAX_WORK_MS).contains(&work_ms) {
        return Err(RowError::WorkOutOfRange { column: column.to_owned(), work_ms });
    }
    Ok(Some((work_ms * 1e3).round() as u64))
}

fn parse_attempt(row: &dyn Row, column: &str) -> Result<u32, RowError> {
    let Some(text) = row.value(column) else { return Ok(0) };
    match text.parse::<u32>() {
        Ok(attempt) if attempt <= MAX_ATTEMPT => Ok(attempt),
        _ => Err(RowError::InvalidAttempt { column: column.to_owned(), text }),
    }
}

/// Parses a time, and converts it to microseconds.
fn parse_time(column: &str, text: String, format: TimeFormat) -> Result<i64, RowError> {
    let column = column.to_owned();
    match format {
        TimeFormat::Rfc3339 => parse_rfc3339(&text).ok_or(RowError::InvalidDate { column, text }),
        TimeFormat::Seconds => parse_numeric_time(&text, 1e6).ok_or(RowError::InvalidTime { column, text }),
        TimeFormat::Millis => parse_numeric_time(&text, 1e3).ok_or(RowError::InvalidTime { column, text }),
        TimeFormat::Micros => parse_numeric_time(&text, 1.0).ok_or(RowError::InvalidTime { column, text }),
    }
}

fn parse_rfc3339(text: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000).ok()
}

fn parse_numeric_time(text: &str, micros_per_unit: f64) -> Option<i64> {
    let number: f64 = text.parse().ok()?;
    let micros = number * micros_per_unit;
    let is_in_range = micros.is_finite() && micros.abs() < MAX_TIME_US;
    is_in_range.then_some(micros.round() as i64)
}
