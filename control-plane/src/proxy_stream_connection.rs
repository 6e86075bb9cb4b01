//! One connection to the relay's event stream, with the snapshot of joined proxies that the stream starts
//! with.

use crate::call_error::CallError;
use crate::client::PeerClient;
use crate::event::Event;
use crate::proxy_event::ProxyEvent;
use crate::proxy_snapshot::ProxySnapshot;
use crate::timeout::timeout_with_grace;
use futures_util::{Stream, StreamExt, TryStreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Bytes;
use hyper::Method;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

const PATH: &str = "/v3/kv/stream";
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// The relay sends a heartbeat every second. Opening another stream unnecessarily costs only one assignment
/// per proxy.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
const MAX_LINE_BYTES: usize = 64 << 10;

type Chunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;
type Lines = FramedRead<StreamReader<Chunks, Bytes>, LinesCodec>;

/// An open stream on which the first line has arrived.
pub struct ProxyStream {
    /// The relay's address when the stream was opened.
    pub address: SocketAddr,
    lines: Lines,
    /// The first line, until [`ProxyStream::next_line`] returns it.
    first_line: Option<String>,
    snapshot: ProxySnapshot,
}

impl ProxyStream {
    /// Opens a stream and waits for its first line. The proxies have the numbers below `proxy_count`.
    ///
    /// # Errors
    /// The relay can't be reached, rejects the request, or does not send a line in time.
    pub async fn open(client: &PeerClient, proxy_count: u32) -> Result<Self, CallError> {
        let response = client.send(Method::GET, PATH, Bytes::new(), RESPONSE_TIMEOUT).await?;
        if !response.status().is_success() {
            return Err(CallError::Rejected(format!("response status {}", response.status()).into()));
        }
        let chunks: Chunks = Box::pin(BodyDataStream::new(response.into_body()).map_err(io::Error::other));
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let mut lines = FramedRead::new(StreamReader::new(chunks), codec);
        let Some(first_line) = read_line(&mut lines).await? else {
            let text = format!("no line within {} ms of opening the stream", SILENCE_TIMEOUT.as_millis());
            return Err(CallError::NoResponse(text.into()));
        };
        Ok(ProxyStream {
            address: client.address,
            lines,
            first_line: Some(first_line),
            snapshot: ProxySnapshot::new(proxy_count),
        })
    }

    /// Returns the next line, or `None` if none arrives within [`SILENCE_TIMEOUT`]. Cancellation-safe: no
    /// line is lost.
    ///
    /// # Errors
    /// The stream ended, or a line is too long or not valid UTF-8.
    pub async fn next_line(&mut self) -> Result<Option<String>, CallError> {
        match self.first_line.take() {
            Some(first_line) => Ok(Some(first_line)),
            None => read_line(&mut self.lines).await,
        }
    }

    /// Updates the snapshot with an event, and returns the event to send to the control loop, if any.
    pub fn track(&mut self, event: ProxyEvent) -> Option<Event> {
        match event {
            ProxyEvent::Blank => None,
            ProxyEvent::Heartbeat => self.snapshot.complete().map(|joined| Event::ProxySnapshot { joined }),
            ProxyEvent::Joined { proxy, zone, rate, has_initial_table } => {
                self.snapshot.insert(proxy);
                Some(Event::ProxyJoined { proxy, zone, rate, has_initial_table })
            }
            ProxyEvent::Left { proxy } => {
                self.snapshot.remove(proxy);
                Some(Event::ProxyLeft { proxy })
            }
            ProxyEvent::Acknowledged { proxy, number } => Some(Event::Acknowledged { proxy, number }),
        }
    }

    /// Updates the snapshot with an invalid event. The proxy that it names counts as joined; an event that
    /// does not name its proxy could be about any proxy and invalidates the snapshot.
    pub fn track_invalid(&mut self, proxy: Option<u32>) {
        match proxy {
            Some(proxy) => self.snapshot.insert(proxy),
            None => self.snapshot.invalidate(),
        }
    }
}

/// Returns the next line, or `None` if none arrives within [`SILENCE_TIMEOUT`].
async fn read_line(lines: &mut Lines) -> Result<Option<String>, CallError> {
    match timeout_with_grace(SILENCE_TIMEOUT, lines.next()).await {
        None => Ok(None),
        Some(None) => Err(CallError::InvalidData("stream ended".into())),
        Some(Some(Ok(line))) => Ok(Some(line)),
        Some(Some(Err(error))) => Err(CallError::InvalidData(error.into())),
    }
}
