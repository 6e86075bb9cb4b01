//! The writing end: gathers records into blocks.

use crate::block::{pack, Kind, MAGIC};
use crate::record::{Start, Sum, Txn};
use crate::wire;
use std::io::{self, Write};

/// Records that make a block. A writer that dies loses no more than these.
const TXNS: usize = 4096;
const SUMS: usize = 2048;

/// A file's bytes have reached what was allowed; it was ended whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Writes one file. What is not ended by [`Writer::end`] reads as cut off.
///
/// ```
/// use otterwinch_traffic_capture::{Piece, Reader, Start, Txn, Writer};
/// let start = Start { products: vec!["quote".into()], halls: vec!["north".into()], ..Start::default() };
/// let mut file = Vec::new();
/// let mut writer = Writer::open(&mut file, &start, None).unwrap();
/// writer.txn(Txn { at_us: 5, work_us: Some(200_000), ..Txn::default() }).unwrap();
/// writer.end().unwrap();
/// let mut reader = Reader::open(file.as_slice()).unwrap();
/// assert_eq!(reader.start(), &start);
/// assert!(matches!(reader.next(), Some(Piece::Txns(txns)) if txns[0].work_us == Some(200_000)));
/// assert!(reader.next().is_none());
/// ```
pub struct Writer<W: Write> {
    to: W,
    txns: Vec<Txn>,
    sums: Vec<Sum>,
    written: (u64, u64),
    bytes: u64,
    most: Option<u64>,
}

impl<W: Write> Writer<W> {
    /// Opens a file of at most so many bytes; none is no limit.
    pub fn open(to: W, start: &Start, most: Option<u64>) -> io::Result<Self> {
        let (txns, sums) = (Vec::with_capacity(TXNS), Vec::new());
        let mut writer = Writer { to, txns, sums, written: (0, 0), bytes: 0, most };
        writer.put(MAGIC)?;
        writer.put(&pack(Kind::Start, &wire::start(start)))?;
        Ok(writer)
    }

    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.bytes += bytes.len() as u64;
        self.to.write_all(bytes)
    }

    /// How much was written so far, without what is still gathered.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes a txn; `Full` where no further record fits. What was taken before is in the file then.
    pub fn txn(&mut self, txn: Txn) -> io::Result<Result<(), Full>> {
        self.txns.push(txn);
        if self.txns.len() >= TXNS {
            return self.flush();
        }
        Ok(Ok(()))
    }

    pub fn sum(&mut self, sum: Sum) -> io::Result<Result<(), Full>> {
        self.sums.push(sum);
        if self.sums.len() >= SUMS {
            return self.flush();
        }
        Ok(Ok(()))
    }

    /// Writes what is gathered as blocks of its own, smaller than they might be: for a writer that must not lose
    /// much if it dies.
    pub fn flush(&mut self) -> io::Result<Result<(), Full>> {
        for (kind, count) in [(Kind::Txns, self.txns.len()), (Kind::Sums, self.sums.len())] {
            if count == 0 {
                continue;
            }
            let inside = if kind == Kind::Txns { wire::txns(&self.txns) } else { wire::sums(&self.sums) };
            let block = pack(kind, &inside);
            // Room is kept for the end block, so that a full file is a whole one.
            let last = pack(Kind::End, &wire::end(u64::MAX, u64::MAX)).len();
            if self.most.is_some_and(|most| self.bytes + (block.len() + last) as u64 > most) {
                self.txns.clear();
                self.sums.clear();
                return Ok(Err(Full));
            }
            self.put(&block)?;
            if kind == Kind::Txns {
                self.written.0 += count as u64;
                self.txns.clear();
            } else {
                self.written.1 += count as u64;
                self.sums.clear();
            }
        }
        self.to.flush()?;
        Ok(Ok(()))
    }

    /// Writes the rest and the mark of a whole file; tells what the file holds, txns and sums.
    pub fn end(mut self) -> io::Result<(u64, u64)> {
        // Full: what did not fit was given up, and the end block says so by its counts.
        let _ = self.flush()?;
        let (txns, sums) = self.written;
        self.put(&pack(Kind::End, &wire::end(txns, sums)))?;
        self.to.flush()?;
        Ok((txns, sums))
    }
}
