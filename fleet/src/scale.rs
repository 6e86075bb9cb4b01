//! Scales the number of requests of a load.

use crate::load::ScheduledRequest;
use crate::sampling::random_stream;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The maximum difference between the time of a copy and that of its original: short enough to preserve the
/// shape of the load, and long enough that the two don't coincide.
const JITTER_SECONDS: f64 = 0.5;

/// A load with `factor` times as many requests. Each request occurs `factor` times on average, with its
/// class, zone and work. The shape of the load over time is preserved, including bursts and gaps. A factor of
/// 1 leaves the load unchanged.
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
    rng: Pcg64Mcg,
    buffer: BinaryHeap<BufferedRequest>,
    /// The sequence number of the request that was buffered last.
    last_sequence: u64,
    /// No copy that is still to come has an earlier time than this, in seconds.
    final_until: f64,
}

impl<I: Iterator<Item = ScheduledRequest>> ScaledLoad<I> {
    /// Scales a load, which must be ordered by time.
    pub fn new(load: I, factor: f64, seed: u64) -> Self {
        ScaledLoad {
            load,
            factor,
            rng: random_stream(seed, "copies", 0),
            buffer: BinaryHeap::new(),
            last_sequence: 0,
            final_until: f64::NEG_INFINITY,
        }
    }

    fn push(&mut self, request: ScheduledRequest) {
        self.last_sequence += 1;
        self.buffer.push(BufferedRequest { request, sequence: self.last_sequence });
    }

    /// Buffers `factor` copies of a request on average. The first is the original, which keeps its time.
    fn push_copies(&mut self, request: ScheduledRequest) {
        let copies = (self.factor + self.rng.random::<f64>()) as u64;
        for copy in 0..copies {
            let offset = JITTER_SECONDS * (2.0 * self.rng.random::<f64>() - 1.0);
            let at = if copy == 0 { request.at } else { (request.at + offset).max(0.0) };
            self.push(ScheduledRequest { at, ..request });
        }
    }
}

impl<I: Iterator<Item = ScheduledRequest>> Iterator for ScaledLoad<I> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        if self.factor == 1.0 {
            return self.load.next();
        }
        while self.buffer.peek().is_none_or(|earliest| earliest.request.at > self.final_until) {
            let Some(request) = self.load.next() else { break };
            self.final_until = request.at - JITTER_SECONDS;
            self.push_copies(request);
        }
        self.buffer.pop().map(|buffered| buffered.request)
    }
}

struct BufferedRequest {
    request: ScheduledRequest,
    /// Orders requests with the same time.
    sequence: u64,
}

impl PartialEq for BufferedRequest {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for BufferedRequest {}

impl Ord for BufferedRequest {
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest request is needed first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = other.request.at.total_cmp(&self.request.at);
        by_time.then(other.sequence.cmp(&self.sequence))
    }
}

impl PartialOrd for BufferedRequest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
