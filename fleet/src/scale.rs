//! More or less of the same load: what a plan calls a multiple of it.

use crate::load::ScheduledRequest;
use crate::sampling::random_stream;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BinaryHeap;

/// Copies are due so long before or after their original, in seconds, at even chance: close enough to keep the load's
/// shape, far enough not to come as one.
const JITTER: f64 = 0.5;

/// A load `times` as heavy. Each txn goes on so often in the mean, at its own product, hall and work; the shape through
/// time stays, bursts and holes as well. At 1 the load goes through untouched.
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
    times: f64,
    draws: Pcg64Mcg,
    waiting: BinaryHeap<Waits>,
    nth: u64,
    /// No copy that is still to come is due before this.
    settled: f64,
}

struct Waits(ScheduledRequest, u64);

impl PartialEq for Waits {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Waits {}

impl Ord for Waits {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.0.at.total_cmp(&self.0.at).then(other.1.cmp(&self.1))
    }
}

impl PartialOrd for Waits {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<I: Iterator<Item = ScheduledRequest>> ScaledLoad<I> {
    pub fn new(load: I, times: f64, seed: u64) -> Self {
        let draws = random_stream(seed, "copies", 0);
        ScaledLoad { load, times, draws, waiting: BinaryHeap::new(), nth: 0, settled: f64::NEG_INFINITY }
    }

    fn push(&mut self, due: ScheduledRequest) {
        self.nth += 1;
        self.waiting.push(Waits(due, self.nth));
    }
}

impl<I: Iterator<Item = ScheduledRequest>> Iterator for ScaledLoad<I> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        if self.times == 1.0 {
            return self.load.next();
        }
        loop {
            if self.waiting.peek().is_some_and(|w| w.0.at <= self.settled) {
                return self.waiting.pop().map(|w| w.0);
            }
            let Some(due) = self.load.next() else {
                return self.waiting.pop().map(|w| w.0);
            };
            self.settled = due.at - JITTER;
            // The original goes first where it goes at all; each further one is a copy.
            let copies = (self.times + self.draws.random::<f64>()) as u64;
            for k in 0..copies {
                let moved = JITTER * (2.0 * self.draws.random::<f64>() - 1.0);
                let at = if k == 0 { due.at } else { (due.at + moved).max(0.0) };
                self.push(ScheduledRequest { at, ..due });
            }
        }
    }
}
