//! The emulated relay, with the published protocol: accepts the commands of a control-plane process and
//! streams events to it, namely which proxies join and leave and what they acknowledge.
//!
//! `commands.rs` decodes the commands, `event_stream.rs` serves the stream.

mod commands;
mod event_stream;

use crate::http::serve_connection;
use crate::network::{Listener, Network, Stream};
use crate::proxy_channel::{Acknowledgement, JoinedProxy, ProxyChannel};
use crate::sync::lock;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::{broadcast, mpsc};

/// The path of the event stream.
const EVENTS_PATH: &str = "/v3/kv/stream";
/// The path that accepts batches of commands.
const COMMANDS_PATH: &str = "/v3/kv/batches";
/// The number of events that a reader of the stream may lag behind before its stream is ended.
const MAX_EVENT_LAG: usize = 8_192;

type ResponseBody = BoxBody<Bytes, Infallible>;

/// The names that the protocol uses for the endpoints, request classes and zones of the fleet.
pub(crate) struct FleetNames {
    /// Endpoint indices by name.
    pub(crate) endpoints: BTreeMap<String, u32>,
    /// In the fleet's order.
    pub(crate) request_classes: Vec<String>,
    /// In the fleet's order.
    pub(crate) zones: Vec<String>,
}

/// A running relay.
pub(crate) struct Relay {
    /// The address that it listens on.
    pub(crate) address: String,
    server: Arc<RelayServer>,
}

struct RelayServer {
    channel: Arc<ProxyChannel>,
    names: FleetNames,
    /// Sends lines to all readers of the stream.
    events: broadcast::Sender<String>,
    /// By proxy number: the line that announced each connected proxy.
    join_events: Mutex<BTreeMap<u32, String>>,
}

impl Relay {
    /// Starts a relay for the proxies of a channel on a new address.
    pub(crate) fn start(
        network: &Network,
        channel: Arc<ProxyChannel>,
        acknowledgements: mpsc::UnboundedReceiver<Acknowledgement>,
        names: FleetNames,
    ) -> io::Result<Relay> {
        let (listener, address) = network.listen("relay")?;
        let (events, _) = broadcast::channel(MAX_EVENT_LAG);
        let server = Arc::new(RelayServer { channel, names, events, join_events: Mutex::default() });
        tokio::spawn(accept(listener, server.clone()));
        tokio::spawn(broadcast_acknowledgements(acknowledgements, server.clone()));
        Ok(Relay { address, server })
    }

    /// Connects a proxy to the channel and announces it on the stream.
    pub(crate) fn join(&self, proxy: JoinedProxy) {
        let zone = &self.server.names.zones[proxy.zone as usize];
        let object = json!({
            "node": proxy.number,
            "locality": zone,
            "w": proxy.expected_rate,
            "cold": proxy.has_initial_table,
        });
        let line = event_line("hello", object);
        self.server.channel.connect(proxy.number);
        lock(&self.server.join_events).insert(proxy.number, line.clone());
        self.server.broadcast(line);
    }

    /// Disconnects a proxy from the channel and announces that on the stream.
    pub(crate) fn leave(&self, proxy: u32) {
        self.server.channel.disconnect(proxy);
        lock(&self.server.join_events).remove(&proxy);
        self.server.broadcast(event_line("bye", json!({"node": proxy})));
    }
}

async fn broadcast_acknowledgements(
    mut acknowledgements: mpsc::UnboundedReceiver<Acknowledgement>,
    server: Arc<RelayServer>,
) {
    while let Some(Acknowledgement { number, proxy, latency }) = acknowledgements.recv().await {
        let latency_ms = latency.as_secs_f64() * 1e3;
        server.broadcast(event_line("ack", json!({"node": proxy, "nonce": number, "latency": latency_ms})));
    }
}

async fn accept(mut listener: Listener, server: Arc<RelayServer>) {
    while let Ok(stream) = listener.accept().await {
        tokio::spawn(serve(stream, server.clone()));
    }
}

async fn serve(stream: Stream, server: Arc<RelayServer>) {
    let server = &server;
    serve_connection(stream, |request| async move { server.handle(request).await }).await;
}

impl RelayServer {
    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, EVENTS_PATH) => event_stream::open(self),
            (&Method::POST, COMMANDS_PATH) => self.handle_batch(request).await,
            _ => invalid_request(),
        }
    }

    /// Sends a line to all readers of the stream; without readers it is dropped.
    fn broadcast(&self, line: String) {
        let _ = self.events.send(line);
    }
}

/// Encodes an event as a line of the stream.
fn event_line(kind: &str, object: Value) -> String {
    format!("{}\n", json!({"type": kind, "object": object}))
}

fn json_response(status: StatusCode, body: &Value) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())).boxed());
    *response.status_mut() = status;
    response
}

fn invalid_request() -> Response<ResponseBody> {
    json_response(StatusCode::BAD_REQUEST, &json!({"error": "invalid"}))
}
