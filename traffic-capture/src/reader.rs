//! Reads a capture block by block, so that memory does not grow with the file. What can't be read is reported with its
//! offset and skipped.

use crate::block::{BlockKind, FILE_MAGIC, HEADER_BYTES, VERSIONLESS_MAGIC};
use crate::block_reader::{read_block, Block, NextBlock};
use crate::corruption::{BlockError, Corruption};
use crate::input::Input;
use crate::payload;
use crate::records::{CaptureHeader, LoadReport, RecordCounts, RequestRecord};
use std::io::{self, Read};

/// What a file yields, in the order of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum CaptureItem {
    /// The requests of one block.
    Requests(Vec<RequestRecord>),
    /// The load reports of one block.
    Reports(Vec<LoadReport>),
    /// A part of the file that could not be read.
    Corruption(Corruption),
}

/// Why a file can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The input failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is something else.
    #[error("no captured load: it does not begin with OTWLOAD1")]
    NotACapture,
    /// The file was written by a newer version.
    #[error("captured load of a newer version than this program reads")]
    NewerVersion,
    /// The first block is corrupt, truncated or not a header.
    #[error("its first block, which names request classes and zones, can't be read")]
    UnreadableHeader,
    /// The first block is intact but its payload is not a valid header.
    #[error(transparent)]
    InvalidHeader(#[from] BlockError),
}

/// Reads one file.
pub struct Reader<R: Read> {
    input: Input<R>,
    header: CaptureHeader,
    /// Records that could be read so far.
    read: RecordCounts,
    /// The end block was read.
    end_block_seen: bool,
    /// Nothing more will be read.
    finished: bool,
}

impl<R: Read> Reader<R> {
    /// Opens a file and reads its header.
    pub fn open(source: R) -> Result<Self, OpenError> {
        let mut input = Input::new(source);
        input.fill(FILE_MAGIC.len() + HEADER_BYTES)?;
        if !input.buffered().starts_with(FILE_MAGIC) {
            let newer = input.buffered().starts_with(VERSIONLESS_MAGIC);
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
            read: RecordCounts::default(),
            end_block_seen: false,
            finished: false,
        })
    }

    /// The header of the file.
    pub fn header(&self) -> &CaptureHeader {
        &self.header
    }

    /// Reads the next item; `None` at the end of the file, an error where the input fails.
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
        Some(CaptureItem::Corruption(Corruption::MissingEnd { offset: self.input.offset() }))
    }

    /// What a block contributes: nothing where its kind is unknown, or where it is an end block that counts right.
    fn decode(&mut self, block: &Block) -> Option<CaptureItem> {
        let decoded = match block.kind? {
            BlockKind::Header => Err(BlockError::RepeatedHeader),
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
        self.read.requests += requests.len() as u64;
        Ok(CaptureItem::Requests(requests))
    }

    fn decode_reports(&mut self, payload: &[u8]) -> Result<CaptureItem, BlockError> {
        let reports = payload::decode_reports(payload, &self.header)?;
        self.read.reports += reports.len() as u64;
        Ok(CaptureItem::Reports(reports))
    }

    fn decode_end(&mut self, payload: &[u8]) -> Result<Option<CaptureItem>, BlockError> {
        self.end_block_seen = true;
        let expected = payload::decode_end(payload)?;
        if expected == self.read {
            return Ok(None);
        }
        Ok(Some(CaptureItem::Corruption(Corruption::CountMismatch { read: self.read, expected })))
    }
}

/// Yields the items of a file. An input that fails ends the file, with a [`Corruption`] that says so.
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
