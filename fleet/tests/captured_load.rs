//! Captured load that is prepared for a fleet.

mod common;

use common::small_fleet;
use otterwinch_fleet::{CapturedLoad, LoadSummary, ScheduledRequest};
use otterwinch_traffic_capture::{CaptureHeader, Demand, LoadReport, RequestRecord, Writer};
use std::collections::BTreeMap;

fn capture(header: &CaptureHeader, requests: &[RequestRecord], reports: &[LoadReport]) -> Vec<u8> {
    let mut file = Vec::new();
    let mut writer = Writer::open(&mut file, header, None).unwrap();
    for request in requests {
        writer.write_request(*request).unwrap();
    }
    for report in reports {
        writer.write_report(report.clone()).unwrap();
    }
    writer.finish().unwrap();
    file
}

fn header(classes: &[&str], zones: &[&str]) -> CaptureHeader {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    CaptureHeader {
        request_classes: to_strings(classes),
        zones: to_strings(zones),
        ..CaptureHeader::default()
    }
}

fn request(at_seconds: f64, request_class: u32) -> RequestRecord {
    RequestRecord {
        at_us: (at_seconds * 1e6) as i64,
        request_class,
        work_us: Some(100_000),
        ..RequestRecord::default()
    }
}

#[test]
fn gaps_clock_steps_unknown_classes_and_retries_are_found() {
    let fleet = small_fleet();
    let mut records: Vec<RequestRecord> = (0..400).map(|k| request(f64::from(k) * 0.01, 0)).collect();
    // One record is written late, then follows a gap of 30 s, and then the clock is set back to 0.
    records.push(request(3.5, 0));
    records.extend((0..200).map(|k| request(34.0 + f64::from(k) * 0.01, 1)));
    records.extend((0..200).map(|k| request(f64::from(k) * 0.01, 0)));
    records.push(RequestRecord { attempt: 1, ..request(3.0, 0) });
    records.push(RequestRecord { work_us: None, ..request(3.0, 0) });
    let file = capture(&header(&["seat-hold", "parcel"], &["west"]), &records, &[]);
    let mut load = CapturedLoad::open(file.as_slice(), &fleet, 1).unwrap();
    let requests: Vec<ScheduledRequest> = load.by_ref().collect();
    assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(requests
        .iter()
        .all(|request| request.request_class == 1 && request.zone == 1 && request.work > 0.0));
    let findings = load.findings();
    assert_eq!(
        (findings.requests, findings.retries, findings.sampled_work, findings.reordered),
        (602, 1, 1, 1)
    );
    assert_eq!(findings.unknown_names, BTreeMap::from([("parcel".to_owned(), 200)]));
    assert_eq!((findings.clock_steps.len(), findings.gaps.len()), (1, 1), "{findings}");
    let text = findings.to_string();
    for what in
        ["200 of 'parcel'", "the clock was set back by", "no requests from 4.0 to 3", "1 retries left out"]
    {
        assert!(text.contains(what), "{what} in {text}");
    }
}

#[test]
fn a_capture_of_unknown_classes_is_refused() {
    let file = capture(&header(&["parcel"], &["east"]), &[], &[]);
    let error = CapturedLoad::open(file.as_slice(), &small_fleet(), 1).err().unwrap();
    assert_eq!(error.to_string(), "no product of this load (parcel) is in the fleet; their names must match");
}

#[test]
fn reports_become_requests_in_their_interval_and_the_zone_of_the_proxy() {
    let fleet = small_fleet();
    // Proxies 0 and 1 are in zone east, 2 and 3 in zone west.
    let demand = |proxy, at_us| {
        LoadReport::Demand(Demand { at_us, interval_us: 1_000_000, proxy, request_class: 0, requests: 20 })
    };
    let reports = [demand(0, 1_000_000), demand(3, 1_000_000), demand(3, 2_000_000)];
    let file = capture(&header(&["fare-quote"], &["east", "west"]), &[], &reports);
    let mut load = CapturedLoad::open(file.as_slice(), &fleet, 1).unwrap();
    let mut summary = LoadSummary::new(&fleet);
    for request in load.by_ref() {
        summary.add(&request);
    }
    assert_eq!((summary.requests_by_zone.clone(), load.findings().spread_from_reports), (vec![20, 40], 60));
    assert!(summary.peak_requests_second.requests >= 40 && summary.last_request_at < 2.0);
}
