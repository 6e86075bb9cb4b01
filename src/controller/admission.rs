//! Admission control: how much of each request class the proxies admit, and their retry policy.
//!
//! [`Controller`](super::Controller) runs [`Admission::shed_load`] once an evaluation; publication sends the
//! levels. While the fleet is overloaded no more is admitted than it answered of late, the classes of the
//! highest priority weight first. The limit grows again step by step once the fleet is well. No level falls
//! below a floor, so that load reports go on covering every class.

use super::fleet_load::{FleetLoad, REPORT_DELAY};
use crate::config::{AdmissionMode, ControllerConfig};
use crate::host::RetryPolicy;
use crate::time::Moment;

/// Proxies never retry on our commands: a retry could run a write twice, and would add load to a zone that
/// has just become full.
pub(super) const RETRY_POLICY: RetryPolicy = RetryPolicy::Never;

/// The fraction of what was served that an overloaded fleet is given.
const BUDGET_FRACTION_OF_SERVED: f64 = 0.9;
/// The growth of the budget at each evaluation of a fleet that is well.
const BUDGET_GROWTH: f64 = 1.08;
/// The budget is lifted once it exceeds the demand so much.
const BUDGET_LIFTED_AT: f64 = 1.2;
/// While the joined rate exceeds its mean over the window so much, proxies are still joining.
const JOINING_GROWTH: f64 = 1.25;
const MIN_LEVEL: f64 = 0.1;
/// Changes of a level up to this size are not made.
const LEVEL_STEP: f64 = 0.05;
/// The initial level where levels are rates: admits everything.
const UNLIMITED_PER_SECOND: f64 = 1e6;

/// The admission levels and the budget that they are computed from.
pub(super) struct Admission {
    /// The level of each request class, in the unit of the configured [`AdmissionMode`].
    pub(super) levels: Vec<f64>,
    /// Requests a second that are admitted in all; `None`: no limit.
    pub(super) budget: Option<f64>,
    /// The usual request rate of the proxies for which the budget was measured.
    budget_joined_rate: f64,
    /// When the budget was measured last, or proxies were still joining.
    last_measured: Moment,
}

impl Admission {
    /// Admits everything.
    pub(super) fn new(config: &ControllerConfig) -> Self {
        let all = if config.admission == AdmissionMode::RatePerSecond { UNLIMITED_PER_SECOND } else { 1.0 };
        Admission {
            levels: vec![all; config.request_classes.len()],
            budget: None,
            budget_joined_rate: 0.0,
            last_measured: Moment::default(),
        }
    }

    /// Adapts budget and levels to the load. `joined_rate` is the usual request rate of the joined proxies.
    pub(super) fn shed_load(
        &mut self,
        now: Moment,
        load: &mut FleetLoad,
        joined_rate: f64,
        config: &ControllerConfig,
    ) {
        load.joined_rates += joined_rate;
        let overloaded = load.assess();
        self.update_budget(now, load, overloaded, joined_rate, config);
        self.update_levels(load, joined_rate, config);
    }

    fn update_budget(
        &mut self,
        now: Moment,
        load: &FleetLoad,
        overloaded: bool,
        joined_rate: f64,
        config: &ControllerConfig,
    ) {
        let window = load.window_secs();
        // Reports cover the proxies that were joined then: while more join, they are no measure for all.
        if joined_rate * window > load.joined_rates * JOINING_GROWTH {
            self.last_measured = now;
        }
        if overloaded && now - self.last_measured >= REPORT_DELAY + config.report_interval {
            self.budget = Some(load.served / window * BUDGET_FRACTION_OF_SERVED);
            self.budget_joined_rate = load.joined_rates / window;
            self.last_measured = now;
        } else if !load.struggling {
            let demand = load.demand.iter().sum::<f64>() / window;
            let grown = self.budget.map(|budget| budget * BUDGET_GROWTH);
            self.budget = grown.filter(|budget| *budget < demand * BUDGET_LIFTED_AT);
        }
    }

    fn update_levels(&mut self, load: &FleetLoad, joined_rate: f64, config: &ControllerConfig) {
        if config.admission != AdmissionMode::Fraction {
            return;
        }
        // The budget was measured for the proxies joined then. It grows with those that come back, or a zone
        // that was cut off would be rejected for as long as the budget takes to grow.
        let growth = (joined_rate / self.budget_joined_rate.max(1e-9)).max(1.0);
        let mut remaining = self.budget.map_or(f64::INFINITY, |budget| budget * growth);
        let window = load.window_secs();
        for class in classes_by_priority(config) {
            let demand = (load.demand[class] / window).max(1e-9);
            let level = (remaining / demand).clamp(MIN_LEVEL, 1.0);
            remaining = (remaining - level * demand).max(0.0);
            if (level - self.levels[class]).abs() > LEVEL_STEP || level >= 1.0 {
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
