//! Follows the relay's event stream: which proxies are joined, and what they have acknowledged.
//!
//! A stream that is silent is kept while another is opened beside it: one that speaks again has missed nothing, and no
//! proxy need be assigned anew. One that ended may have missed any joining or leaving: the next names all joined proxies,
//! and those that it does not name have left. A relay that has moved is followed as soon as it speaks at its new address.

use crate::call_error::CallError;
use crate::client::Peer;
use crate::deployment_names::DeploymentNames;
use crate::event::{Event, EventSender};
use crate::log::LogRateLimit;
use crate::proxy_event::{InvalidEvent, InvalidLine, ProxyEvent};
use crate::timeout::within;
use futures_util::{Stream, StreamExt, TryStreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Bytes;
use hyper::Method;
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

const PATH: &str = "/v3/kv/stream";
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// The relay sends a heartbeat each second. To open another stream in vain costs only an assignment for each proxy.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
const MAX_LINE_BYTES: usize = 64 << 10;
/// Pauses before an attempt to open a stream, by the number of attempts that failed before it.
const BACKOFF: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(240),
];

/// What following the stream needs.
#[derive(Clone)]
pub struct ProxyStreams {
    /// Where the relay is.
    pub address: watch::Receiver<SocketAddr>,
    /// The names of the settings.
    pub names: Rc<DeploymentNames>,
    /// Where the events go.
    pub events: EventSender,
    /// Where to log.
    pub log: Logger,
}

impl ProxyStreams {
    /// Follows the stream for ever.
    pub async fn run(self) {
        Follower::new(self).run().await;
    }
}

type Opening = Pin<Box<dyn Future<Output = Result<ProxyStream, CallError>>>>;

/// Follows one stream, and opens another where that has to be.
struct Follower {
    context: ProxyStreams,
    /// Kept for all attempts at one address: a slow connection comes up for a later attempt.
    peer: Rc<Peer>,
    stream: Option<ProxyStream>,
    opening: Option<Opening>,
    failed_attempts: usize,
    skipped_event_log: LogRateLimit,
}

/// What a follower waits for.
enum Progress {
    /// A line of the stream, or none where it is silent.
    Line(Result<Option<String>, CallError>),
    /// An attempt to open a stream ended.
    Opened(Result<ProxyStream, CallError>),
    /// The relay has a new address.
    Moved,
}

impl Follower {
    fn new(mut context: ProxyStreams) -> Self {
        let peer = Rc::new(Peer::new(*context.address.borrow_and_update()));
        let opening = open_after(Duration::ZERO, &peer);
        Follower {
            context,
            peer,
            stream: None,
            opening: Some(opening),
            failed_attempts: 0,
            skipped_event_log: LogRateLimit::default(),
        }
    }

    async fn run(mut self) {
        loop {
            match self.next().await {
                Progress::Line(Ok(Some(line))) => {
                    if let Err(error) = self.line_received(&line).await {
                        self.stream_lost(&error);
                    }
                }
                Progress::Line(Ok(None)) => self.stream_silent(),
                Progress::Line(Err(error)) => self.stream_lost(&error),
                Progress::Opened(Ok(stream)) => self.stream_opened(stream),
                Progress::Opened(Err(error)) => self.attempt_failed(&error),
                Progress::Moved => self.relay_moved(),
            }
        }
    }

    async fn next(&mut self) -> Progress {
        tokio::select! {
            biased;
            line = next_line(&mut self.stream) => Progress::Line(line),
            opened = next_opened(&mut self.opening) => Progress::Opened(opened),
            Ok(()) = self.context.address.changed() => Progress::Moved,
        }
    }

    async fn line_received(&mut self, line: &str) -> Result<(), CallError> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        if stream.address == self.peer.address && self.opening.take().is_some() {
            info!(self.context.log, "proxy stream recovered");
        }
        match ProxyEvent::decode(line, &self.context.names) {
            Ok(event) => {
                if let Some(event) = stream.track(event) {
                    self.context.events.send(event).await;
                }
                Ok(())
            }
            Err(InvalidLine::InvalidEvent { proxy, reason }) => {
                stream.track_invalid(proxy);
                self.event_skipped(&reason);
                Ok(())
            }
            Err(error @ InvalidLine::NotJson(_)) => Err(CallError::UnusableAnswer(error.into())),
        }
    }

    fn event_skipped(&mut self, reason: &InvalidEvent) {
        if let Some(times) = self.skipped_event_log.record() {
            warn!(self.context.log, "proxy stream event skipped"; "why" => %reason, "times" => times);
        }
    }

    fn stream_silent(&mut self) {
        if self.opening.is_none() {
            warn!(self.context.log, "proxy stream silent"; "seconds" => SILENCE_TIMEOUT.as_secs_f32());
            self.opening = Some(open_after(Duration::ZERO, &self.peer));
        }
    }

    fn stream_opened(&mut self, stream: ProxyStream) {
        info!(self.context.log, "proxy stream connected");
        self.stream = Some(stream);
        self.opening = None;
        self.failed_attempts = 0;
    }

    fn attempt_failed(&mut self, error: &CallError) {
        if self.failed_attempts == 0 {
            warn!(self.context.log, "proxy stream connect failed"; "why" => #error);
        }
        self.failed_attempts += 1;
        let pause = BACKOFF[self.failed_attempts.min(BACKOFF.len() - 1)];
        self.opening = Some(open_after(pause, &self.peer));
    }

    fn relay_moved(&mut self) {
        self.peer = Rc::new(Peer::new(*self.context.address.borrow_and_update()));
        self.opening = Some(open_after(Duration::ZERO, &self.peer));
        self.failed_attempts = 0;
    }

    /// Drops the stream and opens another, whatever attempt is under way: a connection that was reset shows that the
    /// relay is back, and the attempt may hang.
    fn stream_lost(&mut self, error: &CallError) {
        warn!(self.context.log, "proxy stream lost"; "why" => #error);
        self.stream = None;
        self.opening = Some(open_after(BACKOFF[0], &self.peer));
        self.failed_attempts = 0;
    }
}

/// The next line of the stream; pending where there is no stream.
async fn next_line(stream: &mut Option<ProxyStream>) -> Result<Option<String>, CallError> {
    match stream {
        Some(stream) => stream.next_line().await,
        None => pending().await,
    }
}

/// The end of the attempt to open a stream; pending where there is no attempt.
async fn next_opened(opening: &mut Option<Opening>) -> Result<ProxyStream, CallError> {
    match opening {
        Some(opening) => opening.await,
        None => pending().await,
    }
}

fn open_after(pause: Duration, peer: &Rc<Peer>) -> Opening {
    let peer = peer.clone();
    Box::pin(async move {
        sleep(pause).await;
        ProxyStream::open(&peer).await
    })
}

type Chunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;
type Lines = FramedRead<StreamReader<Chunks, Bytes>, LinesCodec>;

/// An open stream that has sent its first line.
struct ProxyStream {
    address: SocketAddr,
    lines: Lines,
    /// The first line, until it is read.
    first_line: Option<String>,
    /// The proxies that the stream has named as joined, until its first heartbeat completes them.
    snapshot: Option<BTreeSet<u32>>,
}

impl ProxyStream {
    /// Opens a stream and waits for its first line.
    async fn open(peer: &Peer) -> Result<Self, CallError> {
        let response = peer.send(Method::GET, PATH, Bytes::new(), RESPONSE_TIMEOUT).await?;
        if !response.status().is_success() {
            return Err(CallError::Rejected(format!("status {}", response.status()).into()));
        }
        let chunks: Chunks = Box::pin(BodyDataStream::new(response.into_body()).map_err(io::Error::other));
        let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
        let mut lines = FramedRead::new(StreamReader::new(chunks), codec);
        let Some(first_line) = read_line(&mut lines).await? else {
            return Err(CallError::NoAnswer("no first line".into()));
        };
        Ok(ProxyStream {
            address: peer.address,
            lines,
            first_line: Some(first_line),
            snapshot: Some(BTreeSet::new()),
        })
    }

    /// The next line; nothing where the stream is silent.
    async fn next_line(&mut self) -> Result<Option<String>, CallError> {
        match self.first_line.take() {
            Some(first_line) => Ok(Some(first_line)),
            None => read_line(&mut self.lines).await,
        }
    }

    /// Keeps the snapshot in step with an event; returns what the control loop has to know of it.
    fn track(&mut self, event: ProxyEvent) -> Option<Event> {
        match event {
            ProxyEvent::Blank => None,
            ProxyEvent::Heartbeat => self.snapshot.take().map(|joined| Event::ProxySnapshot { joined }),
            ProxyEvent::Joined { proxy, zone, rate, fresh } => {
                if let Some(snapshot) = &mut self.snapshot {
                    snapshot.insert(proxy);
                }
                Some(Event::ProxyJoined { proxy, zone, rate, fresh })
            }
            ProxyEvent::Left { proxy } => {
                if let Some(snapshot) = &mut self.snapshot {
                    snapshot.remove(&proxy);
                }
                Some(Event::ProxyLeft { proxy })
            }
            ProxyEvent::Acknowledged { proxy, number } => Some(Event::Acknowledged { proxy, number }),
        }
    }

    /// A proxy with an invalid event is not missing. An event that does not name its proxy may be about any, so the
    /// snapshot is given up.
    fn track_invalid(&mut self, proxy: Option<u32>) {
        match (proxy, &mut self.snapshot) {
            (Some(proxy), Some(snapshot)) => {
                snapshot.insert(proxy);
            }
            (Some(_), None) => {}
            (None, _) => self.snapshot = None,
        }
    }
}

/// The next line; nothing where none comes in time.
async fn read_line(lines: &mut Lines) -> Result<Option<String>, CallError> {
    match within(SILENCE_TIMEOUT, lines.next()).await {
        None => Ok(None),
        Some(None) => Err(CallError::UnusableAnswer("ended".into())),
        Some(Some(Ok(line))) => Ok(Some(line)),
        Some(Some(Err(error))) => Err(CallError::UnusableAnswer(error.into())),
    }
}
