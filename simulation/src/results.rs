//! What a play came to, counted as it goes: by product, by hall, by node and through time. Its size does not hang on how
//! many txns there were.

use crate::queue::Time;
use hdrhistogram::Histogram;
use otterwinch_fleet::model::Fleet;

/// Windows that are kept; a play that lasts longer has longer ones.
const MOST_WINDOWS: usize = 4_096;
/// Times are counted in tenths of a millisecond, up to ten minutes, to three digits.
const TENTHS: (u64, u64) = (1, 6_000_000);

/// How a txn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Answered so many microseconds after it was due.
    Answered(Time),
    /// Turned away by a level, or because there was no line to pick.
    Rejected,
    /// Its tries failed, or its client gave up.
    Failed,
}

/// Counts of one product, or of one hall's clients.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCounts {
    pub requests: u64,
    /// Answered within the SLA time.
    pub on_time: u64,
    /// Answered after it.
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Tries of clients, repeats among them.
    pub attempts: u64,
    pub offered_weight: f64,
    /// Of answers within the SLA time.
    pub served_weight: f64,
    /// From due to answered, or to given up, in tenths of a millisecond.
    pub latencies: Histogram<u64>,
}

impl RequestCounts {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(TENTHS.0, TENTHS.1, 3).expect("bounds that fit");
        RequestCounts {
            requests: 0,
            on_time: 0,
            late: 0,
            rejected: 0,
            failed: 0,
            attempts: 0,
            offered_weight: 0.0,
            served_weight: 0.0,
            latencies,
        }
    }

    /// Of the revenue asked for, the part answered within the SLA time; 1 where none was asked for.
    pub fn service_level(&self) -> f64 {
        if self.offered_weight > 0.0 {
            self.served_weight / self.offered_weight
        } else {
            1.0
        }
    }

    /// The time within which a part of the txns had ended, in seconds.
    pub fn latency_quantile(&self, part: f64) -> f64 {
        self.latencies.value_at_quantile(part) as f64 / 1e4
    }

    fn end(&mut self, how: RequestEnd, sla: Time, expiry: Time, revenue: f64) {
        self.requests += 1;
        self.offered_weight += revenue;
        let time = match how {
            RequestEnd::Answered(time) if time <= sla => {
                self.on_time += 1;
                self.served_weight += revenue;
                time
            }
            RequestEnd::Answered(time) => {
                self.late += 1;
                time
            }
            RequestEnd::Rejected => {
                self.rejected += 1;
                return;
            }
            RequestEnd::Failed => {
                self.failed += 1;
                expiry
            }
        };
        self.latencies.saturating_record((time / 100).max(1));
    }

    pub fn merge(&mut self, other: &RequestCounts) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.offered_weight += other.offered_weight;
        self.served_weight += other.served_weight;
        self.latencies.add(&other.latencies).expect("the same bounds");
    }
}

/// A stretch of time: revenue asked for by txns that were due in it, and what of it was answered in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    pub requests: u64,
    pub attempts: u64,
    pub offered_weight: f64,
    pub served_weight: f64,
    pub rejected: u64,
    /// The same by product and by hall of the clients: revenue asked for, and answered in time.
    pub by_class: Vec<(f64, f64)>,
    pub by_zone: Vec<(f64, f64)>,
    /// Core-seconds used, by hall of the nodes.
    pub used: Vec<f64>,
}

impl Window {
    pub fn service_level(&self) -> f64 {
        if self.offered_weight > 0.0 {
            self.served_weight / self.offered_weight
        } else {
            1.0
        }
    }

    fn merge(&mut self, other: &Window) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.offered_weight += other.offered_weight;
        self.served_weight += other.served_weight;
        self.rejected += other.rejected;
        let pairs = |a: &mut Vec<(f64, f64)>, b: &[(f64, f64)]| {
            a.iter_mut().zip(b).for_each(|(a, b)| *a = (a.0 + b.0, a.1 + b.1));
        };
        pairs(&mut self.by_class, &other.by_class);
        pairs(&mut self.by_zone, &other.by_zone);
        self.used.iter_mut().zip(&other.used).for_each(|(a, b)| *a += b);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    pub total: RequestCounts,
    pub request_classes: Vec<RequestCounts>,
    /// By the hall that a txn's client belongs to.
    pub zones: Vec<RequestCounts>,
    pub windows: Vec<Window>,
    /// Seconds of one window.
    pub window_seconds: f64,
    shape: (usize, usize),
    slas: Vec<(Time, Time, f64)>,
}

impl Results {
    pub fn new(fleet: &Fleet) -> Self {
        let (request_classes, zones) = (fleet.request_classes.len(), fleet.zones.len());
        let sla = |p: &otterwinch_fleet::model::RequestClass| {
            (p.latency_objective.as_us() as Time, p.timeout.as_us() as Time, p.priority_weight)
        };
        Results {
            total: RequestCounts::new(),
            request_classes: (0..request_classes).map(|_| RequestCounts::new()).collect(),
            zones: (0..zones).map(|_| RequestCounts::new()).collect(),
            windows: Vec::new(),
            window_seconds: 1.0,
            shape: (request_classes, zones),
            slas: fleet.request_classes.iter().map(sla).collect(),
        }
    }

    /// The window of a moment, in seconds from the load's beginning.
    pub fn window(&mut self, at: f64) -> &mut Window {
        let mut place = (at.max(0.0) / self.window_seconds) as usize;
        while place >= MOST_WINDOWS {
            let mut kept: Vec<Window> = Vec::with_capacity(MOST_WINDOWS);
            for (k, window) in std::mem::take(&mut self.windows).into_iter().enumerate() {
                if k % 2 == 0 {
                    kept.push(window);
                } else if let Some(last) = kept.last_mut() {
                    last.merge(&window);
                }
            }
            self.windows = kept;
            self.window_seconds *= 2.0;
            place = (at / self.window_seconds) as usize;
        }
        let (request_classes, zones) = self.shape;
        while self.windows.len() <= place {
            let by_class = vec![(0.0, 0.0); request_classes];
            let (by_zone, used) = (vec![(0.0, 0.0); zones], vec![0.0; zones]);
            self.windows.push(Window { by_class, by_zone, used, ..Window::default() });
        }
        &mut self.windows[place]
    }

    pub fn record_attempt(&mut self, request_class: usize, zone: usize, at: f64) {
        self.total.attempts += 1;
        self.request_classes[request_class].attempts += 1;
        self.zones[zone].attempts += 1;
        self.window(at).attempts += 1;
    }

    /// A txn that was due at `due` has ended for good.
    pub fn record_end(&mut self, request_class: usize, zone: usize, due: f64, how: RequestEnd) {
        let (sla, expiry, revenue) = self.slas[request_class];
        self.total.end(how, sla, expiry, revenue);
        self.request_classes[request_class].end(how, sla, expiry, revenue);
        self.zones[zone].end(how, sla, expiry, revenue);
        let earned = if matches!(how, RequestEnd::Answered(time) if time <= sla) { revenue } else { 0.0 };
        let window = self.window(due);
        window.requests += 1;
        window.offered_weight += revenue;
        window.served_weight += earned;
        window.rejected += u64::from(how == RequestEnd::Rejected);
        let add = |pair: &mut (f64, f64)| *pair = (pair.0 + revenue, pair.1 + earned);
        add(&mut window.by_class[request_class]);
        add(&mut window.by_zone[zone]);
    }

    /// Service over the windows of a stretch of time, in seconds.
    pub fn service_level_between(&self, from: f64, to: f64) -> f64 {
        let within = |k: usize| {
            let at = k as f64 * self.window_seconds;
            at + self.window_seconds > from && at < to
        };
        let mut sum = Window::default();
        for (_, window) in self.windows.iter().enumerate().filter(|(k, _)| within(*k)) {
            sum.offered_weight += window.offered_weight;
            sum.served_weight += window.served_weight;
        }
        sum.service_level()
    }

    /// The least service over any stretch of so many seconds that has asked for anything.
    pub fn worst_service_level(&self, seconds: f64) -> f64 {
        let span = ((seconds / self.window_seconds).ceil() as usize).max(1);
        let sums = self.windows.windows(span.min(self.windows.len().max(1))).map(|stretch| {
            let requests: f64 = stretch.iter().map(|w| w.offered_weight).sum();
            let earned: f64 = stretch.iter().map(|w| w.served_weight).sum();
            if requests > 0.0 {
                earned / requests
            } else {
                1.0
            }
        });
        sums.fold(1.0, f64::min)
    }
}
