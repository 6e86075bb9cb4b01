//! Buffered input that can be looked at before it is consumed, and knows its place in the file.

use std::io::{self, Read};

/// How much is read at a time, at least.
const READ_BYTES: usize = 64 << 10;

/// The bytes of a file from the current offset on.
pub struct Input<R: Read> {
    source: R,
    /// What was read and not yet consumed.
    buffer: Vec<u8>,
    /// Where in the file the buffer begins.
    offset: u64,
}

impl<R: Read> Input<R> {
    /// Starts at the beginning of a file.
    pub fn new(source: R) -> Self {
        Input { source, buffer: Vec::new(), offset: 0 }
    }

    /// What was read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Where in the file the buffered bytes begin.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads until so many bytes are buffered; false where the file ends before.
    pub fn fill(&mut self, bytes: usize) -> io::Result<bool> {
        while self.buffer.len() < bytes {
            if self.read_more(bytes - self.buffer.len())? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads once, and returns how many bytes came; 0 at the end of the file.
    fn read_more(&mut self, wanted: usize) -> io::Result<usize> {
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + wanted.max(READ_BYTES), 0);
        let result = loop {
            match self.source.read(&mut self.buffer[buffered..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        self.buffer.truncate(buffered + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Drops buffered bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.buffer.drain(..bytes);
        self.offset += bytes as u64;
    }
}
