//! One node: cores, a waiting room, connections, and a cold start that it may not survive. It knows nothing of what it
//! works on but how much work that is.

use crate::queue::Time;
use otterwinch::host::{EndpointId, EndpointState};
use otterwinch_fleet::model::{EndpointGroup, OverloadCollapse, WarmUp};
use std::collections::VecDeque;

/// Work that came is counted in parts of the toppling span.
const PARTS: usize = 16;

/// What a node does with a txn that reaches it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Offer {
    /// It is worked on, and done at that time.
    Starts(Time),
    Waits,
    TurnedAway,
}

pub struct Endpoint {
    pub id: EndpointId,
    pub group: usize,
    pub zone: usize,
    pub cores: u32,
    pub speed: f64,
    pub weight: f64,
    /// What the list says of it, once it says so.
    pub standing: EndpointState,
    /// It takes connections.
    pub up: bool,
    /// It fell over cold, and stays down until it is started again.
    pub collapsed: bool,
    /// Its latest start; nothing where that is long past.
    pub started: Option<Time>,
    /// Rises with each start: whoever held a connection to an earlier one holds nothing.
    pub incarnation: u32,
    /// Times slower than it should be.
    pub slow: f64,
    /// The part of txns that it fails at once.
    pub fails: f64,
    /// It takes txns and answers none.
    pub hangs: bool,
    pub waiting: VecDeque<u32>,
    pub busy: u32,
    pub open: u32,
    most_waiting: u32,
    most_open: u32,
    pub connection_work: f64,
    pub works_on: bool,
    warm_up: Option<WarmUp>,
    overload_collapse: Option<OverloadCollapse>,
    came: [f64; PARTS],
    came_part: Time,
    busy_since: Time,
    /// Core-seconds in use.
    pub used: f64,
    /// Core-seconds that there were to use, at the speed that it had.
    pub worked: f64,
    pub accepted: u64,
    pub rejected: u64,
    pub refused_connections: u64,
}

impl Endpoint {
    pub fn new(
        id: EndpointId,
        place: usize,
        group: &EndpointGroup,
        speed: f64,
        started: Option<Time>,
    ) -> Self {
        Endpoint {
            id,
            group: place,
            zone: group.zone,
            cores: group.cores,
            speed,
            weight: group.weight,
            standing: EndpointState::Ready,
            up: true,
            collapsed: false,
            started,
            incarnation: 0,
            slow: 1.0,
            fails: 0.0,
            hangs: false,
            waiting: VecDeque::new(),
            busy: 0,
            open: 0,
            most_waiting: group.max_queued,
            most_open: group.max_connections,
            connection_work: group.connection_work,
            works_on: group.finishes_abandoned,
            warm_up: group.warm_up,
            overload_collapse: group.overload_collapse,
            came: [0.0; PARTS],
            came_part: 0,
            busy_since: 0,
            used: 0.0,
            worked: 0.0,
            accepted: 0,
            rejected: 0,
            refused_connections: 0,
        }
    }

    /// The part of its full speed that it has by now.
    pub fn warmth(&self, now: Time) -> f64 {
        match (self.started, self.warm_up) {
            (Some(started), Some(warm_up)) => {
                warm_up.speed_fraction(otterwinch::time::Span::from_us(now.saturating_sub(started) as i64))
            }
            _ => 1.0,
        }
    }

    /// Seconds of work that one core does in a second.
    pub fn pace(&self, now: Time) -> f64 {
        self.speed * self.warmth(now) / self.slow
    }

    /// Whether it takes one more connection.
    pub fn connects(&mut self) -> bool {
        let room = self.up && self.open < self.most_open;
        if room {
            self.open += 1;
        } else {
            self.refused_connections += 1;
        }
        room
    }

    /// Books the core-time up to now; to be called before `busy` changes.
    fn book(&mut self, now: Time) {
        let span = now.saturating_sub(self.busy_since) as f64 / 1e6;
        self.used += span * f64::from(self.busy);
        self.busy_since = now;
    }

    /// Core-seconds in use up to now.
    pub fn used_by(&mut self, now: Time) -> f64 {
        self.book(now);
        self.used
    }

    /// A txn of so much work reaches it. A cold node that is sent too much within its span falls over: the caller
    /// asks `toppled` then.
    pub fn offer(&mut self, now: Time, try_: u32, work: f64) -> Offer {
        if self.falls_over(now, work) {
            self.collapsed = true;
            return Offer::TurnedAway;
        }
        if self.busy < self.cores {
            self.accepted += 1;
            return Offer::Starts(self.start(now, work));
        }
        if self.waiting.len() >= self.most_waiting as usize {
            self.rejected += 1;
            return Offer::TurnedAway;
        }
        self.accepted += 1;
        self.waiting.push_back(try_);
        Offer::Waits
    }

    /// Puts a core to work; tells when it is done.
    pub fn start(&mut self, now: Time, work: f64) -> Time {
        self.book(now);
        self.busy += 1;
        self.worked += work;
        now + (work / self.pace(now) * 1e6).round() as Time
    }

    /// A core is free; the next that waits, if there is one, has to be started.
    pub fn finish(&mut self, now: Time) -> Option<u32> {
        self.book(now);
        self.busy -= 1;
        self.waiting.pop_front()
    }

    /// Whoever waited and has given up waits no more.
    pub fn drop_waiting(&mut self, try_: u32) {
        if let Some(place) = self.waiting.iter().position(|waits| *waits == try_) {
            self.waiting.remove(place);
        }
    }

    fn falls_over(&mut self, now: Time, work: f64) -> bool {
        let (Some(overload_collapse), true) = (self.overload_collapse, self.warmth(now) < 1.0) else {
            return false;
        };
        let over = overload_collapse.window.as_secs();
        let part = (now as f64 / 1e6 / over * PARTS as f64) as Time;
        let passed = part.saturating_sub(self.came_part).min(PARTS as Time);
        (1..=passed).for_each(|k| self.came[((part - passed + k) % PARTS as Time) as usize] = 0.0);
        self.came_part = part;
        self.came[(part % PARTS as Time) as usize] += work;
        let bears = f64::from(self.cores) * self.pace(now) * over * overload_collapse.overload_factor;
        self.came.iter().sum::<f64>() > bears
    }

    /// It is gone: whatever it held is lost. Those who waited are told to the caller.
    pub fn die(&mut self, now: Time) -> Vec<u32> {
        self.book(now);
        (self.up, self.busy, self.open) = (false, 0, 0);
        self.incarnation += 1;
        self.waiting.drain(..).collect()
    }

    /// It is started, cold.
    pub fn come_back(&mut self, now: Time) {
        self.book(now);
        (self.up, self.collapsed, self.started) = (true, false, Some(now));
        (self.slow, self.fails, self.hangs) = (1.0, 0.0, false);
        self.came = [0.0; PARTS];
        self.incarnation += 1;
    }
}
