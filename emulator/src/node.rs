//! A stand-in node: an HTTP/1.1 server that holds a txn for as long as its work would take, with so many cores, a
//! waiting room, a limit on connections, a cold start that it may not survive, and troubles to order.

use crate::net::{Listener, Net};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use otterwinch_fleet::sampling::random_stream;
use rand::RngExt;
use std::collections::VecDeque;
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, Instant};

/// Says that a txn never ran: the node turned it away.
pub const NEVER_RAN: &str = "x-never-ran";
pub const WORK_US: &str = "x-work-us";

/// What it does, and may be told to do otherwise.
struct State {
    started: Option<Instant>,
    slow: f64,
    fails: f64,
    hangs: bool,
    toppled: bool,
    /// Work that came lately, while cold.
    came: VecDeque<(Instant, f64)>,
    draws: rand_pcg::Pcg64Mcg,
    /// Seconds that sleeps lasted too long and that later ones make up for: timers tick in milliseconds.
    owed: f64,
}

struct Shared {
    cores: Arc<Semaphore>,
    count: u32,
    speed: f64,
    most_waiting: u32,
    most_open: u32,
    connection_work: f64,
    works_on: bool,
    warm_up: Option<WarmUp>,
    topples: Option<OverloadCollapse>,
    state: Mutex<State>,
    waiting: AtomicU32,
    open: AtomicU32,
    counts: Counts,
}

/// What it met, for the report.
#[derive(Default)]
pub struct Counts {
    pub taken: AtomicU64,
    pub turned_away: AtomicU64,
    pub refused: AtomicU64,
    /// Core-microseconds in use.
    pub used_us: AtomicU64,
    /// Txns whose work was done.
    pub done: AtomicU64,
}

pub struct Node {
    pub name: String,
    pub hall: usize,
    pub group: usize,
    pub address: String,
    shared: Arc<Shared>,
    net: Net,
    serving: Mutex<Option<JoinHandle<()>>>,
}

impl Node {
    /// Starts a node of a group; `started` is when its warm-up began, none is long ago.
    pub async fn start(
        net: &Net,
        (group, place, k): (&EndpointGroup, usize, u32),
        speed: f64,
        started: Option<Instant>,
        seed: u64,
    ) -> std::io::Result<Node> {
        let name = format!("{}-{k}", group.name);
        let (listener, address) = net.listen(&name, None).await?;
        let draws = random_stream(seed, "node", (place as u64) << 32 | u64::from(k));
        let state = State {
            started,
            slow: 1.0,
            fails: 0.0,
            hangs: false,
            toppled: false,
            came: VecDeque::new(),
            draws,
            owed: 0.0,
        };
        let shared = Arc::new(Shared {
            cores: Arc::new(Semaphore::new(group.cores as usize)),
            count: group.cores,
            speed,
            most_waiting: group.max_queued,
            most_open: group.max_connections,
            connection_work: group.connection_work,
            works_on: group.finishes_abandoned,
            warm_up: group.warm_up,
            topples: group.overload_collapse,
            state: Mutex::new(state),
            waiting: AtomicU32::new(0),
            open: AtomicU32::new(0),
            counts: Counts::default(),
        });
        let serving = Mutex::new(Some(tokio::spawn(serve(listener, shared.clone()))));
        Ok(Node { name, hall: group.zone, group: place, address, shared, net: net.clone(), serving })
    }

    pub fn counts(&self) -> &Counts {
        &self.shared.counts
    }

    pub fn cores(&self) -> u32 {
        self.shared.count
    }

    pub fn toppled(&self) -> bool {
        self.shared.lock().toppled
    }

    /// Its process ends: connections break, new ones are refused.
    pub fn dies(&self) {
        if let Some(serving) = self.serving.lock().expect("no holder panics").take() {
            serving.abort();
        }
    }

    /// It is started again, cold, at its old address.
    pub async fn returns(&self) -> std::io::Result<()> {
        self.dies();
        let (listener, _) = self.net.listen(&self.name, Some(&self.address)).await?;
        {
            let mut state = self.shared.lock();
            (state.started, state.toppled) = (Some(Instant::now()), false);
            (state.slow, state.fails, state.hangs) = (1.0, 0.0, false);
            state.came.clear();
        }
        let serving = tokio::spawn(serve(listener, self.shared.clone()));
        *self.serving.lock().expect("no holder panics") = Some(serving);
        Ok(())
    }

    pub fn slows(&self, times: f64) {
        self.shared.lock().slow = times;
    }

    pub fn fails(&self, part: f64) {
        self.shared.lock().fails = part;
    }

    pub fn hangs(&self, does: bool) {
        self.shared.lock().hangs = does;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.dies();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn warmth(&self, state: &State) -> f64 {
        match (state.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                let age = started.elapsed().as_micros() as i64;
                warm_up.speed_fraction(otterwinch::time::Span::from_us(age))
            }
            _ => 1.0,
        }
    }

    /// Whether this much more work is more than it survives cold.
    fn falls_over(&self, state: &mut State, work: f64) -> bool {
        let warmth = self.warmth(state);
        let (Some(topples), true) = (self.topples, warmth < 1.0) else { return false };
        let over = topples.window.as_secs();
        let now = Instant::now();
        state.came.push_back((now, work));
        while state.came.front().is_some_and(|came| now - came.0 > Duration::from_secs_f64(over)) {
            state.came.pop_front();
        }
        let bears = f64::from(self.count) * self.speed * warmth / state.slow * over * topples.overload_factor;
        state.came.iter().map(|came| came.1).sum::<f64>() > bears
    }
}

/// Accepts until it is aborted; all connections end with it.
async fn serve(mut listener: Listener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    shared.open.store(0, Ordering::SeqCst);
    shared.waiting.store(0, Ordering::SeqCst);
    let dies = Arc::new(tokio::sync::Notify::new());
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(_) => return,
            },
            Some(_) = connections.join_next() => continue,
            () = dies.notified() => return,
        };
        let (shared, dies) = (shared.clone(), dies.clone());
        let full = shared.open.fetch_add(1, Ordering::SeqCst) >= shared.most_open;
        connections.spawn(async move {
            let _open = Less(&shared.open);
            let fresh = AtomicBool::new(true);
            let answer = |message: Request<Incoming>| {
                let (shared, dies, fresh) = (&shared, &dies, &fresh);
                async move {
                    if full {
                        // It takes no more connections: said so, since a plain close would prove nothing.
                        shared.counts.refused.fetch_add(1, Ordering::Relaxed);
                        return Ok::<_, hyper::Error>(never_ran(true));
                    }
                    let price =
                        if fresh.swap(false, Ordering::SeqCst) { shared.connection_work } else { 0.0 };
                    Ok(txn(&message, shared, price, dies).await)
                }
            };
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}

/// Counts one less when it is dropped, however that comes.
struct Less<'a>(&'a AtomicU32);

impl Drop for Less<'_> {
    fn drop(&mut self) {
        // A node that was started anew counts from 0 again.
        let _ = self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
    }
}

/// Core time in use, booked however the work ends.
struct Busy<'a>(&'a Counts, Instant);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.used_us.fetch_add(self.1.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn never_ran(close: bool) -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    answer.headers_mut().insert(NEVER_RAN, "1".parse().expect("a header's value"));
    if close {
        answer.headers_mut().insert("connection", "close".parse().expect("a header's value"));
    }
    answer
}

/// One txn: turned away, failed, held for ever, or worked on. Dropped where its client goes away.
async fn txn(
    message: &Request<Incoming>,
    shared: &Arc<Shared>,
    price: f64,
    dies: &tokio::sync::Notify,
) -> Response<Full<Bytes>> {
    let work = message.headers().get(WORK_US).and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let Some(work) = work.filter(|work| (0.0..=1e12).contains(work)) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let work = work / 1e6 + price;
    let (hangs, fails, falls) = {
        let mut state = shared.lock();
        let fails = state.fails > 0.0 && state.draws.random::<f64>() < state.fails;
        let falls = !state.hangs && !fails && shared.falls_over(&mut state, work);
        state.toppled |= falls;
        (state.hangs, fails, falls)
    };
    if hangs {
        pending::<()>().await;
    }
    if fails {
        return plain(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if falls {
        dies.notify_one();
        pending::<()>().await;
    }
    let core = match shared.cores.clone().try_acquire_owned() {
        Ok(core) => core,
        Err(_) => {
            if shared.waiting.fetch_add(1, Ordering::SeqCst) >= shared.most_waiting {
                shared.waiting.fetch_sub(1, Ordering::SeqCst);
                shared.counts.turned_away.fetch_add(1, Ordering::Relaxed);
                return never_ran(false);
            }
            let _waits = Less(&shared.waiting);
            shared.cores.clone().acquire_owned().await.expect("never closed")
        }
    };
    shared.counts.taken.fetch_add(1, Ordering::Relaxed);
    if shared.works_on {
        // What was begun is finished whether or not anybody waits for it.
        let shared = shared.clone();
        let _ = tokio::spawn(async move { run(&shared, core, work).await }).await;
    } else {
        run(shared, core, work).await;
    }
    plain(StatusCode::OK)
}

async fn run(shared: &Shared, _core: OwnedSemaphorePermit, work: f64) {
    let _busy = Busy(&shared.counts, Instant::now());
    let asked = {
        let mut state = shared.lock();
        let lasts = work / (shared.speed * shared.warmth(&state) / state.slow);
        // A timer is late by up to a tick; what one sleep lasted too long the next ones do not.
        let asked = (lasts - state.owed).max(0.0);
        state.owed -= lasts - asked;
        asked
    };
    let began = Instant::now();
    sleep(Duration::from_secs_f64(asked)).await;
    let late = began.elapsed().as_secs_f64() - asked;
    shared.lock().owed += late.clamp(0.0, 0.01);
    shared.counts.done.fetch_add(1, Ordering::Relaxed);
}
