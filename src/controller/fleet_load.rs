//! The measured load of the whole fleet, fading over the last seconds, and whether the fleet struggles.
//!
//! [`Controller`](super::Controller) records demand and outcomes here as load reports arrive. Admission
//! control and slow start read it. The verdict has hysteresis: a fleet that struggles does so until it is
//! clearly well.

use crate::time::Span;

/// Reports arrive so long after the attempts that they cover.
pub(super) const REPORT_DELAY: Span = Span::from_us(2_000_000);
/// Attempts below which nothing is concluded.
pub(super) const MIN_ATTEMPTS: f64 = 6.0;

/// Two thresholds for one figure: a state is entered at one and left at the other.
pub(super) struct Hysteresis {
    pub(super) enter: f64,
    leave: f64,
}

/// The median outlier score above which the fleet struggles.
pub(super) const MEDIAN_SCORE: Hysteresis = Hysteresis { enter: 0.2, leave: 0.15 };
/// The fraction of the attempts that is answered, below which the fleet struggles.
const ANSWERED_FRACTION: Hysteresis = Hysteresis { enter: 0.85, leave: 0.92 };
/// The fraction of the attempts that is answered, below which the fleet is overloaded.
const OVERLOADED_ANSWERED_FRACTION: f64 = 0.7;
/// The shortest window over which rates are computed.
const MIN_WINDOW_SECS: f64 = 0.1;

/// Demand, outcomes and joined proxies over a fading window.
#[derive(Default)]
pub(super) struct FleetLoad {
    /// Requests that clients asked for, by request class.
    pub(super) demand: Vec<f64>,
    /// Attempts at endpoints; they fade faster than the window.
    pub(super) attempts: f64,
    /// Attempts that were answered; they fade as `attempts` do.
    pub(super) answered: f64,
    /// Attempts that were answered within the window.
    pub(super) served: f64,
    /// The usual request rates of the joined proxies, summed over the evaluations.
    pub(super) joined_rates: f64,
    /// The length of the window.
    pub(super) window: Span,
    /// The median outlier score of the last evaluation.
    pub(super) median_score: f64,
    /// Whether the fleet struggles.
    pub(super) struggling: bool,
}

impl FleetLoad {
    /// No load, for a number of request classes.
    pub(super) fn new(request_classes: usize) -> Self {
        FleetLoad { demand: vec![0.0; request_classes], ..FleetLoad::default() }
    }

    /// Extends the window by the time since the last evaluation.
    pub(super) fn extend_window(&mut self, by: Span) {
        self.window = self.window + by;
    }

    /// Records requests of a class; a class that is not configured is ignored.
    pub(super) fn record_demand(&mut self, class: usize, requests: f64) {
        if let Some(demand) = self.demand.get_mut(class) {
            *demand += requests;
        }
    }

    /// Records attempts and how many of them were answered.
    pub(super) fn record_outcomes(&mut self, attempts: f64, answered: f64) {
        self.attempts += attempts;
        self.answered += answered;
        self.served += answered;
    }

    /// The length of the window in seconds.
    pub(super) fn window_secs(&self) -> f64 {
        self.window.as_secs().max(MIN_WINDOW_SECS)
    }

    /// Decides whether the fleet struggles, and returns whether it is overloaded.
    pub(super) fn assess(&mut self) -> bool {
        let enough = self.attempts >= MIN_ATTEMPTS;
        let answered_fraction = if enough { self.answered / self.attempts } else { 1.0 };
        let overloaded = answered_fraction < OVERLOADED_ANSWERED_FRACTION
            || self.median_score > MEDIAN_SCORE.enter && enough;
        let is_still_unwell =
            answered_fraction < ANSWERED_FRACTION.leave || self.median_score > MEDIAN_SCORE.leave;
        self.struggling =
            overloaded || answered_fraction < ANSWERED_FRACTION.enter || self.struggling && is_still_unwell;
        overloaded
    }

    /// Lets everything measured fade; called once an evaluation.
    pub(super) fn decay(&mut self) {
        for demand in &mut self.demand {
            *demand /= 2.0;
        }
        self.attempts /= 4.0;
        self.answered /= 4.0;
        self.served /= 2.0;
        self.joined_rates /= 2.0;
        self.window = self.window * 0.5;
    }
}
