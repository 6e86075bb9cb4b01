//! A block's bytes. All numbers are little-endian.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | a mark by which a reader that lost its way finds the next block |
//! | 1 | kind |
//! | 4 | length of what is inside, decompressed |
//! | 4 | length as it stands in the file |
//! | 4 | CRC-32 of what stands in the file |
//! | 4 | CRC-32 of the 17 bytes before |

pub const MAGIC: &[u8; 8] = b"OTWLOAD1";
pub const MARK: [u8; 4] = [0xb7, 0x4f, 0x57, 0x0d];
pub const HEAD: usize = 21;
/// No writer makes a larger block, so that a spoilt length can't ask for all memory.
pub const LARGEST: usize = 4 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Start = 1,
    Txns = 2,
    Sums = 3,
    End = 9,
}

impl Kind {
    fn of(byte: u8) -> Option<Kind> {
        [Kind::Start, Kind::Txns, Kind::Sums, Kind::End].into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// What a head says of the block behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// A kind that this version does not know is passed over: newer writers may add some.
    pub kind: Option<Kind>,
    pub inside: usize,
    pub stored: usize,
    sum: u32,
}

/// A whole block around some bytes.
pub fn pack(kind: Kind, inside: &[u8]) -> Vec<u8> {
    let stored = lz4_flex::block::compress(inside);
    let mut block = Vec::with_capacity(HEAD + stored.len());
    block.extend_from_slice(&MARK);
    block.push(kind as u8);
    block.extend_from_slice(&(inside.len() as u32).to_le_bytes());
    block.extend_from_slice(&(stored.len() as u32).to_le_bytes());
    block.extend_from_slice(&crc32fast::hash(&stored).to_le_bytes());
    let sum = crc32fast::hash(&block);
    block.extend_from_slice(&sum.to_le_bytes());
    block.extend_from_slice(&stored);
    block
}

/// Reads a head; nothing where these bytes are none.
pub fn head(bytes: &[u8]) -> Option<Head> {
    let bytes: &[u8; HEAD] = bytes.get(..HEAD)?.try_into().ok()?;
    let number = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let sound = bytes[..4] == MARK && crc32fast::hash(&bytes[..17]) == number(17);
    let head = Head {
        kind: Kind::of(bytes[4]),
        inside: number(5) as usize,
        stored: number(9) as usize,
        sum: number(13),
    };
    (sound && head.inside <= LARGEST && head.stored <= LARGEST).then_some(head)
}

/// What is inside a block whose head was read, or why it can't be had.
pub fn unpack(head: &Head, stored: &[u8]) -> Result<Vec<u8>, String> {
    let found = crc32fast::hash(stored);
    if found != head.sum {
        return Err(format!("its checksum is {found:08x} where its head says {:08x}", head.sum));
    }
    lz4_flex::block::decompress(stored, head.inside).map_err(|e| format!("it can't be decompressed: {e}"))
}
