//! The emulated clients. They generate an open-loop load: each request is sent at its scheduled time,
//! independent of the other requests, and its latency is measured from that time.
//!
//! `request.rs` sends one request, including its retries.

mod request;

use crate::http_connector::NetworkConnector;
use crate::live_proxies::LiveProxies;
use crate::network::Network;
use crate::sync::lock;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::sampling::random_stream;
use otterwinch_fleet::ScheduledRequest;
use otterwinch_simulation::results::{RequestEnd, Results};
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// The maximum number of requests in flight. A request that exceeds it is not sent and counts as failed.
const MAX_IN_FLIGHT: usize = 20_000;

/// The results as measured by the clients, and how closely the clients kept to their schedule.
#[derive(Clone, Debug)]
pub struct ClientResults {
    /// Request counts and latencies.
    pub results: Results,
    /// The longest delay between the time at which a request was due and the time at which it was sent.
    pub max_lateness: Duration,
    /// The mean of these delays.
    pub mean_lateness: Duration,
    /// Requests that were not sent because too many were in flight.
    pub unsent: u64,
}

/// A handle that reads the results while the load is being sent.
#[derive(Clone)]
pub struct Progress(Arc<ClientState>);

impl Progress {
    /// Calls `read` with the results so far. Requests that record a result block until it returns.
    pub fn read<T>(&self, read: impl FnOnce(&Results) -> T) -> T {
        read(&lock(&self.0.results))
    }
}

/// State shared by all requests.
struct ClientState {
    fleet: Fleet,
    http: Client<NetworkConnector, Empty<Bytes>>,
    live_proxies: Arc<LiveProxies>,
    /// The start of the load.
    load_start: Instant,
    results: Mutex<Results>,
    rng: Mutex<Pcg64Mcg>,
}

/// The clients of a fleet.
pub(crate) struct Clients {
    state: Arc<ClientState>,
    in_flight: JoinSet<()>,
    lateness: LatenessStats,
    unsent: u64,
    load_seconds: f64,
}

/// Statistics of the delay with which requests were sent.
#[derive(Default)]
struct LatenessStats {
    max: Duration,
    sum: Duration,
    requests: u32,
}

impl LatenessStats {
    fn record(&mut self, lateness: Duration) {
        self.max = self.max.max(lateness);
        self.sum += lateness;
        self.requests += 1;
    }

    fn mean(&self) -> Duration {
        self.sum / self.requests.max(1)
    }
}

impl Clients {
    /// Creates the clients for a load that starts at `load_start`.
    pub(crate) fn new(
        fleet: &Fleet,
        network: &Network,
        live_proxies: Arc<LiveProxies>,
        load_start: Instant,
        seed: u64,
    ) -> Self {
        let http = Client::builder(TokioExecutor::new()).build(NetworkConnector(network.clone()));
        let state = ClientState {
            fleet: fleet.clone(),
            http,
            live_proxies,
            load_start,
            results: Mutex::new(Results::new(fleet)),
            rng: Mutex::new(random_stream(seed, "clients", 0)),
        };
        Clients {
            state: Arc::new(state),
            in_flight: JoinSet::new(),
            lateness: LatenessStats::default(),
            unsent: 0,
            load_seconds: 0.0,
        }
    }

    /// Returns a handle that reads the results so far.
    pub(crate) fn progress(&self) -> Progress {
        Progress(self.state.clone())
    }

    /// Sends each request of a load at its scheduled time. Returns when the last one is sent, without waiting
    /// for responses.
    pub(crate) async fn send(&mut self, load: impl Iterator<Item = ScheduledRequest>) {
        for request in load {
            self.load_seconds = self.load_seconds.max(request.at);
            let due = self.state.load_start + Duration::from_secs_f64(request.at.max(0.0));
            sleep_until(due).await;
            while self.in_flight.try_join_next().is_some() {}
            if self.in_flight.len() >= MAX_IN_FLIGHT {
                self.unsent += 1;
                self.state.record_end(&request, RequestEnd::Failed);
                continue;
            }
            self.lateness.record(due.elapsed());
            self.in_flight.spawn(request::run(self.state.clone(), request, due));
        }
    }

    /// The time from the start of the load to its last request, in seconds.
    pub(crate) fn load_seconds(&self) -> f64 {
        self.load_seconds
    }

    /// Waits until all requests have ended, and returns the results.
    pub(crate) async fn finish(mut self) -> ClientResults {
        while self.in_flight.join_next().await.is_some() {}
        let results = lock(&self.state.results).clone();
        ClientResults {
            results,
            max_lateness: self.lateness.max,
            mean_lateness: self.lateness.mean(),
            unsent: self.unsent,
        }
    }
}

impl ClientState {
    fn record_end(&self, request: &ScheduledRequest, end: RequestEnd) {
        lock(&self.results).record_end(request.request_class, request.zone, request.at, end);
    }

    fn record_attempt(&self, request: &ScheduledRequest, at: Instant) {
        let seconds = (at - self.load_start).as_secs_f64();
        lock(&self.results).record_attempt(request.request_class, request.zone, seconds);
    }
}
