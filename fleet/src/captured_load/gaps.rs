//! Detects unusually long periods without requests in a capture.

use super::findings::Gap;

/// A gap lasts longer than this.
const MIN_GAP_SECONDS: f64 = 1.0;
/// A gap also lasts longer than this many times the mean time between requests.
const MIN_GAP_TO_MEAN_RATIO: f64 = 200.0;
/// No gap is reported until more than this many requests have been seen: the mean is not reliable before.
const MIN_REQUESTS_FOR_MEAN: u64 = 100;
/// The mean is a cumulative average up to this many requests, and an exponential moving average after that
/// with the inverse of this number as its weight.
const MEAN_WINDOW_REQUESTS: f64 = 1_000.0;

/// Detects gaps from the times between requests.
#[derive(Default)]
pub(super) struct GapDetector {
    previous_at: Option<f64>,
    /// The moving average of the time between requests, gaps excluded.
    mean_interval_seconds: f64,
}

impl GapDetector {
    /// Observes the next request, which `requests_before` others precede; returns the gap before it, if any.
    pub(super) fn observe(&mut self, at: f64, requests_before: u64) -> Option<Gap> {
        let interval_seconds = at - self.previous_at.unwrap_or(at);
        self.previous_at = Some(at);
        if interval_seconds > MIN_GAP_SECONDS
            && requests_before > MIN_REQUESTS_FOR_MEAN
            && interval_seconds > MIN_GAP_TO_MEAN_RATIO * self.mean_interval_seconds
        {
            return Some(Gap { from: at - interval_seconds, to: at });
        }
        let weight = (requests_before as f64 + 1.0).min(MEAN_WINDOW_REQUESTS);
        self.mean_interval_seconds += (interval_seconds - self.mean_interval_seconds) / weight;
        None
    }
}
