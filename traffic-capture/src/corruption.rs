//! The defects that a reader can find in a file it has opened. Reading continues after each of them, except
//! where the file is truncated or the input fails.

use crate::records::RecordCounts;
use std::io;

/// A defect in a file. Offsets are in bytes from the start of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A block was skipped.
    #[error("the block at byte {offset} is left out: {source}")]
    CorruptBlock {
        /// The offset of the block.
        offset: u64,
        /// Why the block was skipped.
        source: BlockError,
    },
    /// Bytes that don't belong to a valid block were skipped.
    #[error("{length} bytes at byte {offset} are no block and are left out")]
    UnknownBytes {
        /// The offset of the first skipped byte.
        offset: u64,
        /// How many bytes were skipped.
        length: u64,
    },
    /// The file ends within a block.
    #[error("the file was cut off within the block at byte {offset}; what came later is missing")]
    TruncatedBlock {
        /// The offset of the block.
        offset: u64,
    },
    /// The file ends after a complete block, but has no end block.
    #[error("the file ends at byte {offset} without its end: more may be missing")]
    MissingEnd {
        /// The length of the file.
        offset: u64,
    },
    /// The record counts in the end block differ from the records that were read.
    #[error(
        "{} of {} requests and {} of {} load reports could be read",
        read.requests, expected.requests, read.reports, expected.reports
    )]
    CountMismatch {
        /// The records that were read.
        read: RecordCounts,
        /// The counts in the end block.
        expected: RecordCounts,
    },
}

/// Why a block can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The stored payload doesn't match its checksum.
    #[error("its checksum is {actual:08x} where its header says {expected:08x}")]
    ChecksumMismatch {
        /// The checksum in the block header.
        expected: u32,
        /// The checksum of the payload.
        actual: u32,
    },
    /// The payload is not valid LZ4.
    #[error("it can't be decompressed: {message}")]
    Decompression {
        /// The error of the decompressor.
        message: String,
    },
    /// The payload is not a valid protobuf message.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// The columns of a block of requests differ in length.
    #[error("its columns are not of one length")]
    ColumnLengths,
    /// A record refers to a request class or zone that isn't in the lists of the file header.
    #[error("it names a request class or zone that the header of the file does not list")]
    UnknownName,
    /// A load report refers to an endpoint that isn't in the list of its block.
    #[error("it names an endpoint that it does not list")]
    UnknownEndpoint,
    /// A file header after the first block.
    #[error("a file has one header")]
    RepeatedHeader,
    /// The input failed. Holds the kind and the text of the `io::Error`, which can be neither cloned nor
    /// compared.
    #[error("it can't be read: {message}")]
    Io {
        /// The kind of the I/O error.
        kind: io::ErrorKind,
        /// The text of the I/O error.
        message: String,
    },
}

impl From<io::Error> for BlockError {
    fn from(error: io::Error) -> Self {
        BlockError::Io { kind: error.kind(), message: error.to_string() }
    }
}
