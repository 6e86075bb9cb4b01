//! Import of logs of other programs.

mod common;

use common::small_fleet;
use otterwinch_fleet::import::{import, Columns, ImportOptions, LogFormat, TimeFormat};
use otterwinch_fleet::Fleet;
use std::collections::BTreeMap;

fn options(fleet: &Fleet, log_format: LogFormat, time_format: TimeFormat) -> ImportOptions<'_> {
    ImportOptions { fleet, log_format, time_format, columns: Columns::default(), aliases: BTreeMap::new() }
}

#[test]
fn a_csv_log_is_imported_and_its_unusable_rows_are_rejected() {
    let fleet = small_fleet();
    let log = "at,product,hall,work_ms,key\n10.5,fare-quote,east,140,A1\n10.6,parcel,east,,\n\
               x,fare-quote,east,,\n11.0,seat-hold,west,,A1\n12,seat-hold,north,1,\n13,seat-hold,west,-4,";
    let mut records = Vec::new();
    let summary = import(log.as_bytes(), &options(&fleet, LogFormat::Csv, TimeFormat::Seconds), |record| {
        records.push(record);
        Ok(())
    })
    .unwrap();
    assert_eq!((summary.requests, summary.rejected_rows), (2, 4));
    assert_eq!((records[0].at_us, records[0].work_us), (0, Some(140_000)));
    assert_eq!((records[1].at_us, records[1].zone, records[1].work_us), (500_000, 1, None));
    assert_eq!(records[0].idempotency_key, records[1].idempotency_key);
    let lines: Vec<u64> = summary.rejections.iter().map(|rejection| rejection.line).collect();
    assert_eq!(lines, [3, 4, 6, 7]);
    let error = summary.rejections[0].error.to_string();
    assert!(error.contains("the fleet has no product 'parcel'"), "{error}");
}

#[test]
fn json_lines_with_dates_and_aliases_are_imported() {
    let fleet = small_fleet();
    let log = "{\"ts\":\"2026-06-01T07:30:00Z\",\"product\":\"quote\",\"hall\":\"east\"}\n\n{oops\n\
               {\"ts\":\"2026-06-01T08:30:01.5+01:00\",\"product\":\"seat-hold\",\"hall\":\"west\",\"attempt\":2}";
    let mut options = options(&fleet, LogFormat::JsonLines, TimeFormat::Rfc3339);
    options.columns.at = "ts".into();
    options.aliases.insert("quote".into(), "fare-quote".into());
    let mut records = Vec::new();
    let summary = import(log.as_bytes(), &options, |record| {
        records.push(record);
        Ok(())
    })
    .unwrap();
    assert_eq!((summary.requests, summary.rejected_rows, summary.rejections[0].line), (2, 1, 3));
    assert_eq!((records[1].at_us, records[1].attempt), (1_500_000, 2));
    assert_eq!(summary.started_unix_ms, 1_780_299_000_000);
}

#[test]
fn a_log_without_a_required_column_is_refused() {
    let fleet = small_fleet();
    let log = "when,product\n1,fare-quote";
    let error = import(log.as_bytes(), &options(&fleet, LogFormat::Csv, TimeFormat::Seconds), |_| Ok(()))
        .unwrap_err();
    assert_eq!(error.to_string(), "the header line has no column 'at'; it has: when, product");
}
