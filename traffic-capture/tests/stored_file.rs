//! `data/version-1.capture` was written in format version 1. Such files are kept, so they must stay
//! readable, and the same records must still be written as the same bytes.

use otterwinch_traffic_capture::{
    CaptureHeader, CaptureItem, Demand, EndpointOutcomes, LoadReport, Reader, RecordCounts, RequestRecord,
    Writer,
};

const STORED: &[u8] = include_bytes!("data/version-1.capture");

fn header() -> CaptureHeader {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    CaptureHeader {
        request_classes: to_strings(&["quote", "hold"]),
        zones: to_strings(&["north", "south", "west"]),
        started_unix_ms: 1_764_748_800_123,
        source: "fixture".into(),
    }
}

/// Requests without keys or retries, so that these columns are empty; the clock is set back once.
fn first_block() -> Vec<RequestRecord> {
    let request = |at_us, request_class, zone, work_us| RequestRecord {
        at_us,
        request_class,
        zone,
        work_us,
        idempotency_key: None,
        attempt: 0,
    };
    vec![request(-40, 0, 0, Some(0)), request(900, 1, 2, None), request(300, 0, 1, Some(250_000))]
}

fn second_block() -> Vec<RequestRecord> {
    let first = RequestRecord {
        at_us: 5_000_000,
        request_class: 1,
        zone: 1,
        work_us: Some(u64::MAX - 1),
        idempotency_key: Some(0),
        attempt: 0,
    };
    let second = RequestRecord {
        at_us: 5_000_001,
        work_us: Some(7),
        idempotency_key: Some(0x9e37_79b9_7f4a_7c15),
        attempt: 2,
        ..first
    };
    let third = RequestRecord {
        at_us: i64::MAX,
        request_class: 0,
        zone: 2,
        work_us: None,
        idempotency_key: None,
        attempt: 1,
    };
    vec![first, second, third]
}

fn reports() -> Vec<LoadReport> {
    let outcomes = |at_us, interval_us, zone, endpoint: &str| EndpointOutcomes {
        at_us,
        interval_us,
        zone,
        endpoint: endpoint.into(),
        ..EndpointOutcomes::default()
    };
    let first = EndpointOutcomes {
        attempts: 40,
        failures: 3,
        mean_latency_us: 41_700,
        ..outcomes(6_000_000, 1_000_000, 2, "n7")
    };
    let second = EndpointOutcomes { attempts: 1, failures: 1, ..outcomes(6_500_000, 1_000_000, 0, "n8") };
    let third =
        EndpointOutcomes { attempts: 9, mean_latency_us: 12, ..outcomes(7_000_000, 500_000, 2, "n7") };
    let demand =
        Demand { at_us: 7_000_000, interval_us: 1_000_000, proxy: 6, request_class: 1, requests: 19 };
    let no_demand = Demand { at_us: -1, ..Demand::default() };
    vec![
        LoadReport::EndpointOutcomes(first),
        LoadReport::EndpointOutcomes(second),
        LoadReport::EndpointOutcomes(third),
        LoadReport::Demand(demand),
        LoadReport::Demand(no_demand),
    ]
}

#[test]
fn a_file_of_the_first_version_is_read_record_by_record() {
    let mut reader = Reader::open(STORED).unwrap();
    assert_eq!(reader.header(), &header());
    assert_eq!(reader.next(), Some(CaptureItem::Requests(first_block())));
    assert_eq!(reader.next(), Some(CaptureItem::Requests(second_block())));
    assert_eq!(reader.next(), Some(CaptureItem::Reports(reports())));
    assert_eq!(reader.next(), None);
}

#[test]
fn the_same_records_are_written_as_the_same_bytes() {
    let mut bytes = Vec::new();
    let mut writer = Writer::open(&mut bytes, &header(), None).unwrap();
    first_block().into_iter().for_each(|request| writer.write_request(request).unwrap());
    writer.flush().unwrap();
    second_block().into_iter().for_each(|request| writer.write_request(request).unwrap());
    reports().into_iter().for_each(|report| writer.write_report(report).unwrap());
    assert_eq!(writer.finish().unwrap(), RecordCounts { requests: 6, reports: 5 });
    assert_eq!(bytes, STORED);
}
