//! A stand-in forwarder: lets in what its table says, picks a node by weight, keeps connections, counts what it met.

use crate::net::{Net, Stream};
use crate::node::{NEVER_RAN, WORK_US};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::sampling::random_stream;
use otterwinch_simulation::route_table::{TableSnapshot, WeightedEndpoints};
use rand::seq::IndexedRandom;
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

pub const PRODUCT: &str = "x-product";
/// Says that a txn was turned away on purpose.
pub const DECLINED: &str = "x-declined";
/// Ways shorter than this are not slept: a timer ticks in milliseconds.
const SHORTEST_WAY: Duration = Duration::from_millis(1);
/// How long a node may take to take a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);

/// What all forwarders know of the nodes.
pub struct Nodes {
    pub addresses: Vec<String>,
    pub halls: Vec<usize>,
}

/// Sums of what one forwarder met, until they are taken.
#[derive(Default)]
pub struct Sums {
    /// By node: tries, of them voided, and the time of the others together in microseconds.
    pub met: BTreeMap<u32, (u64, u64, u64)>,
    pub asked: Vec<u64>,
}

struct Held {
    version: Arc<TableSnapshot>,
    bound: bool,
    still_until: Instant,
    draws: rand_pcg::Pcg64Mcg,
}

pub struct Told {
    pub number: u32,
    pub hall: usize,
    pub products: usize,
    /// The forwarder's own second try, before it is told otherwise.
    pub again: bool,
    pub idle: Duration,
    pub line: Duration,
    /// One-way times from its hall, by hall.
    pub ways: Vec<Duration>,
}

pub struct Forwarder {
    pub told: Told,
    pub address: String,
    pub standing: Vec<u32>,
    shared: Arc<Shared>,
    serving: Mutex<Option<JoinHandle<()>>>,
}

/// A connection that is open and unused, and since when.
type Idle = (SendRequest<Empty<Bytes>>, Instant);

struct Shared {
    net: Net,
    nodes: Arc<Nodes>,
    again: bool,
    idle: Duration,
    ways: Vec<Duration>,
    held: Mutex<Held>,
    sums: Mutex<Sums>,
    pools: Mutex<BTreeMap<u32, Vec<Idle>>>,
    crossed: AtomicU64,
    attempts: AtomicU64,
    hall: usize,
}

impl Forwarder {
    /// Starts a forwarder with a standing table of its own hall's nodes, or with one that it is given.
    pub async fn start(
        net: &Net,
        told: Told,
        nodes: Arc<Nodes>,
        standing: u32,
        given: Option<Arc<TableSnapshot>>,
        seed: u64,
    ) -> std::io::Result<Forwarder> {
        let (listener, address) = net.listen(&format!("forwarder-{}", told.number), None).await?;
        let home: Vec<u32> =
            (0..).zip(&nodes.halls).filter(|(_, h)| **h == told.hall).map(|(k, _)| k).collect();
        let mut draws = random_stream(seed, "standing", u64::from(told.number));
        let standing: Vec<u32> = home.sample(&mut draws, standing as usize).copied().collect();
        let bound = given.is_some();
        let own = || {
            let lines = WeightedEndpoints::new(standing.iter().map(|node| (*node, 1.0)));
            Arc::new(TableSnapshot { endpoints: lines, admission: vec![None; told.products] })
        };
        let held = Held {
            version: given.unwrap_or_else(own),
            bound,
            still_until: Instant::now(),
            draws: random_stream(seed, "picks", u64::from(told.number)),
        };
        let shared = Arc::new(Shared {
            net: net.clone(),
            nodes,
            again: told.again,
            idle: told.idle,
            ways: told.ways.clone(),
            held: Mutex::new(held),
            sums: Mutex::new(Sums { met: BTreeMap::new(), asked: vec![0; told.products] }),
            pools: Mutex::default(),
            crossed: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            hall: told.hall,
        });
        let serving = Mutex::new(Some(tokio::spawn(serve(listener, shared.clone()))));
        Ok(Forwarder { told, address, standing, shared, serving })
    }

    /// Applies a message: a table that it is put on, or its own less whoever is barred. Tells when it is done.
    pub fn apply(&self, version: Option<Arc<TableSnapshot>>, barred: &BTreeSet<u32>, lines: f64) -> Instant {
        let mut held = self.shared.held.lock().expect("no holder panics");
        match version {
            Some(version) => (held.version, held.bound) = (version, true),
            None if !held.bound => {
                let kept = self.standing.iter().filter(|node| !barred.contains(node));
                let lines = WeightedEndpoints::new(kept.map(|node| (*node, 1.0)));
                held.version =
                    Arc::new(TableSnapshot { endpoints: lines, admission: held.version.admission.clone() });
            }
            None => {}
        }
        let still = self.told.line.mul_f64(lines);
        held.still_until = held.still_until.max(Instant::now() + still);
        held.still_until
    }

    /// The sums since they were taken last.
    pub fn take_sums(&self) -> Sums {
        let fresh = Sums { met: BTreeMap::new(), asked: vec![0; self.told.products] };
        std::mem::replace(&mut *self.shared.sums.lock().expect("no holder panics"), fresh)
    }

    /// Tries at nodes, and of them those at nodes of another hall.
    pub fn attempts(&self) -> (u64, u64) {
        (self.shared.attempts.load(Ordering::Relaxed), self.shared.crossed.load(Ordering::Relaxed))
    }

    /// Whether it holds a table that was ordered.
    pub fn is_bound(&self) -> bool {
        self.shared.held.lock().expect("no holder panics").bound
    }

    /// The nodes that it may pick now.
    pub fn lines(&self) -> usize {
        self.shared.held.lock().expect("no holder panics").version.endpoints.len()
    }

    pub fn dies(&self) {
        if let Some(serving) = self.serving.lock().expect("no holder panics").take() {
            serving.abort();
        }
    }

    /// It is started again: with nothing but its standing table.
    pub async fn returns(&self) -> std::io::Result<()> {
        self.dies();
        let name = format!("forwarder-{}", self.told.number);
        let (listener, _) = self.shared.net.listen(&name, Some(&self.address)).await?;
        {
            let mut held = self.shared.held.lock().expect("no holder panics");
            let lines = WeightedEndpoints::new(self.standing.iter().map(|node| (*node, 1.0)));
            held.version =
                Arc::new(TableSnapshot { endpoints: lines, admission: vec![None; self.told.products] });
            held.bound = false;
        }
        self.shared.pools.lock().expect("no holder panics").clear();
        let serving = tokio::spawn(serve(listener, self.shared.clone()));
        *self.serving.lock().expect("no holder panics") = Some(serving);
        Ok(())
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.dies();
    }
}

async fn serve(mut listener: crate::net::Listener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    let mut sweep = tokio::time::interval(Duration::from_secs(1));
    loop {
        let stream: Stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(_) => return,
            },
            Some(_) = connections.join_next() => continue,
            _ = sweep.tick() => {
                shared.close_idle();
                continue;
            }
        };
        let shared = shared.clone();
        connections.spawn(async move {
            let answer = |message: Request<Incoming>| {
                let shared = shared.clone();
                async move { Ok::<_, hyper::Error>(txn(message, &shared).await) }
            };
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}

fn plain(status: StatusCode, header: Option<&'static str>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    if let Some(header) = header {
        answer.headers_mut().insert(header, "1".parse().expect("a header's value"));
    }
    answer
}

/// How a try at a node ended.
enum Came {
    Answered,
    NeverRan,
    Failed,
}

/// The life of a txn here: let in or turned away, sent to the node that it drew, and perhaps to another.
async fn txn(message: Request<Incoming>, shared: &Shared) -> Response<Full<Bytes>> {
    let header = |name: &str| message.headers().get(name).and_then(|value| value.to_str().ok());
    let product: Option<usize> = header(PRODUCT).and_then(|value| value.parse().ok());
    let (Some(product), Some(work)) = (product, header(WORK_US)) else {
        return plain(StatusCode::BAD_REQUEST, None);
    };
    let still_until = shared.held.lock().expect("no holder panics").still_until;
    sleep_until(still_until).await;
    if let Some(asked) = shared.sums.lock().expect("no holder panics").asked.get_mut(product) {
        *asked += 1;
    }
    let (picked, retry) = {
        let mut held = shared.held.lock().expect("no holder panics");
        let level = held.version.admission.get(product).copied().flatten();
        let (let_in, pick) = (held.draws.random::<f64>(), held.draws.random::<f64>());
        let usual = if shared.again { RetryPolicy::IfNeverRan } else { RetryPolicy::Never };
        let picked = held.version.endpoints.pick(pick);
        (picked.filter(|_| level.is_none_or(|l| let_in < l.admitted)), level.map_or(usual, |l| l.retry))
    };
    let Some(node) = picked else {
        return plain(StatusCode::TOO_MANY_REQUESTS, Some(DECLINED));
    };
    let mut came = try_at(node, work, shared).await;
    if matches!(came, Came::NeverRan) && retry != RetryPolicy::Never {
        let other = {
            let mut held = shared.held.lock().expect("no holder panics");
            let others = WeightedEndpoints::new(held.version.endpoints.iter().filter(|line| line.0 != node));
            others.pick(held.draws.random::<f64>())
        };
        if let Some(other) = other {
            came = try_at(other, work, shared).await;
        }
    }
    match came {
        Came::Answered => plain(StatusCode::OK, None),
        Came::NeverRan => plain(StatusCode::SERVICE_UNAVAILABLE, Some(NEVER_RAN)),
        Came::Failed => plain(StatusCode::BAD_GATEWAY, None),
    }
}

/// One try at a node, counted however it ends: where the client goes away it is dropped, and counts as voided.
async fn try_at(node: u32, work: &str, shared: &Shared) -> Came {
    let hall = shared.nodes.halls[node as usize];
    shared.attempts.fetch_add(1, Ordering::Relaxed);
    if hall != shared.hall {
        shared.crossed.fetch_add(1, Ordering::Relaxed);
    }
    let mut met = Met { shared, node, began: Instant::now(), answered: false };
    let way = Some(shared.ways[hall]).filter(|way| *way >= SHORTEST_WAY);
    if let Some(way) = way {
        sleep(way).await;
    }
    let came = shared.ask(node, work).await;
    if let Some(way) = way {
        sleep(way).await;
    }
    met.answered = matches!(came, Came::Answered);
    came
}

struct Met<'a> {
    shared: &'a Shared,
    node: u32,
    began: Instant,
    answered: bool,
}

impl Drop for Met<'_> {
    fn drop(&mut self) {
        let mut sums = self.shared.sums.lock().expect("no holder panics");
        let (tries, voided, took_us) = sums.met.entry(self.node).or_default();
        *tries += 1;
        if self.answered {
            *took_us += self.began.elapsed().as_micros() as u64;
        } else {
            *voided += 1;
        }
    }
}

impl Shared {
    fn close_idle(&self) {
        let since = Instant::now();
        let mut pools = self.pools.lock().expect("no holder panics");
        pools
            .values_mut()
            .for_each(|pool| pool.retain(|idle| since - idle.1 < self.idle && !idle.0.is_closed()));
    }

    /// A connection that is open and idle, or a new one.
    async fn connection(&self, node: u32) -> Result<(SendRequest<Empty<Bytes>>, bool), Came> {
        let idle = || {
            let mut pools = self.pools.lock().expect("no holder panics");
            let pool = pools.get_mut(&node)?;
            std::iter::from_fn(|| pool.pop()).map(|idle| idle.0).find(|sender| sender.is_ready())
        };
        if let Some(sender) = idle() {
            return Ok((sender, false));
        }
        let address = &self.nodes.addresses[node as usize];
        let connected = tokio::time::timeout(CONNECT_WITHIN, self.net.connect(address)).await;
        let Ok(Ok(stream)) = connected else { return Err(Came::NeverRan) };
        let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
            return Err(Came::NeverRan);
        };
        tokio::spawn(connection);
        Ok((sender, true))
    }

    async fn ask(&self, node: u32, work: &str) -> Came {
        let (mut sender, _) = match self.connection(node).await {
            Ok(connected) => connected,
            Err(came) => return came,
        };
        let message =
            Request::builder().method("POST").uri("/txn").header("host", "node").header(WORK_US, work);
        let message = message.body(Empty::new()).expect("a plain message");
        let answer = match sender.send_request(message).await {
            Ok(answer) => answer,
            // Handed back before a byte of it was written.
            Err(e) if e.is_canceled() => return Came::NeverRan,
            Err(_) => return Came::Failed,
        };
        let (status, never_ran) = (answer.status(), answer.headers().contains_key(NEVER_RAN));
        let whole = answer.into_body().collect().await.is_ok();
        if whole && sender.ready().await.is_ok() {
            let mut pools = self.pools.lock().expect("no holder panics");
            pools.entry(node).or_default().push((sender, Instant::now()));
        }
        match status {
            StatusCode::OK if whole => Came::Answered,
            _ if never_ran => Came::NeverRan,
            _ => Came::Failed,
        }
    }
}
