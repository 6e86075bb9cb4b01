//! The defects that a reader can find in a file it has opened. Reading continues after each of them, except
//! where the file is truncated or the input fails.

use crate::records::RecordCounts;
use std::io;

/// A defect in a file. Offsets are in bytes from the start of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A block was skipped.
    #[error("skipped the block at byte {offset}: {source}")]
    CorruptBlock {
        /// The offset of the block.
        offset: u64,
        /// Why the block was skipped.
        source: BlockError,
    },
    /// Bytes that don't belong to a valid block were skipped.
    #[error("skipped {length} bytes at byte {offset} that are not a valid block")]
    UnrecognizedBytes {
        /// The offset of the first skipped byte.
        offset: u64,
        /// How many bytes were skipped.
        length: u64,
    },
    /// The file ends within a block.
    #[error("the file is truncated within the block at byte {offset}; the rest is missing")]
    TruncatedBlock {
        /// The offset of the block.
        offset: u64,
    },
    /// The file ends after a complete block, but has no end block.
    #[error("the file ends at byte {offset} without an end block; later records may be missing")]
    MissingEndBlock {
        /// The length of the file.
        offset: u64,
    },
    /// The record counts in the end block differ from the records that were read.
    #[error(
        "read {} of {} requests and {} of {} load reports",
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
    #[error("checksum mismatch: expected {expected:08x}, got {actual:08x}")]
    ChecksumMismatch {
        /// The checksum in the block header.
        expected: u32,
        /// The checksum of the payload.
        actual: u32,
    },
    /// The payload is not valid LZ4.
    #[error("the payload can't be decompressed: {message}")]
    Decompression {
        /// The error of the decompressor.
        message: String,
    },
    /// The payload is not a valid protobuf message.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// The columns of a block of requests differ in length.
    #[error("the columns of the requests differ in length")]
    ColumnLengths,
    /// A record refers to a request class or zone that isn't in the lists of the file header.
    #[error("a record refers to a request class or zone that the file header does not list")]
    UnknownClassOrZone,
    /// A load report refers to an endpoint that isn't in the list of its block.
    #[error("a load report refers to an endpoint that its block does not list")]
    UnknownEndpoint,
    /// A file header after the first block.
    #[error("unexpected second file header")]
    DuplicateHeader,
    /// The input failed. Holds the kind and the text of the `io::Error`, which can be neither cloned nor
    /// compared.
    #[error("the input can't be read: {message}")]
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
