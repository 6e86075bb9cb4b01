//! A small HTTP server whose answers can be truncated, split, repeated or withheld.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;
use std::time::Duration;

const BYTES_OF_A_PIECE: usize = 9;

/// What a connection does after a request.
#[derive(PartialEq)]
pub enum Connection {
    ReadsNextRequest,
    /// The server does not read from it any more. It is closed unless somebody else holds it.
    IsDropped,
}

/// A request.
pub struct HttpRequest {
    /// Method, path and version.
    pub first_line: String,
    pub body: Vec<u8>,
}

/// Serves on an address of its own for ever, with a thread for each connection.
pub fn spawn_http_server(
    serve: impl Fn(&HttpRequest, &mut TcpStream) -> Connection + Clone + Send + 'static,
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

fn serve_connection(mut stream: TcpStream, serve: impl Fn(&HttpRequest, &mut TcpStream) -> Connection) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = read_request(&mut reader) {
        if serve(&request, &mut stream) == Connection::IsDropped {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut first_line = String::new();
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
        if first_line.is_empty() {
            first_line = line;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { first_line, body })
}

/// The bytes of an answer.
pub fn answer_text(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

pub fn send_answer(stream: &mut TcpStream, status: &str, body: &str) {
    let _ = stream.write_all(answer_text(status, body).as_bytes());
}

/// Sends an answer a few bytes at a time.
pub fn send_answer_in_pieces(stream: &mut TcpStream, body: &str) {
    let _ = stream.set_nodelay(true);
    for piece in answer_text("200 OK", body).as_bytes().chunks(BYTES_OF_A_PIECE) {
        let _ = stream.write_all(piece).and_then(|()| stream.flush());
    }
}

/// Sends the same answer twice.
pub fn send_answer_twice(stream: &mut TcpStream, body: &str) {
    let _ = stream.write_all(answer_text("200 OK", body).repeat(2).as_bytes());
}

/// Sends the first bytes of an answer, at most all but one, and closes the connection.
pub fn send_truncated_answer(stream: &mut TcpStream, body: &str, bytes: usize) {
    let text = answer_text("200 OK", body);
    let _ = stream.write_all(&text.as_bytes()[..bytes.min(text.len() - 1)]);
    let _ = stream.shutdown(Shutdown::Both);
}

/// The connection is reset as soon as its last descriptor is closed.
pub fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Sends a chunk of a chunked body; false where the peer has left.
pub fn send_chunk(stream: &mut TcpStream, text: &str) -> bool {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}
