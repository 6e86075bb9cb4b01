//! Buffered input with lookahead that tracks its offset in the file.

use std::io::{self, Read};

/// Minimum buffer size of a read call.
const MIN_READ_BYTES: usize = 64 << 10;

/// Reads a file through a buffer whose bytes can be examined before they are consumed.
pub struct BufferedInput<R: Read> {
    source: R,
    /// Bytes that have been read and not yet consumed.
    buffer: Vec<u8>,
    /// The file offset of the first byte in the buffer.
    offset: u64,
}

impl<R: Read> BufferedInput<R> {
    /// Creates an input; `source` must be at the start of the file.
    pub fn new(source: R) -> Self {
        BufferedInput { source, buffer: Vec::new(), offset: 0 }
    }

    /// The bytes that have been read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// The file offset of the first buffered byte.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads until at least this many bytes are buffered. Returns false if the file ends first.
    pub fn fill(&mut self, min_bytes: usize) -> io::Result<bool> {
        while self.buffer.len() < min_bytes {
            if self.read_more(min_bytes - self.buffer.len())? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads once, and returns the number of bytes read, which is 0 at the end of the file.
    fn read_more(&mut self, min_bytes: usize) -> io::Result<usize> {
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + min_bytes.max(MIN_READ_BYTES), 0);
        let result = loop {
            match self.source.read(&mut self.buffer[buffered..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        self.buffer.truncate(buffered + *result.as_ref().unwrap_or(&0));
        result
    }

    /// Discards bytes from the start of the buffer.
    pub fn consume(&mut self, bytes: usize) {
        self.buffer.drain(..bytes);
        self.offset += bytes as u64;
    }
}
