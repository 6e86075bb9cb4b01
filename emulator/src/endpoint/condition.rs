//! The condition of an endpoint: its warm-up, its collapse under overload while it warms up, and its faults.

use otterwinch::time::Span;
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// What decides how an endpoint treats the next request.
pub(super) struct Condition {
    /// The factor by which execution takes longer.
    pub(super) slowdown: f64,
    /// The fraction of requests that fail at once.
    pub(super) failure_fraction: f64,
    /// Whether requests are left without an answer.
    pub(super) hanging: bool,
    /// Whether it collapsed since it was started.
    pub(super) collapsed: bool,
    cores: u32,
    speed: f64,
    warm_up: Option<WarmUp>,
    overload_collapse: Option<OverloadCollapse>,
    /// When the warm-up began; `None` if that is long ago.
    started: Option<Instant>,
    /// Work that arrived during the warm-up, within the window of the overload collapse.
    recent_work: VecDeque<ArrivedWork>,
    rng: Pcg64Mcg,
}

/// The work of a request on arrival.
struct ArrivedWork {
    at: Instant,
    /// Seconds on a core of speed 1.
    work: f64,
}

/// How an arriving request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestAction {
    /// It is executed, or queued.
    Execute,
    /// It fails at once.
    Fail,
    /// It is never answered.
    Hang,
    /// It overloads the endpoint, which collapses.
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

    /// Ends all faults, and begins the warm-up now.
    pub(super) fn restart(&mut self) {
        self.slowdown = 1.0;
        self.failure_fraction = 0.0;
        self.hanging = false;
        self.collapsed = false;
        self.started = Some(Instant::now());
        self.recent_work.clear();
    }

    /// Decides how to treat a request that arrives now. Its work is in seconds on a core of speed 1.
    pub(super) fn action_for(&mut self, work: f64) -> RequestAction {
        // Drawn even while it hangs, so that hanging doesn't shift the draws of later requests.
        let fails = self.failure_fraction > 0.0 && self.rng.random::<f64>() < self.failure_fraction;
        if self.hanging {
            return RequestAction::Hang;
        }
        if fails {
            return RequestAction::Fail;
        }
        if self.is_overloaded_by(work) {
            self.collapsed = true;
            return RequestAction::Collapse;
        }
        RequestAction::Execute
    }

    /// The seconds that a core needs at the present speed for work in seconds on a core of speed 1.
    pub(super) fn execution_seconds(&self, work: f64) -> f64 {
        work / (self.speed * self.warm_up_fraction() / self.slowdown)
    }

    /// The fraction of its full speed that it has reached in its warm-up.
    fn warm_up_fraction(&self) -> f64 {
        match (self.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                let age_us = started.elapsed().as_micros() as i64;
                warm_up.speed_fraction(Span::from_us(age_us))
            }
            _ => 1.0,
        }
    }

    /// Records work that arrives now; returns whether it is more than the endpoint survives during its warm-up.
    fn is_overloaded_by(&mut self, work: f64) -> bool {
        let warm_up_fraction = self.warm_up_fraction();
        let Some(collapse) = self.overload_collapse.filter(|_| warm_up_fraction < 1.0) else {
            return false;
        };
        let window = collapse.window.as_secs();
        let now = Instant::now();
        self.recent_work.push_back(ArrivedWork { at: now, work });
        let oldest = Duration::from_secs_f64(window);
        while self.recent_work.front().is_some_and(|arrived| now - arrived.at > oldest) {
            self.recent_work.pop_front();
        }
        let speed = f64::from(self.cores) * self.speed * warm_up_fraction / self.slowdown;
        let survivable_work = speed * window * collapse.overload_factor;
        self.recent_work.iter().map(|arrived| arrived.work).sum::<f64>() > survivable_work
    }
}
