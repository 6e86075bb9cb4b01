//! The recent peak of a total weight, from which a loss of endpoints is recognized.
//!
//! The endpoint registry keeps one for the fleet, and each route table one for the endpoints that it may
//! hold.

/// The factor by which the peak decays at each evaluation.
const PEAK_DECAY: f64 = 0.99;

/// The present value of a total weight and its recent peak.
#[derive(Default)]
pub(super) struct PeakWeight {
    current: f64,
    peak: f64,
}

impl PeakWeight {
    /// Records the present value.
    pub(super) fn record(&mut self, current: f64) {
        self.current = current;
        self.peak = self.peak.max(current);
    }

    /// Lets the peak approach the present value; called once per evaluation. While there is no weight at all,
    /// nothing shows that less is needed, so the peak stays.
    pub(super) fn decay(&mut self) {
        if self.current > 0.0 {
            self.peak = (self.peak * PEAK_DECAY).max(self.current);
        }
    }

    /// The recent peak.
    pub(super) fn peak(&self) -> f64 {
        self.peak
    }

    /// The present value as a fraction of the recent peak.
    pub(super) fn fraction_of_peak(&self) -> f64 {
        self.current / self.peak.max(1e-9)
    }
}

#[cfg(test)]
mod tests;
