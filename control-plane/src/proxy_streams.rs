//! Follows the relay's event stream, which reports the joined proxies and their acknowledgements. The log
//! calls it the proxy stream.
//!
//! A silent stream (no line for [`SILENCE_TIMEOUT`]) is kept while another is opened in parallel. If the
//! silent stream resumes, it has missed nothing and no proxy needs to be reassigned. After a stream has
//! ended, any join or leave may have been missed: the next stream lists all joined proxies, and those that it
//! does not list have left. When the relay's address changes, the old stream is used until a line has arrived
//! from the new address.

use crate::call_error::CallError;
use crate::client::PeerClient;
use crate::deployment_names::DeploymentNames;
use crate::event::EventSender;
use crate::log::LogRateLimit;
use crate::proxy_event::{InvalidEvent, InvalidLine, ProxyEvent};
use crate::proxy_stream_connection::{ProxyStream, SILENCE_TIMEOUT};
use crate::turn_budget::TurnBudget;
use slog::{info, warn, Logger};
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Delays before an attempt to open a stream. Entry 0 follows a lost stream, entry n the nth failed attempt
/// in a row; the last one repeats.
const BACKOFF: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(240),
];

/// The task that follows the event stream. It is cloned for each restart after a panic.
#[derive(Clone)]
pub struct ProxyStreamTask {
    /// The relay's address.
    pub address: watch::Receiver<SocketAddr>,
    /// The zones, request classes and proxies in the configuration.
    pub names: Rc<DeploymentNames>,
    /// Sends events to the control loop.
    pub events: EventSender,
    /// The log.
    pub log: Logger,
}

impl ProxyStreamTask {
    /// Follows the stream forever.
    pub async fn run(self) {
        Follower::new(self).run().await;
    }
}

type OpenAttempt = Pin<Box<dyn Future<Output = Result<ProxyStream, CallError>>>>;

/// Follows one stream, and opens another when it is silent or lost or the relay has moved.
struct Follower {
    /// The parameters and channels of the task.
    context: ProxyStreamTask,
    /// Shared by all attempts at one address, so that a connection still being established when an attempt
    /// times out can serve a later one.
    client: Rc<PeerClient>,
    stream: Option<ProxyStream>,
    open_attempt: Option<OpenAttempt>,
    failed_attempts: usize,
    skipped_event_log: LogRateLimit,
}

/// The events that a follower waits for.
enum FollowerEvent {
    /// A line arrived, or the stream is silent (`None`) or lost.
    StreamRead(Result<Option<String>, CallError>),
    /// An attempt to open a stream ended.
    AttemptEnded(Result<ProxyStream, CallError>),
    /// The relay has a new address.
    RelayMoved,
}

impl Follower {
    fn new(mut context: ProxyStreamTask) -> Self {
        let client = Rc::new(PeerClient::new(*context.address.borrow_and_update()));
        let open_attempt = open_after(Duration::ZERO, &client, context.names.proxy_count);
        Follower {
            context,
            client,
            stream: None,
            open_attempt: Some(open_attempt),
            failed_attempts: 0,
            skipped_event_log: LogRateLimit::default(),
        }
    }

    async fn run(mut self) {
        let mut turn = TurnBudget::default();
        loop {
            match self.next_event().await {
                FollowerEvent::StreamRead(Ok(Some(line))) => {
                    turn.spend(line.len()).await;
                    if let Err(error) = self.line_received(&line).await {
                        self.stream_lost(&error);
                    }
                }
                FollowerEvent::StreamRead(Ok(None)) => self.stream_silent(),
                FollowerEvent::StreamRead(Err(error)) => self.stream_lost(&error),
                FollowerEvent::AttemptEnded(Ok(stream)) => self.stream_opened(stream),
                FollowerEvent::AttemptEnded(Err(error)) => self.attempt_failed(&error),
                FollowerEvent::RelayMoved => self.relay_moved(),
            }
        }
    }

    async fn next_event(&mut self) -> FollowerEvent {
        tokio::select! {
            biased;
            line = next_line(&mut self.stream) => FollowerEvent::StreamRead(line),
            result = await_open_attempt(&mut self.open_attempt) => FollowerEvent::AttemptEnded(result),
            Ok(()) = self.context.address.changed() => FollowerEvent::RelayMoved,
        }
    }

    async fn line_received(&mut self, line: &str) -> Result<(), CallError> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        // The stream has resumed: drop the attempt to replace it.
        if stream.address == self.client.address && self.open_attempt.take().is_some() {
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
                self.log_skipped_event(&reason);
                Ok(())
            }
            Err(error @ InvalidLine::NotJson(_)) => Err(CallError::InvalidData(error.into())),
        }
    }

    fn log_skipped_event(&mut self, reason: &InvalidEvent) {
        if let Some(times) = self.skipped_event_log.record() {
            warn!(self.context.log, "proxy stream event skipped"; "why" => %reason, "times" => times);
        }
    }

    fn open_after(&self, delay: Duration) -> OpenAttempt {
        open_after(delay, &self.client, self.context.names.proxy_count)
    }

    fn stream_silent(&mut self) {
        if self.open_attempt.is_none() {
            warn!(self.context.log, "proxy stream silent"; "seconds" => SILENCE_TIMEOUT.as_secs_f32());
            self.open_attempt = Some(self.open_after(Duration::ZERO));
        }
    }

    fn stream_opened(&mut self, stream: ProxyStream) {
        info!(self.context.log, "proxy stream connected");
        self.stream = Some(stream);
        self.open_attempt = None;
        self.failed_attempts = 0;
    }

    fn attempt_failed(&mut self, error: &CallError) {
        if self.failed_attempts == 0 {
            warn!(self.context.log, "proxy stream connect failed"; "why" => #error);
        }
        self.failed_attempts += 1;
        let delay = BACKOFF[self.failed_attempts.min(BACKOFF.len() - 1)];
        self.open_attempt = Some(self.open_after(delay));
    }

    fn relay_moved(&mut self) {
        self.client = Rc::new(PeerClient::new(*self.context.address.borrow_and_update()));
        self.open_attempt = Some(self.open_after(Duration::ZERO));
        self.failed_attempts = 0;
    }

    /// Drops the stream and opens another, even if an attempt is already in progress: the end of the stream,
    /// a reset or an unusable line shows that the relay is reachable again, while the earlier attempt may
    /// hang.
    fn stream_lost(&mut self, error: &CallError) {
        warn!(self.context.log, "proxy stream lost"; "why" => #error);
        self.stream = None;
        self.open_attempt = Some(self.open_after(BACKOFF[0]));
        self.failed_attempts = 0;
    }
}

/// Waits for the next line of the stream; stays pending if there is no stream.
async fn next_line(stream: &mut Option<ProxyStream>) -> Result<Option<String>, CallError> {
    match stream {
        Some(stream) => stream.next_line().await,
        None => pending().await,
    }
}

/// Waits for the attempt to open a stream to end; stays pending if there is no attempt.
async fn await_open_attempt(open_attempt: &mut Option<OpenAttempt>) -> Result<ProxyStream, CallError> {
    match open_attempt {
        Some(open_attempt) => open_attempt.await,
        None => pending().await,
    }
}

fn open_after(delay: Duration, client: &Rc<PeerClient>, proxy_count: u32) -> OpenAttempt {
    let client = client.clone();
    Box::pin(async move {
        sleep(delay).await;
        ProxyStream::open(&client, proxy_count).await
    })
}
