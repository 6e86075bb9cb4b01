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
pub enum End {
    /// Answered so many microseconds after it was due.
    Settled(Time),
    /// Turned away by a level, or because there was no line to pick.
    Declined,
    /// Its tries failed, or its client gave up.
    Voided,
}

/// Counts of one product, or of one hall's clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Count {
    pub asked: u64,
    /// Answered within the SLA time.
    pub settled: u64,
    /// Answered after it.
    pub late: u64,
    pub declined: u64,
    pub voided: u64,
    /// Tries of clients, repeats among them.
    pub tries: u64,
    pub revenue_asked: f64,
    /// Of answers within the SLA time.
    pub revenue: f64,
    /// From due to answered, or to given up, in tenths of a millisecond.
    pub times: Histogram<u64>,
}

impl Count {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(TENTHS.0, TENTHS.1, 3).expect("bounds that fit");
        Count {
            asked: 0,
            settled: 0,
            late: 0,
            declined: 0,
            voided: 0,
            tries: 0,
            revenue_asked: 0.0,
            revenue: 0.0,
            times,
        }
    }

    /// Of the revenue asked for, the part answered within the SLA time; 1 where none was asked for.
    pub fn service(&self) -> f64 {
        if self.revenue_asked > 0.0 {
            self.revenue / self.revenue_asked
        } else {
            1.0
        }
    }

    /// The time within which a part of the txns had ended, in seconds.
    pub fn quantile(&self, part: f64) -> f64 {
        self.times.value_at_quantile(part) as f64 / 1e4
    }

    fn end(&mut self, how: End, sla: Time, expiry: Time, revenue: f64) {
        self.asked += 1;
        self.revenue_asked += revenue;
        let time = match how {
            End::Settled(time) if time <= sla => {
                self.settled += 1;
                self.revenue += revenue;
                time
            }
            End::Settled(time) => {
                self.late += 1;
                time
            }
            End::Declined => {
                self.declined += 1;
                return;
            }
            End::Voided => {
                self.voided += 1;
                expiry
            }
        };
        self.times.saturating_record((time / 100).max(1));
    }

    pub fn merge(&mut self, other: &Count) {
        self.asked += other.asked;
        self.settled += other.settled;
        self.late += other.late;
        self.declined += other.declined;
        self.voided += other.voided;
        self.tries += other.tries;
        self.revenue_asked += other.revenue_asked;
        self.revenue += other.revenue;
        self.times.add(&other.times).expect("the same bounds");
    }
}

/// A stretch of time: revenue asked for by txns that were due in it, and what of it was answered in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    pub asked: u64,
    pub tries: u64,
    pub revenue_asked: f64,
    pub revenue: f64,
    pub declined: u64,
    /// The same by product and by hall of the clients: revenue asked for, and answered in time.
    pub by_product: Vec<(f64, f64)>,
    pub by_hall: Vec<(f64, f64)>,
    /// Core-seconds used, by hall of the nodes.
    pub used: Vec<f64>,
}

impl Window {
    pub fn service(&self) -> f64 {
        if self.revenue_asked > 0.0 {
            self.revenue / self.revenue_asked
        } else {
            1.0
        }
    }

    fn merge(&mut self, other: &Window) {
        self.asked += other.asked;
        self.tries += other.tries;
        self.revenue_asked += other.revenue_asked;
        self.revenue += other.revenue;
        self.declined += other.declined;
        let pairs = |a: &mut Vec<(f64, f64)>, b: &[(f64, f64)]| {
            a.iter_mut().zip(b).for_each(|(a, b)| *a = (a.0 + b.0, a.1 + b.1));
        };
        pairs(&mut self.by_product, &other.by_product);
        pairs(&mut self.by_hall, &other.by_hall);
        self.used.iter_mut().zip(&other.used).for_each(|(a, b)| *a += b);
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tally {
    pub whole: Count,
    pub products: Vec<Count>,
    /// By the hall that a txn's client belongs to.
    pub halls: Vec<Count>,
    pub windows: Vec<Window>,
    /// Seconds of one window.
    pub window_s: f64,
    shape: (usize, usize),
    slas: Vec<(Time, Time, f64)>,
}

impl Tally {
    pub fn new(fleet: &Fleet) -> Self {
        let (products, halls) = (fleet.request_classes.len(), fleet.zones.len());
        let sla = |p: &otterwinch_fleet::model::RequestClass| {
            (p.latency_objective.as_us() as Time, p.timeout.as_us() as Time, p.priority_weight)
        };
        Tally {
            whole: Count::new(),
            products: (0..products).map(|_| Count::new()).collect(),
            halls: (0..halls).map(|_| Count::new()).collect(),
            windows: Vec::new(),
            window_s: 1.0,
            shape: (products, halls),
            slas: fleet.request_classes.iter().map(sla).collect(),
        }
    }

    /// The window of a moment, in seconds from the load's beginning.
    pub fn window(&mut self, at: f64) -> &mut Window {
        let mut place = (at.max(0.0) / self.window_s) as usize;
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
            self.window_s *= 2.0;
            place = (at / self.window_s) as usize;
        }
        let (products, halls) = self.shape;
        while self.windows.len() <= place {
            let by_product = vec![(0.0, 0.0); products];
            let (by_hall, used) = (vec![(0.0, 0.0); halls], vec![0.0; halls]);
            self.windows.push(Window { by_product, by_hall, used, ..Window::default() });
        }
        &mut self.windows[place]
    }

    pub fn tried(&mut self, product: usize, hall: usize, at: f64) {
        self.whole.tries += 1;
        self.products[product].tries += 1;
        self.halls[hall].tries += 1;
        self.window(at).tries += 1;
    }

    /// A txn that was due at `due` has ended for good.
    pub fn ended(&mut self, product: usize, hall: usize, due: f64, how: End) {
        let (sla, expiry, revenue) = self.slas[product];
        self.whole.end(how, sla, expiry, revenue);
        self.products[product].end(how, sla, expiry, revenue);
        self.halls[hall].end(how, sla, expiry, revenue);
        let earned = if matches!(how, End::Settled(time) if time <= sla) { revenue } else { 0.0 };
        let window = self.window(due);
        window.asked += 1;
        window.revenue_asked += revenue;
        window.revenue += earned;
        window.declined += u64::from(how == End::Declined);
        let add = |pair: &mut (f64, f64)| *pair = (pair.0 + revenue, pair.1 + earned);
        add(&mut window.by_product[product]);
        add(&mut window.by_hall[hall]);
    }

    /// Service over the windows of a stretch of time, in seconds.
    pub fn service_between(&self, from: f64, to: f64) -> f64 {
        let within = |k: usize| {
            let at = k as f64 * self.window_s;
            at + self.window_s > from && at < to
        };
        let mut sum = Window::default();
        for (_, window) in self.windows.iter().enumerate().filter(|(k, _)| within(*k)) {
            sum.revenue_asked += window.revenue_asked;
            sum.revenue += window.revenue;
        }
        sum.service()
    }

    /// The least service over any stretch of so many seconds that has asked for anything.
    pub fn worst(&self, seconds: f64) -> f64 {
        let span = ((seconds / self.window_s).ceil() as usize).max(1);
        let sums = self.windows.windows(span.min(self.windows.len().max(1))).map(|stretch| {
            let asked: f64 = stretch.iter().map(|w| w.revenue_asked).sum();
            let earned: f64 = stretch.iter().map(|w| w.revenue).sum();
            if asked > 0.0 {
                earned / asked
            } else {
                1.0
            }
        });
        sums.fold(1.0, f64::min)
    }
}
