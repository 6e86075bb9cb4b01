//! Admission control: how much of each request class the proxies admit, and their retry policy.
//!
//! [`Controller`](super::Controller) runs [`Admission::shed_load`] once per evaluation; publication sends the
//! resulting levels. Load is shed only with [`AdmissionMode::Fraction`]; in the other modes the levels never
//! change. While the fleet is overloaded, the admitted rate is limited to slightly less than the
//! rate it recently answered, and classes are admitted in descending order of priority weight. Once the fleet
//! is no longer degraded, the limit grows step by step until it is removed. No level falls below a minimum,
//! so that load reports keep covering every class.

use super::fleet_load::{FleetLoad, REPORT_DELAY};
use crate::config::{AdmissionMode, ControllerConfig};
use crate::host::RetryPolicy;
use crate::time::Moment;

/// The controller never allows the proxies to retry: a retry could execute a write twice, and it would add
/// load to a zone that has just reached its capacity.
pub(super) const RETRY_POLICY: RetryPolicy = RetryPolicy::Never;

/// The budget of an overloaded fleet, as a fraction of the rate that it answered.
const BUDGET_FRACTION_OF_ANSWERED: f64 = 0.9;
/// The factor by which the budget grows at each evaluation at which the fleet is not degraded.
const BUDGET_GROWTH: f64 = 1.08;
/// The budget is removed once it reaches this multiple of the demand.
const BUDGET_REMOVAL_RATIO: f64 = 1.2;
/// Proxies are considered to be still joining while the joined request rate exceeds this multiple of its mean
/// over the window.
const JOINING_RATE_RATIO: f64 = 1.25;
/// The lowest admission level of any class.
const MIN_LEVEL: f64 = 0.1;
/// A level is not changed by this much or less, except back to 1.
const MIN_LEVEL_CHANGE: f64 = 0.05;
/// The level if levels are rates, which never changes; high enough to admit everything.
const UNLIMITED_RATE: f64 = 1e6;

/// The admission levels and the budget from which they are computed.
pub(super) struct Admission {
    /// The level of each request class, in the unit of the configured [`AdmissionMode`].
    pub(super) levels: Vec<f64>,
    /// The total requests per second to admit; `None` means no limit.
    pub(super) budget: Option<f64>,
    /// The mean joined request rate over the window in which the budget was measured.
    budget_joined_request_rate: f64,
    /// When the budget was last measured or proxies were last seen joining, whichever is later. The budget is
    /// not measured again before reports of attempts that began after this have arrived.
    last_measured: Moment,
}

impl Admission {
    /// Creates the initial state, which admits everything.
    pub(super) fn new(config: &ControllerConfig) -> Self {
        let unlimited = if config.admission == AdmissionMode::RatePerSecond { UNLIMITED_RATE } else { 1.0 };
        Admission {
            levels: vec![unlimited; config.request_classes.len()],
            budget: None,
            budget_joined_request_rate: 0.0,
            last_measured: Moment::default(),
        }
    }

    /// Adapts the budget and the levels to the load. `joined_request_rate` is the summed usual request rate
    /// of the joined proxies.
    pub(super) fn shed_load(
        &mut self,
        now: Moment,
        load: &mut FleetLoad,
        joined_request_rate: f64,
        config: &ControllerConfig,
    ) {
        load.joined_request_rate_sum += joined_request_rate;
        let overloaded = load.assess();
        self.update_budget(now, load, overloaded, joined_request_rate, config);
        self.update_levels(load, joined_request_rate, config);
    }

    fn update_budget(
        &mut self,
        now: Moment,
        load: &FleetLoad,
        overloaded: bool,
        joined_request_rate: f64,
        config: &ControllerConfig,
    ) {
        let window = load.window_secs();
        // `joined_request_rate_sum` grows by one joined request rate per evaluation, and evaluations are 1 s
        // apart; divided by the window in seconds, it is therefore the mean joined request rate.
        //
        // Reports cover only the proxies that were joined at the time. While more are joining, the reports do
        // not represent the load of all of them.
        if joined_request_rate * window > load.joined_request_rate_sum * JOINING_RATE_RATIO {
            self.last_measured = now;
        }
        if overloaded && now - self.last_measured >= REPORT_DELAY + config.report_interval {
            self.budget = Some(load.answered_in_window / window * BUDGET_FRACTION_OF_ANSWERED);
            self.budget_joined_request_rate = load.joined_request_rate_sum / window;
            self.last_measured = now;
        } else if !load.is_degraded {
            let demand = load.demand.iter().sum::<f64>() / window;
            let grown = self.budget.map(|budget| budget * BUDGET_GROWTH);
            self.budget = grown.filter(|budget| *budget < demand * BUDGET_REMOVAL_RATIO);
        }
    }

    fn update_levels(&mut self, load: &FleetLoad, joined_request_rate: f64, config: &ControllerConfig) {
        if config.admission != AdmissionMode::Fraction {
            return;
        }
        // The budget was measured for the proxies that were joined at the time. It scales up as more of them
        // join; otherwise the requests of a zone that reconnects would be rejected until the budget has
        // grown.
        let growth = (joined_request_rate / self.budget_joined_request_rate.max(1e-9)).max(1.0);
        let mut remaining = self.budget.map_or(f64::INFINITY, |budget| budget * growth);
        let window = load.window_secs();
        for class in classes_by_priority(config) {
            let demand = (load.demand[class] / window).max(1e-9);
            let level = (remaining / demand).clamp(MIN_LEVEL, 1.0);
            remaining = (remaining - level * demand).max(0.0);
            if (level - self.levels[class]).abs() > MIN_LEVEL_CHANGE || level >= 1.0 {
                self.levels[class] = level;
            }
        }
    }
}

fn classes_by_priority(config: &ControllerConfig) -> Vec<usize> {
    let weight = |class: &usize| config.request_classes[*class].priority_weight;
    let mut classes: Vec<usize> = (0..config.request_classes.len()).collect();
    classes.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
    classes
}

#[cfg(test)]
mod tests;
