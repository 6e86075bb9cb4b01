//! What can be wrong with a file that was opened. None of it ends the reading, except the end of the file.

use crate::records::RecordCounts;
use std::io;

/// A part of a file that could not be read. Offsets are in bytes from the beginning of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A block was skipped.
    #[error("the block at byte {offset} is left out: {source}")]
    CorruptBlock {
        /// Where the block begins.
        offset: u64,
        /// Why it can't be used.
        source: BlockError,
    },
    /// Bytes that are no block were skipped.
    #[error("{length} bytes at byte {offset} are no block and are left out")]
    UnknownBytes {
        /// Where they begin.
        offset: u64,
        /// How many they are.
        length: u64,
    },
    /// The file ends within a block.
    #[error("the file was cut off within the block at byte {offset}; what came later is missing")]
    TruncatedBlock {
        /// Where the block begins.
        offset: u64,
    },
    /// The file ends after a block, but that is not its end block.
    #[error("the file ends at byte {offset} without its end: more may be missing")]
    MissingEnd {
        /// The length of the file.
        offset: u64,
    },
    /// The end block counts other records than were read.
    #[error(
        "{} of {} requests and {} of {} load reports could be read",
        read.requests, expected.requests, read.reports, expected.reports
    )]
    CountMismatch {
        /// What could be read.
        read: RecordCounts,
        /// What the end block counts.
        expected: RecordCounts,
    },
}

/// Why a block can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlockError {
    /// The payload was changed after it was written.
    #[error("its checksum is {actual:08x} where its header says {expected:08x}")]
    ChecksumMismatch {
        /// The checksum in the header.
        expected: u32,
        /// The checksum of the payload.
        actual: u32,
    },
    /// The payload is not valid LZ4.
    #[error("it can't be decompressed: {message}")]
    Decompression {
        /// What the decompressor says.
        message: String,
    },
    /// The payload is not a valid protobuf message.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// The columns of the requests don't fit each other.
    #[error("its columns are not of one length")]
    ColumnLengths,
    /// A record refers to a request class or zone outside the lists of the file's header.
    #[error("it names a request class or zone that the header of the file does not list")]
    UnknownName,
    /// A record refers to an endpoint outside the list of its block.
    #[error("it names an endpoint that it does not list")]
    UnknownEndpoint,
    /// A second header.
    #[error("a file has one header")]
    RepeatedHeader,
    /// The input failed. An `io::Error` can be neither cloned nor compared, so its kind and text stand for it.
    #[error("it can't be read: {message}")]
    Io {
        /// What kind of error it was.
        kind: io::ErrorKind,
        /// What it said.
        message: String,
    },
}

impl From<io::Error> for BlockError {
    fn from(error: io::Error) -> Self {
        BlockError::Io { kind: error.kind(), message: error.to_string() }
    }
}
