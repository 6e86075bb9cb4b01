//! Reads files that are complete, truncated at any byte, corrupt at any byte, or not captures at all.

use otterwinch_traffic_capture::{
    CaptureHeader, CaptureItem, Corruption, Demand, EndpointOutcomes, LoadReport, Reader, RecordCounts,
    RequestRecord, WriteError, Writer,
};
use proptest::prelude::*;

fn header() -> CaptureHeader {
    let own = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    CaptureHeader {
        request_classes: own(&["quote", "hold"]),
        zones: own(&["a", "b", "c"]),
        started_unix_ms: 7,
        source: "t".into(),
    }
}

fn request(k: u64) -> RequestRecord {
    RequestRecord {
        at_us: k as i64 * 900 - 40,
        request_class: (k % 2) as u32,
        zone: (k % 3) as u32,
        work_us: (!k.is_multiple_of(5)).then_some(100_000 + k * 7),
        idempotency_key: k.is_multiple_of(4).then_some(k.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        attempt: u32::from(k.is_multiple_of(11)),
    }
}

fn reports() -> Vec<LoadReport> {
    let outcomes = EndpointOutcomes {
        at_us: 9,
        interval_us: 1_000_000,
        zone: 2,
        endpoint: "n7".into(),
        attempts: 40,
        failures: 3,
        mean_latency_us: 41_700,
    };
    let demand = Demand { at_us: 11, interval_us: 1_000_000, proxy: 6, request_class: 1, requests: 19 };
    vec![LoadReport::EndpointOutcomes(outcomes), LoadReport::Demand(demand)]
}

/// A file with the given number of requests, in blocks of 4,096, and the load reports.
fn file(requests: u64) -> Vec<u8> {
    let mut file = Vec::new();
    let mut writer = Writer::open(&mut file, &header(), None).unwrap();
    (0..requests).for_each(|k| writer.write_request(request(k)).unwrap());
    reports().into_iter().for_each(|report| writer.write_report(report).unwrap());
    assert_eq!(writer.finish().unwrap(), RecordCounts { requests, reports: 2 });
    file
}

/// Everything that a reader yields for a file.
#[derive(Default)]
struct Contents {
    requests: Vec<RequestRecord>,
    reports: Vec<LoadReport>,
    corruptions: Vec<Corruption>,
}

fn read(bytes: &[u8]) -> Contents {
    let mut contents = Contents::default();
    for item in Reader::open(bytes).unwrap() {
        match item {
            CaptureItem::Requests(more) => contents.requests.extend(more),
            CaptureItem::Reports(more) => contents.reports.extend(more),
            CaptureItem::Corruption(corruption) => contents.corruptions.push(corruption),
        }
    }
    contents
}

#[test]
fn what_was_written_is_read() {
    let Contents { requests, reports: read_reports, corruptions } = read(&file(10_000));
    assert_eq!(requests, (0..10_000).map(request).collect::<Vec<_>>());
    assert_eq!((read_reports, corruptions), (reports(), vec![]));
}

#[test]
fn a_file_truncated_anywhere_reads_to_its_last_complete_block_and_says_so() {
    let complete = file(9_000);
    let records_len = complete.len() - file(0).len();
    assert!(records_len > 1_000);
    let first = (0..complete.len()).find(|to| Reader::open(&complete[..*to]).is_ok()).unwrap();
    for to in (first..complete.len()).step_by(97) {
        let Contents { requests, corruptions, .. } = read(&complete[..to]);
        assert!([0, 4_096, 8_192, 9_000].contains(&requests.len()), "{} at {to}", requests.len());
        assert_eq!(requests, (0..requests.len() as u64).map(request).collect::<Vec<_>>());
        let truncated =
            matches!(corruptions[..], [Corruption::TruncatedBlock { .. } | Corruption::MissingEnd { .. }]);
        assert!(truncated, "{corruptions:?} at {to}");
    }
    assert!((0..first).all(|to| Reader::open(&complete[..to]).is_err()));
}

#[test]
fn a_corrupt_block_is_reported_and_costs_nothing_but_itself() {
    let mut bytes = file(12_288);
    // Within the second of three blocks of requests.
    let at = bytes.len() / 2;
    bytes[at] ^= 0x40;
    let Contents { requests, reports, corruptions } = read(&bytes);
    assert_eq!((requests.len(), reports.len()), (8_192, 2));
    let first = &corruptions[0];
    assert!(
        matches!(first, Corruption::CorruptBlock { source, .. } if source.to_string().contains("checksum")),
        "{corruptions:?}"
    );
    let read = RecordCounts { requests: 8_192, reports: 2 };
    let expected = RecordCounts { requests: 12_288, reports: 2 };
    assert_eq!(corruptions[1], Corruption::CountMismatch { read, expected });
}

#[test]
fn bytes_that_are_no_block_are_skipped_up_to_the_next() {
    let complete = file(4_096);
    let without_requests = file(0);
    // The files differ from the first block of requests on. Its sync marker precedes the first difference.
    let at = complete.iter().zip(&without_requests).position(|(a, b)| a != b).unwrap();
    let block = at - complete[..at].windows(4).rev().position(|w| w == [0xb7, 0x4f, 0x57, 0x0d]).unwrap() - 4;
    let mut bytes = complete[..block].to_vec();
    bytes.extend(std::iter::repeat_n(0xb7, 70_000));
    bytes.extend(&complete[block..]);
    let Contents { requests, corruptions, .. } = read(&bytes);
    assert_eq!(requests.len(), 4_096);
    assert_eq!(corruptions, [Corruption::UnknownBytes { offset: block as u64, length: 70_000 }]);
}

#[test]
fn a_file_that_reaches_its_largest_size_is_complete() {
    let mut bytes = Vec::new();
    let mut writer = Writer::open(&mut bytes, &header(), Some(20_000)).unwrap();
    let full = (0..200_000).find(|k| match writer.write_request(request(*k)) {
        Ok(()) => false,
        Err(WriteError::SizeLimitReached) => true,
        Err(WriteError::Io(error)) => panic!("{error}"),
    });
    assert!(full.is_some());
    let written = writer.finish().unwrap();
    assert!(bytes.len() <= 20_000);
    let Contents { requests, corruptions, .. } = read(&bytes);
    assert_eq!((requests.len() as u64, corruptions), (written.requests, vec![]));
}

#[test]
fn foreign_and_newer_files_are_told_apart() {
    let refused = |bytes: &[u8]| Reader::open(bytes).err().unwrap().to_string();
    assert_eq!(
        refused(b"at,product\n1,quote\n"),
        "not a traffic capture: expected a file that starts with OTWLOAD1"
    );
    assert_eq!(
        refused(b"OTWLOAD2xxxxxxxxxxxxxxxxxxxxxxxxxxx"),
        "the traffic capture has a newer format version than this program supports"
    );
    assert!(refused(b"").starts_with("not a traffic capture"));
}

proptest! {
    /// Whatever bytes follow a valid file header, reading terminates, doesn't panic and yields no request
    /// twice.
    #[test]
    fn any_bytes_are_read_to_their_end(
        noise in prop::collection::vec(any::<u8>(), 0..400),
        flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let mut bytes = file(5_000);
        let opening = 90;
        for (at, with) in flips {
            let at = opening + at.index(bytes.len() - opening);
            bytes[at] ^= with;
        }
        bytes.extend(noise);
        if let Ok(reader) = Reader::open(bytes.as_slice()) {
            let mut read = 0;
            for item in reader {
                if let CaptureItem::Requests(requests) = item {
                    read += requests.len();
                }
            }
            prop_assert!(read <= 5_000);
        }
    }
}
