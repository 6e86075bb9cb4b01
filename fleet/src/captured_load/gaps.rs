//! Recognizes times in which a capture has nothing though it should.

use super::findings::Gap;

/// A gap lasts longer than this, and longer than this many times the mean time between requests.
const MIN_GAP_SECONDS: f64 = 1.0;
const MIN_GAP_MEANS: f64 = 200.0;
/// Requests before which the mean is not known well enough.
const MIN_REQUESTS: u64 = 100;
/// The number of requests over which the mean is taken.
const MEAN_REQUESTS: f64 = 1_000.0;

/// Watches the times between requests.
#[derive(Default)]
pub(super) struct GapDetector {
    previous_at: Option<f64>,
    /// The moving mean of the time between requests, without gaps.
    mean_seconds: f64,
}

impl GapDetector {
    /// Observes a request after so many others; returns the gap before it, if there is one.
    pub(super) fn observe(&mut self, at: f64, requests_before: u64) -> Option<Gap> {
        let seconds = at - self.previous_at.unwrap_or(at);
        self.previous_at = Some(at);
        if seconds > MIN_GAP_SECONDS
            && requests_before > MIN_REQUESTS
            && seconds > MIN_GAP_MEANS * self.mean_seconds
        {
            return Some(Gap { from: at - seconds, to: at });
        }
        let weight = (requests_before as f64 + 1.0).min(MEAN_REQUESTS);
        self.mean_seconds += (seconds - self.mean_seconds) / weight;
        None
    }
}
