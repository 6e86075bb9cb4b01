//! Reads a file block by block, verifies each block, and resynchronizes at the next block after corrupt
//! bytes.

use crate::block::{decode_payload, BlockHeader, BlockKind, HEADER_BYTES, SYNC_MARKER};
use crate::corruption::Corruption;
use crate::input::BufferedInput;
use std::io::{self, Read};

/// The result of reading the next block.
pub enum NextBlock {
    /// A valid block.
    Block(Block),
    /// A part of the file that can't be read. More blocks may follow unless it is
    /// [`Corruption::TruncatedBlock`].
    Corrupt(Corruption),
    /// The end of the file.
    EndOfFile,
}

/// A valid block.
pub struct Block {
    /// The offset of the block in the file.
    pub offset: u64,
    /// `None` for kinds that are unknown to this version.
    pub kind: Option<BlockKind>,
    /// The uncompressed payload.
    pub payload: Vec<u8>,
}

/// Reads the next block; errors only if the input fails.
pub fn read_block<R: Read>(input: &mut BufferedInput<R>) -> io::Result<NextBlock> {
    let offset = input.offset();
    let truncated = NextBlock::Corrupt(Corruption::TruncatedBlock { offset });
    if !input.fill(HEADER_BYTES)? {
        return Ok(if input.buffered().is_empty() { NextBlock::EndOfFile } else { truncated });
    }
    let Some(header) = BlockHeader::decode(input.buffered()) else {
        let length = skip_to_block(input)?;
        return Ok(NextBlock::Corrupt(Corruption::UnrecognizedBytes { offset, length }));
    };
    let block_bytes = HEADER_BYTES + header.stored_len;
    if !input.fill(block_bytes)? {
        return Ok(truncated);
    }
    let payload = decode_payload(&header, &input.buffered()[HEADER_BYTES..block_bytes]);
    input.consume(block_bytes);
    Ok(match payload {
        Ok(payload) => NextBlock::Block(Block { offset, kind: header.kind, payload }),
        Err(source) => NextBlock::Corrupt(Corruption::CorruptBlock { offset, source }),
    })
}

/// Skips bytes up to the next valid block header or the end of the file, and returns how many were skipped.
/// The input must not start with a valid header.
fn skip_to_block<R: Read>(input: &mut BufferedInput<R>) -> io::Result<u64> {
    let start = input.offset();
    loop {
        if let Some(position) = find_header(input.buffered()) {
            input.consume(position);
            return Ok(input.offset() - start);
        }
        // The remaining bytes may be the start of a header.
        let kept = input.buffered().len().min(HEADER_BYTES - 1);
        input.consume(input.buffered().len() - kept);
        if !input.fill(kept + 1)? {
            input.consume(kept);
            return Ok(input.offset() - start);
        }
        if BlockHeader::decode(input.buffered()).is_some() {
            return Ok(input.offset() - start);
        }
    }
}

/// The position of the first valid block header after the first byte.
fn find_header(bytes: &[u8]) -> Option<usize> {
    let is_header = |window: &[u8]| window.starts_with(&SYNC_MARKER) && BlockHeader::decode(window).is_some();
    let position = bytes.windows(HEADER_BYTES).skip(1).position(is_header)?;
    Some(position + 1)
}
