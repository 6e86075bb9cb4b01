//! A minimal HTTP server whose responses can be truncated, fragmented, sent twice or withheld.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;
use std::time::Duration;

/// The size of the writes that a fragmented response is split into.
const FRAGMENT_BYTES: usize = 9;

/// What the server does with a connection after it has handled a request.
#[derive(PartialEq)]
pub enum ConnectionAction {
    ReadNextRequest,
    /// Reads no further request and drops the stream. The connection stays open while a clone of the stream
    /// exists.
    StopReading,
}

/// A parsed request. Headers other than the content length are ignored.
pub struct HttpRequest {
    /// Method, path and HTTP version.
    pub request_line: String,
    pub body: Vec<u8>,
}

/// Starts a server on an unused loopback port and returns its address. It has a thread for each connection
/// and runs until the process ends.
pub fn spawn_http_server(
    serve: impl Fn(&HttpRequest, &mut TcpStream) -> ConnectionAction + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            spawn(move || serve_connection(stream, serve));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, serve: impl Fn(&HttpRequest, &mut TcpStream) -> ConnectionAction) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        if serve(&request, &mut stream) == ConnectionAction::StopReading {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut request_line = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if request_line.is_empty() {
            request_line = line;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { request_line, body })
}

/// Encodes a response, head and body.
pub fn encode_response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

pub fn send_response(stream: &mut TcpStream, status: &str, body: &str) {
    let _ = stream.write_all(encode_response(status, body).as_bytes());
}

/// Sends a response a few bytes at a time.
pub fn send_fragmented_response(stream: &mut TcpStream, body: &str) {
    let _ = stream.set_nodelay(true);
    for fragment in encode_response("200 OK", body).as_bytes().chunks(FRAGMENT_BYTES) {
        let _ = stream.write_all(fragment).and_then(|()| stream.flush());
    }
}

/// Sends the same response twice.
pub fn send_response_twice(stream: &mut TcpStream, body: &str) {
    let _ = stream.write_all(encode_response("200 OK", body).repeat(2).as_bytes());
}

/// Sends only the first `bytes` bytes of a response, at most all but the last, and closes the connection.
pub fn send_truncated_response(stream: &mut TcpStream, body: &str, bytes: usize) {
    let text = encode_response("200 OK", body);
    let _ = stream.write_all(&text.as_bytes()[..bytes.min(text.len() - 1)]);
    let _ = stream.shutdown(Shutdown::Both);
}

/// Makes the connection end with a reset, as soon as its last file descriptor is closed.
pub fn enable_reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Sends one chunk of a chunked body. Returns false if it could not be written.
pub fn send_chunk(stream: &mut TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}
