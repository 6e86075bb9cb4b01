//! Frames of the control plane's protocol: the length in bytes of a JSON text as a 32-bit big-endian integer,
//! then the text.

use serde_json::Value;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Writes one frame with a JSON value.
pub(crate) async fn write_frame(stream: &mut TcpStream, value: &Value) -> io::Result<()> {
    let text = value.to_string();
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    stream.write_all(&bytes).await
}

/// Reads the header of a frame, and returns the length of its text in bytes. The text stays unread.
pub(crate) async fn read_frame_length(stream: &mut TcpStream) -> io::Result<u32> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    Ok(u32::from_be_bytes(length))
}
