//! What the rules remember: plain types, filled and read by the controller alone.

use crate::histogram::Histogram;
use crate::host::{EndpointId, EndpointState, Timer};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Endpoint {
    pub zone: u32,
    pub weight: f64,
    pub standing: EndpointState,
    pub started: Option<Moment>,
    pub heard: Option<Moment>,
    pub left: Moment,
    /// Withdrawn from proxies, and from all that have joined since.
    pub out: bool,
    pub told: bool,
    pub tally: Histogram<5>,
    pub rung: usize,
    pub strikes: u32,
    pub judged: Moment,
}

impl Endpoint {
    pub fn ready(&self) -> bool {
        self.standing == EndpointState::Ready
    }

    pub fn stands(&mut self, now: Moment, standing: EndpointState) {
        if self.ready() {
            self.left = now;
        }
        self.standing = standing;
    }

    pub fn move_to(&mut self, rung: usize, now: Moment) {
        (self.rung, self.judged, self.tally) = (rung, now, Histogram::default());
    }
}

#[derive(Default)]
pub struct RouteTable {
    pub home: Option<u32>,
    pub lines: BTreeMap<EndpointId, f64>,
    pub afar: f64,
    pub carried: Option<Moment>,
    pub sent: Moment,
    pub levels: BTreeMap<usize, f64>,
}

impl RouteTable {
    /// Lines that a proxy is sent as it is put on this table, the head left out.
    pub fn sent_by_a_bind(&self) -> f64 {
        (self.lines.len() + self.levels.len() + 1) as f64
    }
}

pub struct Change {
    pub id: EndpointId,
    pub weight: f64,
    pub urgent: bool,
    pub gap: f64,
}

#[derive(Clone)]
pub struct Candidate {
    pub id: EndpointId,
    pub zone: u32,
    pub weight: f64,
    pub warmth: f64,
}

impl Candidate {
    /// What it can do by now.
    pub fn bears(&self) -> f64 {
        self.weight * self.warmth
    }

    /// A place on a ring of all servers.
    pub fn place(&self, salt: u32) -> u32 {
        let mix = |h: u32| (h ^ h >> 15).wrapping_mul(0x2c1b_3c6d);
        mix(mix(self
            .id
            .bytes()
            .fold(salt, |h, b| (h.rotate_left(5) ^ u32::from(b)).wrapping_mul(0x0100_0193))))
    }
}

/// What some servers can do, where cold ones count short.
pub fn weigh<'a>(parts: impl Iterator<Item = &'a Candidate>) -> f64 {
    parts.map(|p| p.bears() * p.warmth).sum()
}

/// What all tables of a moment are made of.
pub struct RoutingSnapshot {
    pub parts: Vec<Candidate>,
    /// What each zone's proxies usually get, and the weight of the servers of those zones.
    pub rates: BTreeMap<u32, f64>,
    pub whole: f64,
}

pub struct Proxy {
    pub rate: f64,
    pub joined: Moment,
    pub fresh: bool,
    pub tbl: u32,
    pub bound: bool,
    /// Lines of its table come to it, as far as we know: it is bound, or was and may be still.
    pub reached: bool,
}

#[derive(Default)]
pub struct Shard {
    pub lines: BTreeMap<EndpointId, f64>,
    pub moving: Option<Moment>,
}

/// What came and what was answered over the last seconds, fading, and what is made of it.
#[derive(Default)]
pub struct FleetLoad {
    pub asked: Vec<f64>,
    pub tries: f64,
    pub answered: f64,
    pub served: f64,
    pub over: Span,
    pub middle: f64,
    pub struggling: bool,
    /// The usual rates of those joined, summed over the turns.
    pub joined: f64,
    /// Txns a second that are let in, and the usual rate of those whom it was counted for.
    pub budget: Option<f64>,
    pub counted: f64,
    pub shed: Moment,
    /// The most listed weight that was ready lately.
    pub peak: f64,
}

impl FleetLoad {
    pub fn halve(&mut self) {
        self.asked.iter_mut().for_each(|asked| *asked /= 2.0);
        for sum in [&mut self.tries, &mut self.answered, &mut self.served, &mut self.joined] {
            *sum /= 2.0;
        }
        self.over = self.over * 0.5;
    }

    pub fn count(&mut self, tries: f64, answered: f64) {
        self.tries += tries;
        self.answered += answered;
        self.served += answered;
    }
}

/// What holds commands back.
#[derive(Default)]
pub struct PublicationState {
    /// When what can wait may go next.
    pub gathered: Moment,
    /// Since when proxies with tables that are not ours are to be told of servers that left.
    pub barring: Option<Moment>,
    /// When the list failed last.
    pub list_failed: Option<Moment>,
    /// Wake-ups under way, by label.
    pub wakes: BTreeSet<Timer>,
    /// When commands went out last.
    pub moment: Moment,
    /// The commands of a moment came to nothing, or nobody knows, and go again.
    pub unanswered: bool,
}
