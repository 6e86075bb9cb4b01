//! The reading end: one block at a time, so that memory does not grow with the file. What can't be read is named with
//! its place and passed over.

use crate::block::{head, unpack, Kind, HEAD, MAGIC, MARK};
use crate::record::{Start, Sum, Txn};
use crate::wire;
use std::fmt;
use std::io::{self, Read};

/// What a file yields, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    Txns(Vec<Txn>),
    Sums(Vec<Sum>),
    Amiss(Amiss),
}

/// What could not be read, with the byte of the file at which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Amiss {
    /// A block was passed over.
    Spoilt { at: u64, why: String },
    /// Bytes that are no block were passed over.
    Strange { at: u64, bytes: u64 },
    /// The file ends here without its end block: what came after the last whole block is missing.
    CutOff { at: u64, within_a_block: bool },
    /// The end block counts other records than were read.
    Miscounted { txns: (u64, u64), sums: (u64, u64) },
}

impl fmt::Display for Amiss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Amiss::Spoilt { at, why } => write!(f, "the block at byte {at} is left out: {why}"),
            Amiss::Strange { at, bytes } => {
                write!(f, "{bytes} bytes at byte {at} are no block and are left out")
            }
            Amiss::CutOff { at, within_a_block: true } => {
                write!(f, "the file was cut off within the block at byte {at}; what came later is missing")
            }
            Amiss::CutOff { at, .. } => {
                write!(f, "the file ends at byte {at} without its end: more may be missing")
            }
            Amiss::Miscounted { txns, sums } => {
                write!(f, "{} of {} txns and {} of {} sums could be read", txns.0, txns.1, sums.0, sums.1)
            }
        }
    }
}

pub struct Reader<R: Read> {
    from: R,
    /// What was read and not yet used, and where in the file it stands.
    window: Vec<u8>,
    at: u64,
    start: Start,
    read: (u64, u64),
    ended: bool,
    done: bool,
}

/// A block's kind and what is inside; a kind that this version does not know has none.
type Block = Result<(Option<Kind>, Vec<u8>), Amiss>;

/// How much is read at a time.
const STEP: usize = 64 << 10;

impl<R: Read> Reader<R> {
    /// Opens a file; fails where it is none of ours, or its first block can't be read.
    pub fn open(from: R) -> io::Result<Self> {
        let start = Start::default();
        let mut reader =
            Reader { from, window: Vec::new(), at: 0, start, read: (0, 0), ended: false, done: false };
        let unfit = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
        reader.fill(MAGIC.len() + HEAD)?;
        if !reader.window.starts_with(MAGIC) {
            let newer = reader.window.starts_with(&MAGIC[..7]);
            return Err(unfit(if newer {
                "captured load of a newer version than this program reads".into()
            } else {
                "no captured load: it does not begin with OTWLOAD1".into()
            }));
        }
        reader.pass(MAGIC.len());
        let opens = match reader.block()? {
            Some(Ok((Some(Kind::Start), inside))) => wire::read_start(&inside).map_err(unfit)?,
            _ => return Err(unfit("its first block, which names products and halls, can't be read".into())),
        };
        reader.start = opens;
        Ok(reader)
    }

    pub fn start(&self) -> &Start {
        &self.start
    }

    /// Reads until the window holds so many bytes; tells whether it does.
    fn fill(&mut self, bytes: usize) -> io::Result<bool> {
        while self.window.len() < bytes {
            let had = self.window.len();
            self.window.resize(had + STEP.max(bytes - had), 0);
            let got = loop {
                match self.from.read(&mut self.window[had..]) {
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    got => break got,
                }
            };
            match got {
                Ok(got) => self.window.truncate(had + got),
                Err(e) => {
                    self.window.truncate(had);
                    return Err(e);
                }
            }
            if self.window.len() == had {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn pass(&mut self, bytes: usize) {
        self.window.drain(..bytes);
        self.at += bytes as u64;
    }

    /// The next block: nothing at the end of the file, an `Amiss` where it can't be had.
    fn block(&mut self) -> io::Result<Option<Block>> {
        if !self.fill(HEAD)? {
            if self.window.is_empty() {
                return Ok(None);
            }
            return Ok(Some(Err(self.cut_off(true))));
        }
        let Some(head) = head(&self.window) else { return self.strange().map(Some) };
        if !self.fill(HEAD + head.stored)? {
            return Ok(Some(Err(self.cut_off(true))));
        }
        let at = self.at;
        let inside = unpack(&head, &self.window[HEAD..HEAD + head.stored]);
        self.pass(HEAD + head.stored);
        Ok(Some(match inside {
            Ok(inside) => Ok((head.kind, inside)),
            Err(why) => Err(Amiss::Spoilt { at, why }),
        }))
    }

    fn cut_off(&mut self, within_a_block: bool) -> Amiss {
        self.done = true;
        Amiss::CutOff { at: self.at, within_a_block }
    }

    /// Finds the next head behind bytes that are none.
    fn strange(&mut self) -> io::Result<Block> {
        let (at, mut passed) = (self.at, 0);
        loop {
            // The first byte was looked at already.
            let found =
                self.window.windows(HEAD).skip(1).position(|w| w.starts_with(&MARK) && head(w).is_some());
            if let Some(found) = found {
                self.pass(found + 1);
                passed += found as u64 + 1;
                return Ok(Err(Amiss::Strange { at, bytes: passed }));
            }
            let keep = self.window.len().min(HEAD - 1);
            let seen = self.window.len() - keep;
            self.pass(seen);
            passed += seen as u64;
            let had = self.window.len();
            if !self.fill(had + 1)? {
                self.pass(had);
                return Ok(Err(Amiss::Strange { at, bytes: passed + had as u64 }));
            }
            // What was kept may now be the beginning of a head.
            if head(&self.window).is_some() {
                return Ok(Err(Amiss::Strange { at, bytes: passed }));
            }
        }
    }

    fn understood(&mut self, kind: Kind, inside: &[u8], at: u64) -> Option<Piece> {
        let spoilt = |why| Some(Piece::Amiss(Amiss::Spoilt { at, why }));
        match kind {
            Kind::Txns => match wire::read_txns(inside, &self.start) {
                Ok(txns) => {
                    self.read.0 += txns.len() as u64;
                    Some(Piece::Txns(txns))
                }
                Err(why) => spoilt(why),
            },
            Kind::Sums => match wire::read_sums(inside, &self.start) {
                Ok(sums) => {
                    self.read.1 += sums.len() as u64;
                    Some(Piece::Sums(sums))
                }
                Err(why) => spoilt(why),
            },
            Kind::End => {
                self.ended = true;
                let (txns, sums) = match wire::read_end(inside) {
                    Ok(counts) => counts,
                    Err(why) => return spoilt(why),
                };
                let told = (txns, sums) == self.read;
                let (txns, sums) = ((self.read.0, txns), (self.read.1, sums));
                (!told).then_some(Piece::Amiss(Amiss::Miscounted { txns, sums }))
            }
            Kind::Start => spoilt("a file opens once".into()),
        }
    }

    /// The next piece, or what the file's medium said instead of bytes.
    pub fn read(&mut self) -> io::Result<Option<Piece>> {
        while !self.done {
            let at = self.at;
            match self.block()? {
                None => {
                    self.done = true;
                    if !self.ended {
                        return Ok(Some(Piece::Amiss(self.cut_off(false))));
                    }
                }
                Some(Err(amiss)) => return Ok(Some(Piece::Amiss(amiss))),
                Some(Ok((None, _))) => {}
                Some(Ok((Some(kind), inside))) => {
                    if let Some(piece) = self.understood(kind, &inside, at) {
                        return Ok(Some(piece));
                    }
                }
            }
        }
        Ok(None)
    }
}

/// A medium that fails ends the reading as a file that was cut off does.
impl<R: Read> Iterator for Reader<R> {
    type Item = Piece;

    fn next(&mut self) -> Option<Piece> {
        match self.read() {
            Ok(piece) => piece,
            Err(e) => {
                self.done = true;
                Some(Piece::Amiss(Amiss::Spoilt { at: self.at, why: format!("it can't be read: {e}") }))
            }
        }
    }
}
