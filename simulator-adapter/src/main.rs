//! Runs controller instances for the simulator. The protocol is one JSON message per line: a batch of
//! messages is read from standard input and answered with one reply on standard output. An invalid line is
//! logged to standard error and skipped.

mod adapter;
mod decode;
mod encode;
mod wire_host;

use adapter::{Adapter, BatchState};
use std::io::{self, BufRead, Write};

const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> io::Result<()> {
    let mut adapter = Adapter::default();
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match adapter.handle_line(&line) {
            Ok(BatchState::Incomplete) => {}
            Ok(BatchState::Complete) => {
                output.write_all(&adapter.take_reply())?;
                output.flush()?;
            }
            Err(error) => eprintln!("otterwinch-simulator-adapter: line skipped: {error}"),
        }
    }
}
