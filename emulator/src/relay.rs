//! The stand-in relay, by its protocol: takes commands, tells the events.

use crate::net::{Listener, Net};
use crate::plane::{Applied, Between};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use otterwinch::host::RetryPolicy;
use otterwinch_simulation::simulated_host::Command;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{broadcast, mpsc};
use tokio::time::interval;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;

const MOST_BYTES: usize = 60_000;
/// Events that a reader may be behind.
const BEHIND: usize = 8_192;

/// Names of a supervisor's settings, by their places.
pub struct Names {
    pub nodes: BTreeMap<String, u32>,
    pub products: Vec<String>,
    pub halls: Vec<String>,
}

struct Shared {
    between: Arc<Between>,
    names: Names,
    events: broadcast::Sender<String>,
    /// The `hello` of each forwarder that is joined.
    joined: Mutex<BTreeMap<u32, String>>,
}

pub struct Relay {
    pub address: String,
    shared: Arc<Shared>,
}

impl Relay {
    pub async fn start(
        net: &Net,
        between: Arc<Between>,
        mut applied: mpsc::UnboundedReceiver<Applied>,
        names: Names,
    ) -> std::io::Result<Relay> {
        let (listener, address) = net.listen("relay", None).await?;
        let events = broadcast::channel(BEHIND).0;
        let shared = Arc::new(Shared { between, names, events, joined: Mutex::default() });
        tokio::spawn(serve(listener, shared.clone()));
        let tells = shared.clone();
        tokio::spawn(async move {
            while let Some((mark, forwarder, took)) = applied.recv().await {
                let latency = took.as_secs_f64() * 1e3;
                let ack =
                    json!({"type": "ack", "object": {"node": forwarder, "nonce": mark, "latency": latency}});
                let _ = tells.events.send(format!("{ack}\n"));
            }
        });
        Ok(Relay { address, shared })
    }

    pub fn joins(&self, forwarder: u32, hall: usize, rate: f64, fresh: bool) {
        let hall = &self.shared.names.halls[hall];
        let object = json!({"node": forwarder, "locality": hall, "w": rate, "cold": fresh});
        let line = format!("{}\n", json!({"type": "hello", "object": object}));
        self.shared.between.joins(forwarder);
        self.shared.joined.lock().expect("no holder panics").insert(forwarder, line.clone());
        let _ = self.shared.events.send(line);
    }

    pub fn leaves(&self, forwarder: u32) {
        self.shared.between.leaves(forwarder);
        self.shared.joined.lock().expect("no holder panics").remove(&forwarder);
        let _ =
            self.shared.events.send(format!("{}\n", json!({"type": "bye", "object": {"node": forwarder}})));
    }
}

type Body = BoxBody<Bytes, Infallible>;

fn whole(status: StatusCode, body: Value) -> Response<Body> {
    let mut answer = Response::new(Full::new(Bytes::from(body.to_string())).boxed());
    *answer.status_mut() = status;
    answer
}

async fn serve(mut listener: Listener, shared: Arc<Shared>) {
    while let Ok(stream) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let answer = |message: Request<Incoming>| {
                let shared = shared.clone();
                async move {
                    Ok::<_, Infallible>(match (message.method(), message.uri().path()) {
                        (&Method::GET, "/v3/kv/stream") => events(&shared),
                        (&Method::POST, "/v3/kv/batches") => call(message, &shared).await,
                        _ => whole(StatusCode::BAD_REQUEST, json!({"error": "invalid"})),
                    })
                }
            };
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}

/// Opens with who is joined, then tells what happens, and that it lives.
fn events(shared: &Arc<Shared>) -> Response<Body> {
    let (lines, taken) = mpsc::channel::<String>(64);
    let shared = shared.clone();
    let mut told = shared.events.subscribe();
    tokio::spawn(async move {
        let stands: Vec<String> = shared.joined.lock().expect("no holder panics").values().cloned().collect();
        for line in stands.into_iter().chain(["{}\n".to_owned()]) {
            if lines.send(line).await.is_err() {
                return;
            }
        }
        let mut life = interval(Duration::from_secs(1));
        loop {
            let line = tokio::select! {
                line = told.recv() => match line {
                    Ok(line) => line,
                    // Behind: cut off, so that it opens anew and is told what stands.
                    Err(_) => return,
                },
                _ = life.tick() => "{}\n".to_owned(),
            };
            if lines.send(line).await.is_err() {
                return;
            }
        }
    });
    let frames = ReceiverStream::new(taken).map(|line| Ok(Frame::data(Bytes::from(line))));
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Takes a call's commands up to the first that can't be used.
async fn call(message: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let invalid = || whole(StatusCode::BAD_REQUEST, json!({"error": "invalid"}));
    let Ok(body) = Limited::new(message.into_body(), MOST_BYTES).collect().await else { return invalid() };
    let Ok(value) = serde_json::from_slice::<Value>(&body.to_bytes()) else { return invalid() };
    let Some(changes) = value["changes"].as_array() else { return invalid() };
    let commands: Vec<Vec<Command>> = changes.iter().map_while(|change| command(change, shared)).collect();
    let taken = commands.len();
    shared.between.take(commands.into_iter().flatten().collect());
    whole(StatusCode::OK, json!({"taken": taken}))
}

/// One command, in the plane's terms; nothing where it can't be used.
fn command(change: &Value, shared: &Shared) -> Option<Vec<Command>> {
    let number = |name: &str| change[name].as_u64().and_then(|n| u32::try_from(n).ok());
    let figure = |name: &str| change[name].as_f64().filter(|n| *n >= 0.0);
    let node = || shared.names.nodes.get(change["endpoint"].as_str()?).copied();
    let all = (1u64 << shared.names.products.len()) - 1;
    Some(vec![match change["op"].as_str()? {
        "put" => Command::SetWeight { table_id: number("table")?, endpoint: node()?, weight: figure("w")? },
        "attach" => {
            let forwarder = number("node").filter(|n| shared.between.has(*n))?;
            Command::AssignTable { proxy: forwarder, table_id: number("table")? }
        }
        "eject" => Command::SetEjected { endpoint: node()?, ejected: true },
        "uneject" => Command::SetEjected { endpoint: node()?, ejected: false },
        "gate" => {
            let named = change["routes"].as_array().map(|names| {
                let place = |name: &Value| shared.names.products.iter().position(|p| name == p.as_str());
                names.iter().filter_map(place).fold(0, |set, k| set | 1u64 << k)
            });
            let retry = match number("policy")? {
                0 => RetryPolicy::Never,
                1 => RetryPolicy::IfNeverRan,
                2 => RetryPolicy::Once,
                3 => RetryPolicy::Twice,
                _ => return None,
            };
            let (tbl, share) = (number("table")?, figure("admit")?);
            Command::SetAdmission {
                table_id: tbl,
                request_classes: named.unwrap_or(all),
                admitted: share,
                retry,
            }
        }
        "fence" => Command::RequestAcknowledgement(number("nonce_out")?),
        _ => return None,
    }])
}
