//! A simulated endpoint: cores, a bounded request queue, a connection limit, slow start and overload
//! collapse. Attempts are represented by their slots and their work only.

use crate::clock::{secs, Time};
use otterwinch::host::{EndpointId, EndpointState};
use otterwinch::time::Span;
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use std::collections::VecDeque;

/// How an endpoint responds to an attempt that it is offered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OfferOutcome {
    /// A core has started to execute it and finishes at this time.
    Started(Time),
    /// It is queued until a core is free.
    Queued,
    /// It is rejected because the queue is full.
    Rejected,
    /// It exceeds the load that the endpoint can handle during slow start, and the endpoint collapses.
    Collapsed,
}

/// The configuration, state and counters of an endpoint.
pub(crate) struct Endpoint {
    pub id: EndpointId,
    /// The index of the endpoint's group in the fleet.
    pub group: usize,
    /// The index of the endpoint's zone in the fleet.
    pub zone: usize,
    /// The state of the endpoint in the endpoint list, as of its next update.
    pub state: EndpointState,
    /// The weight of the endpoint in the endpoint list.
    pub weight: f64,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the endpoint collapsed and has not been restarted since.
    pub collapsed: bool,
    /// When the process last started; `None` if that was before the simulation started.
    pub started: Option<Time>,
    /// The number of crashes and restarts so far. Connections to an earlier incarnation are broken.
    pub incarnation: u32,
    /// The factor by which an injected fault slows the endpoint down; 1 without such a fault.
    pub slowdown: f64,
    /// The fraction of attempts that fail immediately because of an injected fault.
    pub failure_rate: f64,
    /// Whether an injected fault makes the endpoint accept attempts without answering them.
    pub hangs: bool,
    /// The number of open connections, idle ones included.
    pub open_connections: u32,
    /// The work of setting up a connection, in seconds on a core of speed 1.
    pub connection_work: f64,
    /// Whether the endpoint finishes work on an attempt whose connection was closed.
    pub finishes_abandoned_requests: bool,
    pub cores: u32,
    /// The number of attempts that were started or queued.
    pub accepted: u64,
    /// The number of attempts that were rejected because the queue was full.
    pub rejected: u64,
    /// The number of connections that were refused.
    pub refused_connections: u64,
    /// The speed of each core once warm, without injected faults.
    speed: f64,
    max_queued: u32,
    max_connections: u32,
    /// The slots of the queued attempts, oldest first.
    queue: VecDeque<u32>,
    busy_cores: u32,
    warm_up: Option<WarmUp>,
    overload_collapse: Option<OverloadCollapse>,
    recent_work: RecentWork,
    /// Core-seconds used until `accounted_until`.
    used_core_seconds: f64,
    accounted_until: Time,
}

impl Endpoint {
    /// Creates an endpoint of a group that is up and has this speed per core.
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
            finishes_abandoned_requests: group.finishes_abandoned_requests,
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

    /// Returns the present fraction of the full speed: less than 1 during slow start, 1 afterwards.
    fn slow_start_factor(&self, now: Time) -> f64 {
        match (self.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                warm_up.speed_fraction(Span::from_us(now.saturating_sub(started) as i64))
            }
            _ => 1.0,
        }
    }

    /// Returns the seconds of work that one core does per second at present.
    fn current_speed(&self, now: Time) -> f64 {
        self.speed * self.slow_start_factor(now) / self.slowdown
    }

    /// Opens a connection if the endpoint is up and below its connection limit, and counts it as refused
    /// otherwise. Returns whether the connection is open.
    pub(crate) fn accept_connection(&mut self) -> bool {
        let accepted = self.up && self.open_connections < self.max_connections;
        if accepted {
            self.open_connections += 1;
        } else {
            self.refused_connections += 1;
        }
        accepted
    }

    /// Returns the core-seconds used so far.
    pub(crate) fn used_core_seconds(&mut self, now: Time) -> f64 {
        self.account_usage(now);
        self.used_core_seconds
    }

    /// Adds the core time used since the last call. Must be called before the number of busy cores changes.
    fn account_usage(&mut self, now: Time) {
        let elapsed = secs(now.saturating_sub(self.accounted_until));
        self.used_core_seconds += elapsed * f64::from(self.busy_cores);
        self.accounted_until = now;
    }

    /// Starts, queues or rejects an attempt, or collapses. `work` is in seconds on a core of speed 1.
    pub(crate) fn offer(&mut self, now: Time, attempt: u32, work: f64) -> OfferOutcome {
        if self.record_work_and_check_collapse(now, work) {
            self.collapsed = true;
            return OfferOutcome::Collapsed;
        }
        if self.busy_cores < self.cores {
            self.accepted += 1;
            return OfferOutcome::Started(self.start_work(now, work));
        }
        if self.queue.len() >= self.max_queued as usize {
            self.rejected += 1;
            return OfferOutcome::Rejected;
        }
        self.accepted += 1;
        self.queue.push_back(attempt);
        OfferOutcome::Queued
    }

    /// Starts work on a free core and returns when it will be done.
    pub(crate) fn start_work(&mut self, now: Time, work: f64) -> Time {
        self.account_usage(now);
        self.busy_cores += 1;
        now + (work / self.current_speed(now) * 1e6).round() as Time
    }

    /// Frees a core and returns the attempt to start next, if one is queued.
    pub(crate) fn finish_work(&mut self, now: Time) -> Option<u32> {
        self.account_usage(now);
        self.busy_cores -= 1;
        self.queue.pop_front()
    }

    /// Removes an attempt from the queue.
    pub(crate) fn remove_queued(&mut self, attempt: u32) {
        if let Some(position) = self.queue.iter().position(|queued| *queued == attempt) {
            self.queue.remove(position);
        }
    }

    /// Records offered work during slow start. Returns whether the work offered within the collapse window
    /// exceeds the amount that the endpoint survives.
    fn record_work_and_check_collapse(&mut self, now: Time, work: f64) -> bool {
        let Some(collapse) = self.overload_collapse else { return false };
        if self.slow_start_factor(now) >= 1.0 {
            return false;
        }
        let window = collapse.window.as_secs();
        let recent_work = self.recent_work.add(now, window, work);
        let collapse_limit =
            f64::from(self.cores) * self.current_speed(now) * window * collapse.overload_factor;
        recent_work > collapse_limit
    }

    /// Ends the process. Running and queued attempts and all connections are lost.
    pub(crate) fn crash(&mut self, now: Time) {
        self.account_usage(now);
        self.up = false;
        self.busy_cores = 0;
        self.open_connections = 0;
        self.queue.clear();
        self.incarnation += 1;
        self.state = EndpointState::Removed;
    }

    /// Starts the process again, in slow start and without injected faults.
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

/// The work offered within a sliding time window, summed in a ring of buckets.
#[derive(Default)]
struct RecentWork {
    buckets: [f64; RecentWork::BUCKETS],
    /// The number of the newest bucket, counting from time 0.
    latest_bucket: Time,
}

impl RecentWork {
    const BUCKETS: usize = 16;

    fn clear(&mut self) {
        self.buckets = [0.0; Self::BUCKETS];
    }

    /// Adds work offered now and returns the total within the window. `window` is in seconds and has to be
    /// the same in every call.
    fn add(&mut self, now: Time, window: f64, work: f64) -> f64 {
        let bucket_count = Self::BUCKETS as Time;
        let bucket = (secs(now) / window * Self::BUCKETS as f64) as Time;
        let elapsed_buckets = bucket.saturating_sub(self.latest_bucket).min(bucket_count);
        for offset in 1..=elapsed_buckets {
            self.buckets[((bucket - elapsed_buckets + offset) % bucket_count) as usize] = 0.0;
        }
        self.latest_bucket = bucket;
        self.buckets[(bucket % bucket_count) as usize] += work;
        self.buckets.iter().sum::<f64>()
    }
}
