//! Load where none was captured: seeded arrivals with a slow wave, bursts and costly txns.

use crate::load::ScheduledRequest;
use crate::model::{Fleet, Work};
use crate::proto;
use crate::sampling::random_stream;
use otterwinch_textproto::Validator;
use otterwinch_traffic_capture::RequestRecord;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

const MOST_BURSTS: usize = 64;
const DAY_S: f64 = 86_400.0;

/// What load to make, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    pub for_s: f64,
    pub txns_per_s: f64,
    /// Depth and period.
    pub curve: (f64, f64),
    pub bursts: Vec<Burst>,
    /// How many references there are, and how unequal.
    pub keys: Option<(u32, f64)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    pub at_s: f64,
    pub for_s: f64,
    pub times: f64,
    pub product: Option<usize>,
    pub hall: Option<usize>,
    pub costly_share: f64,
    pub costly: (f64, f64),
}

impl Burst {
    fn touches(&self, at: f64, product: usize, hall: usize) -> bool {
        (self.at_s..self.at_s + self.for_s).contains(&at)
            && self.product.is_none_or(|p| p == product)
            && self.hall.is_none_or(|h| h == hall)
    }
}

pub(crate) fn recipe(c: &Validator, told: &proto::Make, fleet: &Fleet) -> LoadProfile {
    let needed =
        |field: &str, value: Option<f64>, bounds: std::ops::RangeInclusive<f64>, what: &str, unit: &str| {
            match value {
                Some(value) => c.field(field).in_range(value, bounds, unit),
                None => {
                    c.field(field).report(format!(
                        "is missing: {what}, {} to {} {unit}",
                        bounds.start(),
                        bounds.end()
                    ));
                    *bounds.start()
                }
            }
        };
    let for_s = needed("for_s", told.for_s, 0.1..=DAY_S, "how long the load lasts", "s");
    let txns_per_s =
        needed("txns_per_s", told.txns_per_s, 0.0..=200_000.0, "first tries a second", "txns a second");
    let curve = told.curve.unwrap_or_default();
    let depth =
        c.field("curve").field("depth").in_range(curve.depth.unwrap_or(0.0), 0.0..=1.0, "of the rate");
    let period = curve.period_s.unwrap_or(DAY_S);
    let period = c.field("curve").field("period_s").in_range(period, 0.1..=864_000.0, "s");
    c.field("burst").require(told.burst.len() <= MOST_BURSTS, || {
        format!("{} bursts are not allowed: {MOST_BURSTS} at most", told.burst.len())
    });
    let products: Vec<String> = fleet.request_classes.iter().map(|p| p.name.clone()).collect();
    let halls: Vec<String> = fleet.zones.iter().map(|h| h.name.clone()).collect();
    let burst = |(k, told): (usize, &proto::Burst)| {
        let c = c.element("burst", k);
        let named = |field: &str, name: &str, known: &[String], what| {
            (!name.is_empty()).then(|| c.field(field).position_of(name, known, what))
        };
        let from =
            c.field("costly_from").in_range(told.costly_from.unwrap_or(1.0), 1.0..=1_000.0, "times the work");
        let to = told.costly_to.unwrap_or(from);
        let length = c.field("for_s").required(told.for_s, "how long the burst lasts, in seconds");
        Burst {
            at_s: c.field("at_s").in_range(told.at_s.unwrap_or(0.0), 0.0..=DAY_S, "s"),
            for_s: if told.for_s.is_some() {
                c.field("for_s").in_range(length, 0.01..=DAY_S, "s")
            } else {
                1.0
            },
            times: c.field("times").in_range(told.times.unwrap_or(1.0), 0.0..=1_000.0, "times the rate"),
            product: named("product", &told.product, &products, "product"),
            hall: named("hall", &told.hall, &halls, "hall"),
            costly_share: c.field("costly_share").in_range(
                told.costly_share.unwrap_or(0.0),
                0.0..=1.0,
                "of the txns",
            ),
            costly: (from, c.field("costly_to").in_range(to, from..=1_000.0, "times the work")),
        }
    };
    let keys = told.keys.map(|keys| {
        let c = c.field("keys");
        let distinct =
            c.field("distinct").count_in_range(keys.distinct.unwrap_or(0), 1..=10_000_000, "references");
        (distinct, c.field("skew").in_range(keys.skew.unwrap_or(0.0), 0.0..=3.0, "of skew"))
    });
    let bursts = told.burst.iter().enumerate().map(burst).collect();
    LoadProfile { for_s, txns_per_s, curve: (depth, period), bursts, keys }
}

/// Txns in the order of their arrival; the same seed makes the same ones.
pub struct LoadGenerator {
    fleet: Fleet,
    recipe: LoadProfile,
    at: f64,
    /// The highest rate that any moment may have.
    highest: f64,
    arrivals: Pcg64Mcg,
    places: Pcg64Mcg,
    work: Pcg64Mcg,
    keys: Pcg64Mcg,
    popular: Option<Zipf<f64>>,
}

impl LoadGenerator {
    pub fn new(fleet: &Fleet, recipe: &LoadProfile, seed: u64) -> Self {
        let edges = recipe.bursts.iter().map(|burst| burst.at_s).chain([0.0]);
        let busiest = edges.map(|at| recipe_rate(fleet, recipe, at)).fold(0.0, f64::max);
        let popular = recipe.keys.and_then(|(n, skew)| Zipf::new(f64::from(n), skew).ok());
        LoadGenerator {
            fleet: fleet.clone(),
            recipe: recipe.clone(),
            at: 0.0,
            highest: busiest * (1.0 + recipe.curve.0),
            arrivals: random_stream(seed, "arrivals", 0),
            places: random_stream(seed, "places", 0),
            work: random_stream(seed, "work", 0),
            keys: random_stream(seed, "keys", 0),
            popular,
        }
    }

    /// The same as a plan takes them.
    pub fn requests(self) -> impl Iterator<Item = ScheduledRequest> {
        self.map(|txn| ScheduledRequest {
            at: txn.at_us as f64 / 1e6,
            request_class: txn.request_class as usize,
            zone: txn.zone as usize,
            work: txn.work_us.unwrap_or(0) as f64 / 1e6,
            key: txn.idempotency_key,
        })
    }

    fn wave(&self) -> f64 {
        let (depth, period) = self.recipe.curve;
        1.0 + depth * (self.at / period * std::f64::consts::TAU).sin()
    }

    /// Draws which product and hall a txn of this moment belongs to, by their rates.
    fn place(&mut self, rate: f64) -> (usize, usize) {
        let mut drawn = self.places.random::<f64>() * rate;
        let mut last = (0, 0);
        for product in 0..self.fleet.request_classes.len() {
            for hall in 0..self.fleet.zones.len() {
                let part = part(&self.fleet, &self.recipe, self.at, product, hall);
                drawn -= part * self.recipe.txns_per_s;
                if part > 0.0 {
                    last = (product, hall);
                }
                if drawn < 0.0 && part > 0.0 {
                    return last;
                }
            }
        }
        last
    }
}

/// The part of the rate that a product and hall have at a moment.
fn part(fleet: &Fleet, recipe: &LoadProfile, at: f64, product: usize, hall: usize) -> f64 {
    let touching = recipe.bursts.iter().filter(|burst| burst.touches(at, product, hall));
    fleet.request_classes[product].share
        * fleet.zones[hall].client_share
        * touching.map(|burst| burst.times).product::<f64>()
}

fn recipe_rate(fleet: &Fleet, recipe: &LoadProfile, at: f64) -> f64 {
    let (products, halls) = (fleet.request_classes.len(), fleet.zones.len());
    let parts = (0..products).flat_map(|p| (0..halls).map(move |h| (p, h)));
    parts.map(|(p, h)| part(fleet, recipe, at, p, h)).sum::<f64>() * recipe.txns_per_s
}

/// Seconds of work of one txn, drawn.
pub fn work(work: &Work, draws: &mut Pcg64Mcg) -> f64 {
    // Three draws whatever comes of them, so that one txn's cost moves no other's.
    let [plain, costly, factor] = [(); 3].map(|()| draws.random::<f64>());
    let times = if costly < work.costly_share {
        work.costly_from + (work.costly_to - work.costly_from) * factor
    } else {
        1.0
    };
    (work.from + (work.to - work.from) * plain) * times
}

impl Iterator for LoadGenerator {
    type Item = RequestRecord;

    fn next(&mut self) -> Option<RequestRecord> {
        if self.highest <= 0.0 {
            return None;
        }
        let gap = Exp::new(self.highest).expect("a rate above 0");
        loop {
            self.at += gap.sample(&mut self.arrivals);
            if self.at >= self.recipe.for_s {
                return None;
            }
            // Thinned from the highest rate to this moment's.
            let rate = recipe_rate(&self.fleet, &self.recipe, self.at);
            if self.arrivals.random::<f64>() * self.highest >= rate * self.wave() {
                continue;
            }
            let (product, hall) = self.place(rate);
            let mut cost = work(&self.fleet.request_classes[product].work, &mut self.work);
            let bursts = self.recipe.bursts.iter().filter(|b| b.touches(self.at, product, hall));
            for burst in bursts {
                let [costly, factor] = [(); 2].map(|()| self.work.random::<f64>());
                if costly < burst.costly_share {
                    cost *= burst.costly.0 + (burst.costly.1 - burst.costly.0) * factor;
                }
            }
            let key = self.popular.as_ref().map(|popular| popular.sample(&mut self.keys) as u64);
            return Some(RequestRecord {
                at_us: (self.at * 1e6) as i64,
                request_class: product as u32,
                zone: hall as u32,
                work_us: Some((cost * 1e6).round() as u64),
                idempotency_key: key,
                attempt: 0,
            });
        }
    }
}
