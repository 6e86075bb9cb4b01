//! Captured load out of other programs' logs: CSV and JSON lines.

use crate::model::Fleet;
use otterwinch_traffic_capture::RequestRecord;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, BufReader, Read};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use xxhash_rust::xxh3::xxh3_64;

/// A line beyond this is no record of a txn.
const LONGEST_LINE: u64 = 64 << 10;
/// Diagnostics that are told; the rest is counted.
const TOLD: usize = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Csv,
    JsonLines,
}

/// How times are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Seconds,
    Millis,
    Micros,
    /// Date and time, as 2026-06-01T07:30:00.5+01:00.
    Rfc3339,
}

/// Which column or field holds what; an optional one that a file lacks is unknown for all its txns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Columns {
    pub at: String,
    pub product: String,
    pub hall: String,
    /// Milliseconds of work on a core of speed 1.
    pub work_ms: String,
    pub key: String,
    pub attempt: String,
}

impl Default for Columns {
    fn default() -> Self {
        let [at, product, hall, work_ms, key, attempt] =
            ["at", "product", "hall", "work_ms", "key", "attempt"].map(str::to_owned);
        Columns { at, product, hall, work_ms, key, attempt }
    }
}

/// What a row holds under a name.
type Field<'f> = &'f dyn Fn(&str) -> Option<String>;

/// How a log is read.
#[derive(Clone, Debug)]
pub struct Reading<'a> {
    pub fleet: &'a Fleet,
    pub form: Form,
    pub unit: Unit,
    pub columns: Columns,
    /// Names in the log for the fleet's products and halls.
    pub also: BTreeMap<String, String>,
}

/// What an import came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Imported {
    pub txns: u64,
    /// Rows that could not be used.
    pub refused: u64,
    /// Why, for the first of them: line and fault.
    pub faults: Vec<(u64, String)>,
    /// Unix time of the first txn in milliseconds, where times are of the clock.
    pub began_unix_ms: u64,
}

impl fmt::Display for Imported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns", self.txns)?;
        if self.refused > 0 {
            write!(f, ", {} rows refused", self.refused)?;
        }
        Ok(())
    }
}

/// Reads a log and hands on each txn, with its time from the first one's. Fails where the log can't be read at all; a row
/// that can't be used is refused by itself.
pub fn import(
    from: impl Read,
    reading: &Reading,
    mut take: impl FnMut(RequestRecord) -> std::io::Result<()>,
) -> Result<Imported, String> {
    let mut imported = Imported::default();
    let mut first = None;
    let mut row = |line: u64, fields: Result<Field, String>| -> Result<(), String> {
        match fields.and_then(|fields| one(fields, reading)) {
            Ok((at_us, txn)) => {
                let first = *first.get_or_insert_with(|| {
                    let of_the_clock = reading.unit == Unit::Rfc3339 || at_us > 1_000_000_000_000_000;
                    imported.began_unix_ms = if of_the_clock { (at_us / 1000) as u64 } else { 0 };
                    at_us
                });
                imported.txns += 1;
                take(RequestRecord { at_us: at_us.saturating_sub(first), ..txn })
                    .map_err(|e| format!("it can't be written: {e}"))
            }
            Err(fault) => {
                imported.refused += 1;
                if imported.faults.len() < TOLD {
                    imported.faults.push((line, fault));
                }
                Ok(())
            }
        }
    };
    match reading.form {
        Form::Csv => {
            let mut rows = csv::ReaderBuilder::new().trim(csv::Trim::All).flexible(true).from_reader(from);
            let heads = rows.headers().map_err(|e| format!("its first line is no CSV: {e}"))?.clone();
            for needed in [&reading.columns.at, &reading.columns.product] {
                if !heads.iter().any(|head| head == needed) {
                    let there = heads.iter().collect::<Vec<_>>().join(", ");
                    return Err(format!("its first line names no column '{needed}'; there are: {there}"));
                }
            }
            let place: BTreeMap<&str, usize> = heads.iter().enumerate().map(|(k, head)| (head, k)).collect();
            let mut record = csv::StringRecord::new();
            loop {
                match rows.read_record(&mut record) {
                    Ok(false) => break,
                    Ok(true) => {
                        let line = record.position().map_or(0, csv::Position::line);
                        let field = |name: &str| {
                            let cell = record.get(*place.get(name)?)?;
                            (!cell.is_empty()).then(|| cell.to_owned())
                        };
                        row(line, Ok(&field))?;
                    }
                    Err(e) => {
                        return Err(format!("line {}: {e}", e.position().map_or(0, csv::Position::line)))
                    }
                }
            }
        }
        Form::JsonLines => {
            let mut lines = BufReader::new(from);
            let (mut line, mut number) = (Vec::new(), 0);
            loop {
                line.clear();
                number += 1;
                let read = (&mut lines).take(LONGEST_LINE).read_until(b'\n', &mut line);
                if read.map_err(|e| format!("line {number}: {e}"))? == 0 {
                    break;
                }
                if line.len() as u64 >= LONGEST_LINE {
                    return Err(format!("line {number} is longer than {LONGEST_LINE} bytes"));
                }
                if line.iter().all(u8::is_ascii_whitespace) {
                    continue;
                }
                let value: Value = match serde_json::from_slice(&line) {
                    Ok(value) => value,
                    Err(e) => {
                        row(number, Err(format!("it is not JSON: {e}")))?;
                        continue;
                    }
                };
                let field = |name: &str| match value.get(name)? {
                    Value::Null => None,
                    Value::String(text) => Some(text.clone()),
                    other => Some(other.to_string()),
                };
                row(number, Ok(&field))?;
            }
        }
    }
    Ok(imported)
}

/// One row: its time in microseconds, and the rest.
fn one(field: Field, reading: &Reading) -> Result<(i64, RequestRecord), String> {
    let columns = &reading.columns;
    let needed = |name: &str| field(name).ok_or_else(|| format!("'{name}' is missing"));
    let at = needed(&columns.at)?;
    let at_us = when(&at, reading.unit).ok_or_else(|| match reading.unit {
        Unit::Rfc3339 => format!("'{}' is no date and time as 2026-06-01T07:30:00Z: '{at}'", columns.at),
        _ => format!("'{}' is no time: '{at}'", columns.at),
    })?;
    let known = |name: String, names: Vec<&str>, what: &str| {
        let name = reading.also.get(&name).unwrap_or(&name);
        names.iter().position(|known| *known == name).map(|k| k as u32).ok_or_else(|| {
            format!("the fleet has no {what} '{name}' (it has {}); name it with --as", names.join(", "))
        })
    };
    let products = reading.fleet.request_classes.iter().map(|p| p.name.as_str()).collect();
    let product = known(needed(&columns.product)?, products, "product")?;
    // A log of one hall need not say so in each line.
    let halls: Vec<&str> = reading.fleet.zones.iter().map(|h| h.name.as_str()).collect();
    let hall = match field(&columns.hall) {
        Some(name) => known(name, halls, "hall")?,
        None if halls.len() == 1 => 0,
        None => {
            return Err(format!("'{}' is missing, and the fleet has {} halls", columns.hall, halls.len()))
        }
    };
    let work_us = match field(&columns.work_ms) {
        None => None,
        Some(text) => {
            let work: f64 =
                text.parse().map_err(|_| format!("'{}' is no number: '{text}'", columns.work_ms))?;
            if !(0.0..=600_000.0).contains(&work) {
                return Err(format!("'{}' is {work}: 0 to 600,000 ms of work are allowed", columns.work_ms));
            }
            Some((work * 1e3).round() as u64)
        }
    };
    let attempt = match field(&columns.attempt) {
        None => 0,
        Some(text) => text
            .parse()
            .ok()
            .filter(|n| *n <= 1_000)
            .ok_or_else(|| format!("'{}' is no number of tries: '{text}'", columns.attempt))?,
    };
    let key = field(&columns.key).map(|key| xxh3_64(key.as_bytes()));
    Ok((
        at_us,
        RequestRecord {
            at_us: 0,
            request_class: product,
            zone: hall,
            work_us,
            idempotency_key: key,
            attempt,
        },
    ))
}

fn when(text: &str, unit: Unit) -> Option<i64> {
    let scale = match unit {
        Unit::Rfc3339 => {
            let moment = OffsetDateTime::parse(text, &Rfc3339).ok()?;
            return i64::try_from(moment.unix_timestamp_nanos() / 1_000).ok();
        }
        Unit::Seconds => 1e6,
        Unit::Millis => 1e3,
        Unit::Micros => 1.0,
    };
    let number: f64 = text.parse().ok()?;
    let us = number * scale;
    // Beyond this a double holds no whole microsecond.
    (us.is_finite() && us.abs() < 9e15).then_some(us.round() as i64)
}
