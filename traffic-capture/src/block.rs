//! The framing of a block. All numbers are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | the sync marker, by which a reader finds the next block after corrupt bytes |
//! | 1 | kind |
//! | 4 | length of the payload, uncompressed |
//! | 4 | length of the payload as stored, compressed |
//! | 4 | CRC-32 of the payload as stored |
//! | 4 | CRC-32 of the 17 bytes before |
//!
//! The payload follows, compressed by LZ4.

use crate::corruption::BlockError;

/// The first bytes of a file. The last of them is the version of the format.
pub const FILE_MAGIC: &[u8; 8] = b"OTWLOAD1";
/// What all versions of the format begin with.
pub const VERSIONLESS_MAGIC: &[u8] = b"OTWLOAD";
/// The first bytes of a block.
pub const SYNC_MARKER: [u8; 4] = [0xb7, 0x4f, 0x57, 0x0d];
/// The length of a block's header.
pub const HEADER_BYTES: usize = 21;
/// The part of the header that its own checksum covers.
const CHECKED_HEADER_BYTES: usize = 17;
/// No writer makes a larger block, so that a corrupt length can't exhaust the memory.
const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// What a block contains. The numbers are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockKind {
    /// The header of the file.
    Header = 1,
    /// Single requests.
    Requests = 2,
    /// Load reports.
    Reports = 3,
    /// The end of a complete file.
    End = 9,
}

impl BlockKind {
    const ALL: [BlockKind; 4] = [BlockKind::Header, BlockKind::Requests, BlockKind::Reports, BlockKind::End];

    fn from_byte(byte: u8) -> Option<BlockKind> {
        BlockKind::ALL.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// The header of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockHeader {
    /// `None` for kinds that this version does not know: newer writers may add some, and readers skip them.
    pub kind: Option<BlockKind>,
    /// The length of the payload, uncompressed.
    pub uncompressed_len: usize,
    /// The length of the payload as stored.
    pub stored_len: usize,
    checksum: u32,
}

impl BlockHeader {
    /// Decodes the header at the beginning of some bytes; `None` where there is no valid one.
    pub fn decode(bytes: &[u8]) -> Option<BlockHeader> {
        let bytes: &[u8; HEADER_BYTES] = bytes.get(..HEADER_BYTES)?.try_into().ok()?;
        let header_checksum = crc32fast::hash(&bytes[..CHECKED_HEADER_BYTES]);
        if !bytes.starts_with(&SYNC_MARKER) || header_checksum != u32_at(bytes, 17) {
            return None;
        }
        let header = BlockHeader {
            kind: BlockKind::from_byte(bytes[4]),
            uncompressed_len: u32_at(bytes, 5) as usize,
            stored_len: u32_at(bytes, 9) as usize,
            checksum: u32_at(bytes, 13),
        };
        let allowed = header.uncompressed_len <= MAX_PAYLOAD_BYTES && header.stored_len <= MAX_PAYLOAD_BYTES;
        allowed.then_some(header)
    }
}

fn u32_at(bytes: &[u8; HEADER_BYTES], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// A complete block with the given payload.
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

/// The payload of a block, verified and uncompressed.
pub fn decode_payload(header: &BlockHeader, stored: &[u8]) -> Result<Vec<u8>, BlockError> {
    let actual = crc32fast::hash(stored);
    if actual != header.checksum {
        return Err(BlockError::ChecksumMismatch { expected: header.checksum, actual });
    }
    lz4_flex::block::decompress(stored, header.uncompressed_len)
        .map_err(|error| BlockError::Decompression { message: error.to_string() })
}
