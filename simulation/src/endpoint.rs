//! A simulated endpoint: cores, a bounded queue of requests, bounded connections, slow start and overload collapse. It
//! knows attempts by their slots and by the work that they cost.

use crate::clock::{secs, Time};
use otterwinch::host::{EndpointId, EndpointState};
use otterwinch::time::Span;
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use std::collections::VecDeque;

/// What an endpoint does with an attempt that it is offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Offer {
    /// A core works on it until this time.
    Started(Time),
    /// It waits for a core.
    Queued,
    /// The queue is full.
    Rejected,
    /// The endpoint collapses under it.
    Collapsed,
}

/// An endpoint.
pub(crate) struct Endpoint {
    pub id: EndpointId,
    /// The index of its group in the fleet.
    pub group: usize,
    /// The index of its zone in the fleet.
    pub zone: usize,
    /// What the endpoint list says of it, from its next update on.
    pub state: EndpointState,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it collapsed, and wasn't started again since.
    pub collapsed: bool,
    /// Its latest start; `None` where that is long past.
    pub started: Option<Time>,
    /// Counts its starts and ends: a connection to an earlier incarnation is broken.
    pub incarnation: u32,
    /// The factor by which it is slower than it should be.
    pub slowdown: f64,
    /// The fraction of requests that it fails at once.
    pub failure_rate: f64,
    /// Whether it accepts requests and answers none.
    pub hangs: bool,
    /// The number of open connections.
    pub open_connections: u32,
    /// Work of a new connection, in seconds on a core of speed 1.
    pub connection_work: f64,
    /// Whether it goes on with work that nobody waits for any more.
    pub finishes_abandoned: bool,
    pub cores: u32,
    /// Attempts that it worked on or queued.
    pub accepted: u64,
    /// Attempts that found the queue full.
    pub rejected: u64,
    /// Connections that it didn't accept.
    pub refused_connections: u64,
    speed: f64,
    max_queued: u32,
    max_connections: u32,
    queue: VecDeque<u32>,
    busy_cores: u32,
    warm_up: Option<WarmUp>,
    overload_collapse: Option<OverloadCollapse>,
    recent_work: RecentWork,
    /// Core-seconds in use until `accounted_until`.
    used_core_seconds: f64,
    accounted_until: Time,
}

impl Endpoint {
    /// An endpoint of a group, with its own speed.
    pub(crate) fn new(
        id: EndpointId,
        group_index: usize,
        group: &EndpointGroup,
        speed: f64,
        started: Option<Time>,
    ) -> Self {
        Endpoint {
            id,
            group: group_index,
            zone: group.zone,
            state: EndpointState::Ready,
            weight: group.weight,
            up: true,
            collapsed: false,
            started,
            incarnation: 0,
            slowdown: 1.0,
            failure_rate: 0.0,
            hangs: false,
            open_connections: 0,
            connection_work: group.connection_work,
            finishes_abandoned: group.finishes_abandoned_requests,
            cores: group.cores,
            accepted: 0,
            rejected: 0,
            refused_connections: 0,
            speed,
            max_queued: group.max_queued,
            max_connections: group.max_connections,
            queue: VecDeque::new(),
            busy_cores: 0,
            warm_up: group.warm_up,
            overload_collapse: group.overload_collapse,
            recent_work: RecentWork::default(),
            used_core_seconds: 0.0,
            accounted_until: 0,
        }
    }

    /// The fraction of its full speed that it has while it warms up.
    fn slow_start_factor(&self, now: Time) -> f64 {
        match (self.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                warm_up.speed_fraction(Span::from_us(now.saturating_sub(started) as i64))
            }
            _ => 1.0,
        }
    }

    /// The seconds of work that one core does in a second.
    fn current_speed(&self, now: Time) -> f64 {
        self.speed * self.slow_start_factor(now) / self.slowdown
    }

    /// Opens a connection, or counts it as refused.
    pub(crate) fn accept_connection(&mut self) -> bool {
        let accepted = self.up && self.open_connections < self.max_connections;
        if accepted {
            self.open_connections += 1;
        } else {
            self.refused_connections += 1;
        }
        accepted
    }

    /// Core-seconds in use up to now.
    pub(crate) fn used_core_seconds(&mut self, now: Time) -> f64 {
        self.account_usage(now);
        self.used_core_seconds
    }

    /// Accounts for the use of the cores up to now; to be called before the number of busy cores changes.
    fn account_usage(&mut self, now: Time) {
        let elapsed = secs(now.saturating_sub(self.accounted_until));
        self.used_core_seconds += elapsed * f64::from(self.busy_cores);
        self.accounted_until = now;
    }

    /// Offers an attempt that costs so many seconds of work on a core of speed 1.
    pub(crate) fn offer(&mut self, now: Time, attempt: u32, work: f64) -> Offer {
        if self.collapses_under(now, work) {
            self.collapsed = true;
            return Offer::Collapsed;
        }
        if self.busy_cores < self.cores {
            self.accepted += 1;
            return Offer::Started(self.start_work(now, work));
        }
        if self.queue.len() >= self.max_queued as usize {
            self.rejected += 1;
            return Offer::Rejected;
        }
        self.accepted += 1;
        self.queue.push_back(attempt);
        Offer::Queued
    }

    /// Occupies a core with work; returns when it is done.
    pub(crate) fn start_work(&mut self, now: Time, work: f64) -> Time {
        self.account_usage(now);
        self.busy_cores += 1;
        now + (work / self.current_speed(now) * 1e6).round() as Time
    }

    /// Frees a core; returns the attempt to start next, if one is queued.
    pub(crate) fn finish_work(&mut self, now: Time) -> Option<u32> {
        self.account_usage(now);
        self.busy_cores -= 1;
        self.queue.pop_front()
    }

    /// Removes an attempt from the queue.
    pub(crate) fn drop_queued(&mut self, attempt: u32) {
        if let Some(position) = self.queue.iter().position(|queued| *queued == attempt) {
            self.queue.remove(position);
        }
    }

    /// Counts offered work while the endpoint warms up, and tells whether it is too much to survive.
    fn collapses_under(&mut self, now: Time, work: f64) -> bool {
        let Some(collapse) = self.overload_collapse else { return false };
        if self.slow_start_factor(now) >= 1.0 {
            return false;
        }
        let window = collapse.window.as_secs();
        let recent_work = self.recent_work.add(now, window, work);
        let capacity = f64::from(self.cores) * self.current_speed(now) * window * collapse.overload_factor;
        recent_work > capacity
    }

    /// Ends the process: all that it was working on or had queued is lost.
    pub(crate) fn crash(&mut self, now: Time) {
        self.account_usage(now);
        self.up = false;
        self.busy_cores = 0;
        self.open_connections = 0;
        self.queue.clear();
        self.incarnation += 1;
        self.state = EndpointState::Removed;
    }

    /// Starts the process, cold and without injected faults.
    pub(crate) fn restart(&mut self, now: Time) {
        self.account_usage(now);
        self.up = true;
        self.collapsed = false;
        self.started = Some(now);
        self.slowdown = 1.0;
        self.failure_rate = 0.0;
        self.hangs = false;
        self.recent_work.clear();
        self.incarnation += 1;
        self.state = EndpointState::Ready;
    }
}

/// Work offered within a sliding window, in buckets.
#[derive(Default)]
struct RecentWork {
    buckets: [f64; RecentWork::BUCKETS],
    /// The number of the latest bucket, counted from the beginning of the simulation.
    latest_bucket: Time,
}

impl RecentWork {
    const BUCKETS: usize = 16;

    fn clear(&mut self) {
        self.buckets = [0.0; Self::BUCKETS];
    }

    /// Adds work offered now; returns all work offered within the window of so many seconds.
    fn add(&mut self, now: Time, window: f64, work: f64) -> f64 {
        let buckets = Self::BUCKETS as Time;
        let bucket = (secs(now) / window * Self::BUCKETS as f64) as Time;
        let passed = bucket.saturating_sub(self.latest_bucket).min(buckets);
        for k in 1..=passed {
            self.buckets[((bucket - passed + k) % buckets) as usize] = 0.0;
        }
        self.latest_bucket = bucket;
        self.buckets[(bucket % buckets) as usize] += work;
        self.buckets.iter().sum::<f64>()
    }
}
