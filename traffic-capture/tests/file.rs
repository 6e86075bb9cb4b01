//! Reads complete, truncated and corrupt files, and files that are not traffic captures.

use otterwinch_traffic_capture::{
    CaptureHeader, CaptureItem, Corruption, Demand, EndpointOutcomes, LoadReport, Reader, RecordCounts,
    RequestRecord, WriteError, Writer,
};
use proptest::prelude::*;

fn header() -> CaptureHeader {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    CaptureHeader {
        request_classes: to_strings(&["quote", "hold"]),
        zones: to_strings(&["a", "b", "c"]),
        started_unix_ms: 7,
        source: "t".into(),
    }
}

fn request(index: u64) -> RequestRecord {
    RequestRecord {
        at_us: index as i64 * 900 - 40,
        request_class: (index % 2) as u32,
        zone: (index % 3) as u32,
        work_us: (!index.is_multiple_of(5)).then_some(100_000 + index * 7),
        idempotency_key: index.is_multiple_of(4).then_some(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        attempt: u32::from(index.is_multiple_of(11)),
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
    (0..requests).for_each(|index| writer.write_request(request(index)).unwrap());
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
fn written_records_are_read_back() {
    let Contents { requests, reports: read_reports, corruptions } = read(&file(10_000));
    assert_eq!(requests, (0..10_000).map(request).collect::<Vec<_>>());
    assert_eq!((read_reports, corruptions), (reports(), vec![]));
}

#[test]
fn a_truncated_file_is_read_to_its_last_complete_block_and_reported() {
    let complete = file(9_000);
    let records_len = complete.len() - file(0).len();
    assert!(records_len > 1_000);
    let min_len = (0..complete.len()).find(|len| Reader::open(&complete[..*len]).is_ok()).unwrap();
    for len in (min_len..complete.len()).step_by(97) {
        let Contents { requests, corruptions, .. } = read(&complete[..len]);
        assert!([0, 4_096, 8_192, 9_000].contains(&requests.len()), "{} at {len}", requests.len());
        assert_eq!(requests, (0..requests.len() as u64).map(request).collect::<Vec<_>>());
        let truncated = matches!(
            corruptions[..],
            [Corruption::TruncatedBlock { .. } | Corruption::MissingEndBlock { .. }]
        );
        assert!(truncated, "{corruptions:?} at {len}");
    }
    assert!((0..min_len).all(|len| Reader::open(&complete[..len]).is_err()));
}

#[test]
fn a_corrupt_block_is_reported_and_only_its_records_are_lost() {
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
fn bytes_between_blocks_are_reported_and_skipped() {
    let complete = file(4_096);
    let without_requests = file(0);
    // The files differ from the first block of requests on. Its sync marker precedes the first difference.
    let difference = complete.iter().zip(&without_requests).position(|(a, b)| a != b).unwrap();
    let block_offset = difference
        - complete[..difference].windows(4).rev().position(|w| w == [0xb7, 0x4f, 0x57, 0x0d]).unwrap()
        - 4;
    let mut bytes = complete[..block_offset].to_vec();
    bytes.extend(std::iter::repeat_n(0xb7, 70_000));
    bytes.extend(&complete[block_offset..]);
    let Contents { requests, corruptions, .. } = read(&bytes);
    assert_eq!(requests.len(), 4_096);
    assert_eq!(corruptions, [Corruption::UnrecognizedBytes { offset: block_offset as u64, length: 70_000 }]);
}

#[test]
fn a_file_that_reaches_its_maximum_size_is_complete() {
    let mut bytes = Vec::new();
    let mut writer = Writer::open(&mut bytes, &header(), Some(20_000)).unwrap();
    let full = (0..200_000).find(|index| match writer.write_request(request(*index)) {
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
fn other_files_and_newer_captures_are_rejected_with_different_errors() {
    let open_error = |bytes: &[u8]| Reader::open(bytes).err().unwrap().to_string();
    assert_eq!(
        open_error(b"at,product\n1,quote\n"),
        "not a traffic capture: expected a file that starts with OTWLOAD1"
    );
    assert_eq!(
        open_error(b"OTWLOAD2xxxxxxxxxxxxxxxxxxxxxxxxxxx"),
        "the traffic capture has a newer format version than this program supports: expected OTWLOAD1"
    );
    assert!(open_error(b"").starts_with("not a traffic capture"));
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
        let intact_len = 90;
        for (at, mask) in flips {
            let at = intact_len + at.index(bytes.len() - intact_len);
            bytes[at] ^= mask;
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
