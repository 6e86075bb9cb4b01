//! The condition of an endpoint: its warm-up, its collapse under overload during the warm-up, and injected
//! faults.

use otterwinch::time::Span;
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The state that determines how an endpoint handles the next request.
pub(super) struct Condition {
    /// The factor by which the execution time is multiplied; 1 without a fault.
    pub(super) slowdown: f64,
    /// The fraction of requests that fail at once.
    pub(super) failure_fraction: f64,
    /// Whether requests are left unanswered.
    pub(super) hanging: bool,
    /// Whether the endpoint has collapsed since its last start.
    pub(super) collapsed: bool,
    cores: u32,
    speed: f64,
    warm_up: Option<WarmUp>,
    overload_collapse: Option<OverloadCollapse>,
    /// When the warm-up started; `None` if that was long ago.
    started: Option<Instant>,
    /// The work that arrived during the warm-up within the time window of the overload collapse, oldest
    /// first.
    recent_work: VecDeque<ArrivedWork>,
    rng: Pcg64Mcg,
}

/// The work of an arrived request.
struct ArrivedWork {
    arrived_at: Instant,
    /// Seconds on a core of speed 1.
    work: f64,
}

/// How an arriving request is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestAction {
    /// The request is executed, or queued.
    Execute,
    /// The request fails at once.
    Fail,
    /// The request is never answered.
    Hang,
    /// The request overloads the endpoint, which collapses.
    Collapse,
}

impl Condition {
    pub(super) fn new(group: &EndpointGroup, speed: f64, started: Option<Instant>, rng: Pcg64Mcg) -> Self {
        Condition {
            slowdown: 1.0,
            failure_fraction: 0.0,
            hanging: false,
            collapsed: false,
            cores: group.cores,
            speed,
            warm_up: group.warm_up,
            overload_collapse: group.overload_collapse,
            started,
            recent_work: VecDeque::new(),
            rng,
        }
    }

    /// Ends all faults and starts the warm-up.
    pub(super) fn restart(&mut self) {
        self.slowdown = 1.0;
        self.failure_fraction = 0.0;
        self.hanging = false;
        self.collapsed = false;
        self.started = Some(Instant::now());
        self.recent_work.clear();
    }

    /// Decides how to handle a request that arrives now. `work` is in seconds on a core of speed 1.
    pub(super) fn action_for(&mut self, work: f64) -> RequestAction {
        // Drawn even while the endpoint hangs, so that hanging doesn't change the random numbers of later
        // requests.
        let fails = self.failure_fraction > 0.0 && self.rng.random::<f64>() < self.failure_fraction;
        if self.hanging {
            return RequestAction::Hang;
        }
        if fails {
            return RequestAction::Fail;
        }
        if self.record_and_check_overload(work) {
            self.collapsed = true;
            return RequestAction::Collapse;
        }
        RequestAction::Execute
    }

    /// The execution time at the current speed, in seconds. `work` is in seconds on a core of speed 1.
    pub(super) fn execution_seconds(&self, work: f64) -> f64 {
        work / (self.speed * self.speed_fraction() / self.slowdown)
    }

    /// The fraction of its full speed that the endpoint has reached in its warm-up.
    fn speed_fraction(&self) -> f64 {
        match (self.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                let age_us = started.elapsed().as_micros() as i64;
                warm_up.speed_fraction(Span::from_us(age_us))
            }
            _ => 1.0,
        }
    }

    /// Records work that arrives now, and returns whether the work within the time window exceeds the
    /// amount that the endpoint withstands during its warm-up. Once warm, it withstands any load.
    fn record_and_check_overload(&mut self, work: f64) -> bool {
        let speed_fraction = self.speed_fraction();
        let Some(collapse) = self.overload_collapse.filter(|_| speed_fraction < 1.0) else {
            return false;
        };
        let window = collapse.window.as_secs();
        let now = Instant::now();
        self.recent_work.push_back(ArrivedWork { arrived_at: now, work });
        let max_age = Duration::from_secs_f64(window);
        while self.recent_work.front().is_some_and(|arrived| now - arrived.arrived_at > max_age) {
            self.recent_work.pop_front();
        }
        let speed = f64::from(self.cores) * self.speed * speed_fraction / self.slowdown;
        let collapse_threshold = speed * window * collapse.overload_factor;
        self.recent_work.iter().map(|arrived| arrived.work).sum::<f64>() > collapse_threshold
    }
}
