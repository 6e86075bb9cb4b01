//! Writes a capture, collecting records into blocks.

use crate::block::{encode_block, BlockKind, FILE_MAGIC};
use crate::payload;
use crate::records::{CaptureHeader, LoadReport, RecordCounts, RequestRecord};
use std::io::{self, Write};

/// The number of requests in a full block. A writer that is killed loses at most one block of requests and
/// one of load reports.
const REQUESTS_PER_BLOCK: usize = 4096;
/// The number of load reports in a full block.
const REPORTS_PER_BLOCK: usize = 2048;

/// Why a record was not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The file has reached its maximum size. Records that were not yet written are dropped;
    /// [`Writer::finish`] still completes the file, with the records written before.
    #[error("the traffic capture has reached its maximum size")]
    SizeLimitReached,
    /// The output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Writes a capture. Without [`Writer::finish`], the file is read as truncated.
///
/// ```
/// use otterwinch_traffic_capture::{CaptureHeader, CaptureItem, Reader, RequestRecord, Writer};
/// let request_classes = vec!["quote".into()];
/// let header = CaptureHeader { request_classes, zones: vec!["north".into()], ..CaptureHeader::default() };
/// let mut file = Vec::new();
/// let mut writer = Writer::open(&mut file, &header, None).unwrap();
/// let request = RequestRecord { at_us: 5, work_us: Some(200_000), ..RequestRecord::default() };
/// writer.write_request(request).unwrap();
/// writer.finish().unwrap();
/// let mut reader = Reader::open(file.as_slice()).unwrap();
/// assert_eq!(reader.header(), &header);
/// assert!(matches!(reader.next(), Some(CaptureItem::Requests(read)) if read[0].work_us == Some(200_000)));
/// assert!(reader.next().is_none());
/// ```
pub struct Writer<W: Write> {
    output: W,
    /// Requests that are not yet written.
    pending_requests: Vec<RequestRecord>,
    /// Load reports that are not yet written.
    pending_reports: Vec<LoadReport>,
    records_written: RecordCounts,
    bytes_written: u64,
    max_bytes: Option<u64>,
}

impl<W: Write> Writer<W> {
    /// Writes the start of a file of at most `max_bytes`; `None` means no limit.
    pub fn open(output: W, header: &CaptureHeader, max_bytes: Option<u64>) -> io::Result<Self> {
        let mut writer = Writer {
            output,
            pending_requests: Vec::with_capacity(REQUESTS_PER_BLOCK),
            pending_reports: Vec::new(),
            records_written: RecordCounts::default(),
            bytes_written: 0,
            max_bytes,
        };
        writer.write_bytes(FILE_MAGIC)?;
        writer.write_bytes(&encode_block(BlockKind::Header, &payload::encode_header(header)))?;
        Ok(writer)
    }

    /// The number of bytes written so far; records that are not yet in a block don't count.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Adds a request. [`WriteError::SizeLimitReached`] means that no further record fits.
    pub fn write_request(&mut self, request: RequestRecord) -> Result<(), WriteError> {
        self.pending_requests.push(request);
        if self.pending_requests.len() >= REQUESTS_PER_BLOCK {
            return self.flush();
        }
        Ok(())
    }

    /// Adds a load report. [`WriteError::SizeLimitReached`] means that no further record fits.
    pub fn write_report(&mut self, report: LoadReport) -> Result<(), WriteError> {
        self.pending_reports.push(report);
        if self.pending_reports.len() >= REPORTS_PER_BLOCK {
            return self.flush();
        }
        Ok(())
    }

    /// Writes all pending records, even if they don't fill a block. A writer that flushes often loses little
    /// if it is killed.
    pub fn flush(&mut self) -> Result<(), WriteError> {
        if !self.pending_requests.is_empty() {
            self.write_records(BlockKind::Requests, &payload::encode_requests(&self.pending_requests))?;
            self.records_written.requests += self.pending_requests.len() as u64;
            self.pending_requests.clear();
        }
        if !self.pending_reports.is_empty() {
            self.write_records(BlockKind::Reports, &payload::encode_reports(&self.pending_reports))?;
            self.records_written.reports += self.pending_reports.len() as u64;
            self.pending_reports.clear();
        }
        self.output.flush()?;
        Ok(())
    }

    /// Writes the pending records and the end block, and returns the number of records in the file.
    pub fn finish(mut self) -> io::Result<RecordCounts> {
        match self.flush() {
            // The end block counts the written records only, not the dropped ones.
            Ok(()) | Err(WriteError::SizeLimitReached) => {}
            Err(WriteError::Io(error)) => return Err(error),
        }
        self.write_bytes(&encode_block(BlockKind::End, &payload::encode_end(self.records_written)))?;
        self.output.flush()?;
        Ok(self.records_written)
    }

    /// Writes a block of records. If it doesn't fit, drops all pending records.
    fn write_records(&mut self, kind: BlockKind, payload: &[u8]) -> Result<(), WriteError> {
        let block = encode_block(kind, payload);
        if !self.has_room_for(block.len()) {
            self.pending_requests.clear();
            self.pending_reports.clear();
            return Err(WriteError::SizeLimitReached);
        }
        self.write_bytes(&block)?;
        Ok(())
    }

    /// Whether a block fits into the maximum size together with the end block.
    fn has_room_for(&self, block_bytes: usize) -> bool {
        let largest_counts = RecordCounts { requests: u64::MAX, reports: u64::MAX };
        let end_block = encode_block(BlockKind::End, &payload::encode_end(largest_counts));
        let needed = self.bytes_written + (block_bytes + end_block.len()) as u64;
        self.max_bytes.is_none_or(|max_bytes| needed <= max_bytes)
    }

    fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.bytes_written += bytes.len() as u64;
        self.output.write_all(bytes)
    }
}
