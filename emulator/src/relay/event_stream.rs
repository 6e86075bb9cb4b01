//! The stream of events from the relay to a control-plane process.

use super::{RelayServer, ResponseBody};
use crate::sync::lock;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame};
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc};
use tokio::time::interval;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;

/// The time between heartbeats, which show that the stream is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A line without an event. The first one marks the end of the proxies that were connected before the stream
/// was opened.
const HEARTBEAT: &str = "{}\n";
/// The number of lines that a response body queues until they are written.
const MAX_QUEUED_LINES: usize = 64;

/// Opens a stream: first the connected proxies, then events as they occur.
pub(super) fn open(server: &Arc<RelayServer>) -> Response<ResponseBody> {
    let (lines, body_lines) = mpsc::channel(MAX_QUEUED_LINES);
    let events = server.events.subscribe();
    let server = server.clone();
    tokio::spawn(async move {
        // Fails when the reader has disconnected, which ends the stream.
        let _ = write(&server, events, lines).await;
    });
    let frames = ReceiverStream::new(body_lines).map(|line| Ok(Frame::data(Bytes::from(line))));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

async fn write(
    server: &RelayServer,
    mut events: broadcast::Receiver<String>,
    lines: mpsc::Sender<String>,
) -> Result<(), mpsc::error::SendError<String>> {
    let join_events: Vec<String> = lock(&server.join_events).values().cloned().collect();
    for line in join_events {
        lines.send(line).await?;
    }
    lines.send(HEARTBEAT.to_owned()).await?;
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    loop {
        let line = tokio::select! {
            event = events.recv() => match event {
                Ok(line) => line,
                // The reader lags too far behind: end its stream. It gets the current state when it
                // reconnects.
                Err(_) => return Ok(()),
            },
            _ = heartbeat.tick() => HEARTBEAT.to_owned(),
        };
        lines.send(line).await?;
    }
}
