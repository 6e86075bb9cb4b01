//! The framing of blocks. A block starts with this header, in which all integers are little-endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | sync marker, by which a reader finds the next block after corrupt bytes |
//! | 1 | kind |
//! | 4 | length of the uncompressed payload |
//! | 4 | length of the stored (compressed) payload |
//! | 4 | CRC-32 of the stored payload |
//! | 4 | CRC-32 of the preceding 17 bytes |
//!
//! The payload follows, compressed with LZ4.

use crate::corruption::BlockError;

/// The magic bytes at the start of a file. The last byte is the format version.
pub const FILE_MAGIC: &[u8; 8] = b"OTWLOAD1";
/// The part of the magic bytes that all format versions share.
pub const MAGIC_PREFIX: &[u8] = b"OTWLOAD";
/// The bytes that start every block.
pub const SYNC_MARKER: [u8; 4] = [0xb7, 0x4f, 0x57, 0x0d];
/// The length of a block header.
pub const HEADER_BYTES: usize = 21;
/// The length of the part of the header that the header checksum covers.
const CHECKSUMMED_HEADER_BYTES: usize = 17;
/// Writers create no larger blocks. A reader treats a header with a larger length as corrupt, so that such a
/// length can't exhaust the memory.
const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// The content of a block. The discriminants are stored in files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The file header.
    Header = 1,
    /// Individual requests.
    Requests = 2,
    /// Load reports.
    Reports = 3,
    /// The end of a complete file, with the record counts.
    End = 9,
}

impl BlockKind {
    const ALL: [BlockKind; 4] = [BlockKind::Header, BlockKind::Requests, BlockKind::Reports, BlockKind::End];

    fn from_byte(byte: u8) -> Option<BlockKind> {
        BlockKind::ALL.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// A decoded block header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    /// `None` for kinds that are unknown to this version. Newer writers may add kinds; readers skip unknown
    /// ones.
    pub kind: Option<BlockKind>,
    /// The length of the uncompressed payload.
    pub uncompressed_len: usize,
    /// The length of the stored (compressed) payload.
    pub stored_len: usize,
    payload_checksum: u32,
}

impl BlockHeader {
    /// Decodes the header that the bytes start with; `None` if they don't start with a valid header.
    pub fn decode(bytes: &[u8]) -> Option<BlockHeader> {
        let bytes: &[u8; HEADER_BYTES] = bytes.get(..HEADER_BYTES)?.try_into().ok()?;
        let header_checksum = crc32fast::hash(&bytes[..CHECKSUMMED_HEADER_BYTES]);
        if !bytes.starts_with(&SYNC_MARKER) || header_checksum != u32_at(bytes, 17) {
            return None;
        }
        let header = BlockHeader {
            kind: BlockKind::from_byte(bytes[4]),
            uncompressed_len: u32_at(bytes, 5) as usize,
            stored_len: u32_at(bytes, 9) as usize,
            payload_checksum: u32_at(bytes, 13),
        };
        let within_limits =
            header.uncompressed_len <= MAX_PAYLOAD_BYTES && header.stored_len <= MAX_PAYLOAD_BYTES;
        within_limits.then_some(header)
    }
}

fn u32_at(bytes: &[u8; HEADER_BYTES], offset: usize) -> u32 {
    u32::from_le_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
}

/// Encodes a complete block with the given payload.
pub fn encode_block(kind: BlockKind, payload: &[u8]) -> Vec<u8> {
    let stored = lz4_flex::block::compress(payload);
    let mut block = Vec::with_capacity(HEADER_BYTES + stored.len());
    block.extend_from_slice(&SYNC_MARKER);
    block.push(kind as u8);
    block.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    block.extend_from_slice(&(stored.len() as u32).to_le_bytes());
    block.extend_from_slice(&crc32fast::hash(&stored).to_le_bytes());
    let header_checksum = crc32fast::hash(&block);
    block.extend_from_slice(&header_checksum.to_le_bytes());
    block.extend_from_slice(&stored);
    block
}

/// Verifies the checksum of a stored payload and decompresses it.
pub fn decode_payload(header: &BlockHeader, stored: &[u8]) -> Result<Vec<u8>, BlockError> {
    let actual = crc32fast::hash(stored);
    if actual != header.payload_checksum {
        return Err(BlockError::ChecksumMismatch { expected: header.payload_checksum, actual });
    }
    lz4_flex::block::decompress(stored, header.uncompressed_len)
        .map_err(|error| BlockError::Decompression { message: error.to_string() })
}
