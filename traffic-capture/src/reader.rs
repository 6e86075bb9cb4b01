//! Reads a capture block by block, so that memory use doesn't grow with the file. Parts that can't be read
//! are skipped and reported with their offset.

use crate::block::{BlockKind, FILE_MAGIC, HEADER_BYTES, MAGIC_PREFIX};
use crate::block_reader::{read_block, Block, NextBlock};
use crate::corruption::{BlockError, Corruption};
use crate::input::BufferedInput;
use crate::payload;
use crate::records::{CaptureHeader, LoadReport, RecordCounts, RequestRecord};
use std::io::{self, Read};

/// An item that a reader yields, in file order.
#[derive(Clone, Debug, PartialEq)]
pub enum CaptureItem {
    /// The requests of one block.
    Requests(Vec<RequestRecord>),
    /// The load reports of one block.
    Reports(Vec<LoadReport>),
    /// A defect in the file.
    Corruption(Corruption),
}

/// Why a capture can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The input failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not a traffic capture.
    #[error("not a traffic capture: expected a file that starts with OTWLOAD1")]
    NotACapture,
    /// The file has a newer format version.
    #[error("the traffic capture has a newer format version than this program supports: expected OTWLOAD1")]
    NewerVersion,
    /// The first block is corrupt, truncated or not a header block.
    #[error("the first block can't be read; expected a header with the request classes and zones")]
    UnreadableHeader,
    /// The first block is intact, but its payload can't be decoded as a header.
    #[error(transparent)]
    InvalidHeader(#[from] BlockError),
}

/// Reads a capture.
pub struct Reader<R: Read> {
    input: BufferedInput<R>,
    header: CaptureHeader,
    /// The records that have been read so far.
    records_read: RecordCounts,
    /// Whether an end block has been read.
    end_block_seen: bool,
    /// Whether reading has ended.
    finished: bool,
}

impl<R: Read> Reader<R> {
    /// Opens a capture and reads its header.
    pub fn open(source: R) -> Result<Self, OpenError> {
        let mut input = BufferedInput::new(source);
        input.fill(FILE_MAGIC.len() + HEADER_BYTES)?;
        if !input.buffered().starts_with(FILE_MAGIC) {
            let newer = input.buffered().starts_with(MAGIC_PREFIX);
            return Err(if newer { OpenError::NewerVersion } else { OpenError::NotACapture });
        }
        input.consume(FILE_MAGIC.len());
        let NextBlock::Block(Block { kind: Some(BlockKind::Header), payload, .. }) = read_block(&mut input)?
        else {
            return Err(OpenError::UnreadableHeader);
        };
        Ok(Reader {
            input,
            header: payload::decode_header(&payload)?,
            records_read: RecordCounts::default(),
            end_block_seen: false,
            finished: false,
        })
    }

    /// The file header.
    pub fn header(&self) -> &CaptureHeader {
        &self.header
    }

    /// Reads the next item. Returns `None` at the end of the file, and an error if the input fails.
    pub fn read(&mut self) -> io::Result<Option<CaptureItem>> {
        while !self.finished {
            let item = match read_block(&mut self.input)? {
                NextBlock::Block(block) => self.decode(&block),
                NextBlock::Corrupt(corruption) => {
                    self.finished = matches!(corruption, Corruption::TruncatedBlock { .. });
                    Some(CaptureItem::Corruption(corruption))
                }
                NextBlock::EndOfFile => self.finish(),
            };
            if item.is_some() {
                return Ok(item);
            }
        }
        Ok(None)
    }

    fn finish(&mut self) -> Option<CaptureItem> {
        self.finished = true;
        if self.end_block_seen {
            return None;
        }
        Some(CaptureItem::Corruption(Corruption::MissingEndBlock { offset: self.input.offset() }))
    }

    /// Decodes a block into an item. Returns `None` for a block of unknown kind, and for an end block whose
    /// counts match the records read.
    fn decode(&mut self, block: &Block) -> Option<CaptureItem> {
        let decoded = match block.kind? {
            BlockKind::Header => Err(BlockError::DuplicateHeader),
            BlockKind::Requests => self.decode_requests(&block.payload).map(Some),
            BlockKind::Reports => self.decode_reports(&block.payload).map(Some),
            BlockKind::End => self.decode_end(&block.payload),
        };
        decoded.unwrap_or_else(|source| {
            Some(CaptureItem::Corruption(Corruption::CorruptBlock { offset: block.offset, source }))
        })
    }

    fn decode_requests(&mut self, payload: &[u8]) -> Result<CaptureItem, BlockError> {
        let requests = payload::decode_requests(payload, &self.header)?;
        self.records_read.requests += requests.len() as u64;
        Ok(CaptureItem::Requests(requests))
    }

    fn decode_reports(&mut self, payload: &[u8]) -> Result<CaptureItem, BlockError> {
        let reports = payload::decode_reports(payload, &self.header)?;
        self.records_read.reports += reports.len() as u64;
        Ok(CaptureItem::Reports(reports))
    }

    fn decode_end(&mut self, payload: &[u8]) -> Result<Option<CaptureItem>, BlockError> {
        self.end_block_seen = true;
        let expected = payload::decode_end(payload)?;
        if expected == self.records_read {
            return Ok(None);
        }
        Ok(Some(CaptureItem::Corruption(Corruption::CountMismatch { read: self.records_read, expected })))
    }
}

/// Yields the items of a capture. If the input fails, the last item is a [`Corruption`] with the error.
impl<R: Read> Iterator for Reader<R> {
    type Item = CaptureItem;

    fn next(&mut self) -> Option<CaptureItem> {
        match self.read() {
            Ok(item) => item,
            Err(error) => {
                self.finished = true;
                let offset = self.input.offset();
                Some(CaptureItem::Corruption(Corruption::CorruptBlock { offset, source: error.into() }))
            }
        }
    }
}
