//! The measured load of the whole fleet over a decaying window, and whether the fleet is degraded.
//!
//! [`Controller`](super::Controller) records demand and outcomes here as load reports arrive; admission
//! control and slow start read them. The assessment has hysteresis: a degraded fleet stays so until its
//! figures are clearly better than those at which it became degraded.

use crate::time::Span;

/// The longest assumed delay between attempts and the arrival of the load report that covers them, in
/// addition to the interval of the report.
pub(super) const REPORT_DELAY: Span = Span::from_us(2_000_000);
/// The minimum number of attempts from which conclusions are drawn.
pub(super) const MIN_ATTEMPTS: f64 = 6.0;

/// A pair of thresholds for one figure: one for entering overload or degradation, and one that the figure
/// must reach before a degraded fleet counts as recovered.
pub(super) struct Hysteresis {
    pub(super) enter: f64,
    leave: f64,
}

/// The median outlier score: above `enter` the fleet is overloaded, above `leave` a degraded one stays so.
pub(super) const MEDIAN_SCORE: Hysteresis = Hysteresis { enter: 0.2, leave: 0.15 };
/// The answered fraction of attempts: below `enter` the fleet becomes degraded, below `leave` it stays so.
const ANSWERED_FRACTION: Hysteresis = Hysteresis { enter: 0.85, leave: 0.92 };
/// The answered fraction of attempts below which the fleet is overloaded.
const OVERLOADED_ANSWERED_FRACTION: f64 = 0.7;
/// The shortest window over which rates are computed.
const MIN_WINDOW_SECS: f64 = 0.1;

/// Demand, outcomes and the request rate of the joined proxies over a decaying window.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Requests made by clients, by request class.
    pub(super) demand: Vec<f64>,
    /// Attempts at endpoints; the count decays faster than the window.
    pub(super) attempts: f64,
    /// Attempts that were answered; decays as `attempts` does.
    pub(super) answered: f64,
    /// Attempts that were answered within the window; decays as the window does.
    pub(super) answered_in_window: f64,
    /// The request rate of the joined proxies, summed over the evaluations of the window.
    pub(super) joined_request_rate_sum: f64,
    /// The length of the decaying window.
    pub(super) window: Span,
    /// The median outlier score at the last evaluation.
    pub(super) median_score: f64,
    /// Whether the fleet is degraded; an overloaded fleet always is.
    pub(super) is_degraded: bool,
}

impl FleetLoad {
    /// Creates a record without load for a number of request classes.
    pub(super) fn new(request_class_count: usize) -> Self {
        FleetLoad { demand: vec![0.0; request_class_count], ..FleetLoad::default() }
    }

    /// Extends the window by the time since the last evaluation.
    pub(super) fn extend_window(&mut self, by: Span) {
        self.window = self.window + by;
    }

    /// Records requests of a class; classes that are not configured are ignored.
    pub(super) fn record_demand(&mut self, class: usize, requests: f64) {
        if let Some(demand) = self.demand.get_mut(class) {
            *demand += requests;
        }
    }

    /// Records attempts and how many of them were answered.
    pub(super) fn record_outcomes(&mut self, attempts: f64, answered: f64) {
        self.attempts += attempts;
        self.answered += answered;
        self.answered_in_window += answered;
    }

    /// The length of the window in seconds, at least [`MIN_WINDOW_SECS`].
    pub(super) fn window_secs(&self) -> f64 {
        self.window.as_secs().max(MIN_WINDOW_SECS)
    }

    /// Updates whether the fleet is degraded, and returns whether it is overloaded.
    pub(super) fn assess(&mut self) -> bool {
        let has_enough_attempts = self.attempts >= MIN_ATTEMPTS;
        let answered_fraction = if has_enough_attempts { self.answered / self.attempts } else { 1.0 };
        let overloaded = answered_fraction < OVERLOADED_ANSWERED_FRACTION
            || self.median_score > MEDIAN_SCORE.enter && has_enough_attempts;
        let has_not_recovered =
            answered_fraction < ANSWERED_FRACTION.leave || self.median_score > MEDIAN_SCORE.leave;
        self.is_degraded = overloaded
            || answered_fraction < ANSWERED_FRACTION.enter
            || self.is_degraded && has_not_recovered;
        overloaded
    }

    /// Decays all measurements; called once per evaluation.
    pub(super) fn decay(&mut self) {
        for demand in &mut self.demand {
            *demand /= 2.0;
        }
        self.attempts /= 4.0;
        self.answered /= 4.0;
        self.answered_in_window /= 2.0;
        self.joined_request_rate_sum /= 2.0;
        self.window = self.window * 0.5;
    }
}
