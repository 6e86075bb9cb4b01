//! Stand-in clients: each txn is sent when it is due, whatever became of the others, and its time counts from then.

use crate::forwarder::{DECLINED, PRODUCT};
use crate::net::{Dial, Net};
use crate::node::{NEVER_RAN, WORK_US};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use otterwinch_fleet::model::{Fleet, Idempotency};
use otterwinch_fleet::sampling::random_stream;
use otterwinch_fleet::ScheduledRequest;
use otterwinch_simulation::results::{RequestEnd, Results};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// Txns that are under way at a time; one that comes beyond them is not sent, and counts as voided.
const MOST_IN_FLIGHT: usize = 20_000;

/// Which forwarders are up, by hall: clients of a hall whose front is gone come to all others.
pub type Fronts = Arc<Mutex<Vec<Vec<String>>>>;

/// What the clients saw, and how well they kept their times.
#[derive(Clone, Debug)]
pub struct Seen {
    pub tally: Results,
    /// The latest that a txn was sent after it was due, and the mean.
    pub latest: Duration,
    pub late_mean: Duration,
    /// Txns that were not sent because too many were under way.
    pub unsent: u64,
}

struct Shared {
    fleet: Fleet,
    client: Client<Dial, Empty<Bytes>>,
    fronts: Fronts,
    begin: Instant,
    tally: Mutex<Results>,
    draws: Mutex<Pcg64Mcg>,
}

/// A view of the counts while a play goes on.
#[derive(Clone)]
pub struct Watch(Arc<Shared>);

impl Watch {
    /// Reads the counts so far.
    pub fn tally<T>(&self, read: impl FnOnce(&Results) -> T) -> T {
        read(&self.0.tally.lock().expect("no holder panics"))
    }
}

/// Plays a load that begins at `begin`; ends when each txn has ended. `watch` is handed a view of the counts.
pub async fn play(
    fleet: &Fleet,
    net: &Net,
    fronts: Fronts,
    begin: Instant,
    load: impl Iterator<Item = ScheduledRequest>,
    seed: u64,
    watch: impl FnOnce(Watch),
) -> Seen {
    let client = Client::builder(TokioExecutor::new()).build(Dial(net.clone()));
    let shared = Arc::new(Shared {
        fleet: fleet.clone(),
        client,
        fronts,
        begin,
        tally: Mutex::new(Results::new(fleet)),
        draws: Mutex::new(random_stream(seed, "clients", 0)),
    });
    watch(Watch(shared.clone()));
    let mut under_way = tokio::task::JoinSet::new();
    let (mut latest, mut late, mut sent, mut unsent) = (Duration::ZERO, Duration::ZERO, 0u32, 0);
    for due in load {
        let at = begin + Duration::from_secs_f64(due.at.max(0.0));
        sleep_until(at).await;
        while under_way.try_join_next().is_some() {}
        if under_way.len() >= MOST_IN_FLIGHT {
            unsent += 1;
            shared.tally.lock().expect("no holder panics").record_end(
                due.request_class,
                due.zone,
                due.at,
                RequestEnd::Failed,
            );
            continue;
        }
        let lateness = at.elapsed();
        (latest, late, sent) = (latest.max(lateness), late + lateness, sent + 1);
        under_way.spawn(txn(shared.clone(), due, at));
    }
    while under_way.join_next().await.is_some() {}
    let tally = shared.tally.lock().expect("no holder panics").clone();
    Seen { tally, latest, late_mean: late / sent.max(1), unsent }
}

/// What came of a try.
enum Came {
    Settled,
    Declined,
    NeverRan,
    Voided,
}

/// A txn from its due time to its end, with as many tries as its client makes.
async fn txn(shared: Arc<Shared>, due: ScheduledRequest, at: Instant) {
    let product = &shared.fleet.request_classes[due.request_class];
    let clients = &shared.fleet.clients;
    let span = |span: otterwinch::time::Span| Duration::from_micros(span.as_us().max(0) as u64);
    let (expires, mut tries) = (at + span(product.timeout), 0);
    let end = loop {
        tries += 1;
        let [front, patience, wait] = {
            let mut draws = shared.draws.lock().expect("no holder panics");
            [(); 3].map(|()| draws.random::<f64>())
        };
        let now = Instant::now();
        let (least, most) = clients.attempt_timeout_fraction;
        let patience = span(product.timeout).mul_f64(least + (most - least) * patience);
        let give_up = (now + patience).min(expires);
        {
            let mut tally = shared.tally.lock().expect("no holder panics");
            tally.record_attempt(due.request_class, due.zone, (now - shared.begin).as_secs_f64());
        }
        let came = match shared.forwarder(due.zone, front) {
            None => Came::NeverRan,
            Some(address) => {
                let asked = shared.ask(&address, &due);
                timeout_at(give_up, asked).await.unwrap_or(Came::Voided)
            }
        };
        let never_ran = matches!(came, Came::Declined | Came::NeverRan);
        let end = match came {
            Came::Settled => break RequestEnd::Answered(at.elapsed().as_micros() as u64),
            Came::Declined => RequestEnd::Rejected,
            Came::NeverRan | Came::Voided => RequestEnd::Failed,
        };
        let may = match product.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => never_ran || at.elapsed() < span(product.deduplication_window),
            Idempotency::NotIdempotent => never_ran,
        };
        let (from, to) = (span(clients.retry_wait.0), span(clients.retry_wait.1));
        let again = Instant::now() + from + (to - from).mul_f64(wait);
        if !may || tries > clients.max_retries || again >= expires {
            break end;
        }
        sleep_until(again).await;
    };
    shared.tally.lock().expect("no holder panics").record_end(due.request_class, due.zone, due.at, end);
}

impl Shared {
    fn forwarder(&self, hall: usize, unit: f64) -> Option<String> {
        let fronts = self.fronts.lock().expect("no holder panics");
        let one_of = |front: &[String]| front.get((unit * front.len() as f64) as usize).cloned();
        let all = || fronts.iter().flatten().cloned().collect::<Vec<String>>();
        one_of(&fronts[hall]).or_else(|| one_of(&all()))
    }

    async fn ask(&self, address: &str, due: &ScheduledRequest) -> Came {
        let message = Request::builder()
            .method("POST")
            .uri(format!("http://{address}/txn"))
            .header(PRODUCT, due.request_class)
            .header(WORK_US, format!("{:.0}", due.work * 1e6));
        let message = message.body(Empty::new()).expect("a plain message");
        let answer = match self.client.request(message).await {
            Ok(answer) => answer,
            Err(e) if e.is_connect() => return Came::NeverRan,
            Err(_) => return Came::Voided,
        };
        let (status, headers) = (answer.status(), answer.headers().clone());
        if answer.into_body().collect().await.is_err() {
            return Came::Voided;
        }
        match status {
            s if s.is_success() => Came::Settled,
            _ if headers.contains_key(DECLINED) => Came::Declined,
            _ if headers.contains_key(NEVER_RAN) => Came::NeverRan,
            _ => Came::Voided,
        }
    }
}
