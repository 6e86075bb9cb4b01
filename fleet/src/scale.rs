//! A load made heavier or lighter.

use crate::load::ScheduledRequest;
use crate::sampling::random_stream;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A copy is due up to this long before or after its original: near enough to keep the shape of the load, far enough not
/// to coincide with it.
const JITTER_SECONDS: f64 = 0.5;

/// A load with `factor` times as many requests. Each request occurs `factor` times in the mean, with its own class, zone
/// and work; the shape through time stays, with bursts and gaps. A factor of 1 leaves the load as it is.
///
/// ```
/// use otterwinch_fleet::{scale::ScaledLoad, ScheduledRequest};
/// let load = (0..1000).map(|k| ScheduledRequest { at: f64::from(k) / 10.0, ..ScheduledRequest::default() });
/// let heavier: Vec<ScheduledRequest> = ScaledLoad::new(load, 1.5, 7).collect();
/// assert!((1400..1600).contains(&heavier.len()));
/// assert!(heavier.windows(2).all(|pair| pair[0].at <= pair[1].at));
/// ```
pub struct ScaledLoad<I> {
    load: I,
    factor: f64,
    random: Pcg64Mcg,
    held: BinaryHeap<Held>,
    /// Counts the requests that were held.
    sequence: u64,
    /// No request that is still to come is due before this, in seconds.
    settled_until: f64,
}

impl<I: Iterator<Item = ScheduledRequest>> ScaledLoad<I> {
    /// Scales a load, which is ordered by time.
    pub fn new(load: I, factor: f64, seed: u64) -> Self {
        ScaledLoad {
            load,
            factor,
            random: random_stream(seed, "copies", 0),
            held: BinaryHeap::new(),
            sequence: 0,
            settled_until: f64::NEG_INFINITY,
        }
    }

    fn hold(&mut self, request: ScheduledRequest) {
        self.sequence += 1;
        self.held.push(Held { request, sequence: self.sequence });
    }

    /// Holds as many copies of a request as the factor asks for. The first is the original at its own time.
    fn copy(&mut self, request: ScheduledRequest) {
        let copies = (self.factor + self.random.random::<f64>()) as u64;
        for number in 0..copies {
            let offset = JITTER_SECONDS * (2.0 * self.random.random::<f64>() - 1.0);
            let at = if number == 0 { request.at } else { (request.at + offset).max(0.0) };
            self.hold(ScheduledRequest { at, ..request });
        }
    }
}

impl<I: Iterator<Item = ScheduledRequest>> Iterator for ScaledLoad<I> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        if self.factor == 1.0 {
            return self.load.next();
        }
        while self.held.peek().is_none_or(|earliest| earliest.request.at > self.settled_until) {
            let Some(request) = self.load.next() else { break };
            self.settled_until = request.at - JITTER_SECONDS;
            self.copy(request);
        }
        self.held.pop().map(|held| held.request)
    }
}

struct Held {
    request: ScheduledRequest,
    /// Orders requests of the same time.
    sequence: u64,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Held {}

impl Ord for Held {
    /// Reversed, since the heap yields its greatest element and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.request.at.total_cmp(&self.request.at);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
