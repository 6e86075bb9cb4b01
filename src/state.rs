//! What the rules remember: plain types, filled and read by the controller alone.

use crate::controller::candidate::Candidate;
use crate::host::{EndpointId, Timer};
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(crate) struct RouteTable {
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

pub(crate) struct Change {
    pub id: EndpointId,
    pub weight: f64,
    pub urgent: bool,
    pub gap: f64,
}

/// A place on a ring of all servers.
pub(crate) fn ring_place(id: &str, salt: u32) -> u32 {
    let mix = |h: u32| (h ^ h >> 15).wrapping_mul(0x2c1b_3c6d);
    mix(mix(id.bytes().fold(salt, |h, b| (h.rotate_left(5) ^ u32::from(b)).wrapping_mul(0x0100_0193))))
}

/// What some servers can do, where cold ones count short.
pub(crate) fn weigh<'a>(parts: impl Iterator<Item = &'a Candidate>) -> f64 {
    parts.map(|p| p.capacity() * p.slow_start_factor).sum()
}

/// What all tables of a moment are made of.
pub(crate) struct RoutingSnapshot {
    pub parts: Vec<Candidate>,
    /// What each zone's proxies usually get, and the weight of the servers of those zones.
    pub rates: BTreeMap<u32, f64>,
    pub whole: f64,
}

pub(crate) struct Proxy {
    pub rate: f64,
    pub joined: Moment,
    pub fresh: bool,
    pub tbl: u32,
    pub bound: bool,
    /// Lines of its table come to it, as far as we know: it is bound, or was and may be still.
    pub reached: bool,
}

#[derive(Default)]
pub(crate) struct Shard {
    pub lines: BTreeMap<EndpointId, f64>,
    pub moving: Option<Moment>,
}

/// What holds commands back.
#[derive(Default)]
pub(crate) struct PublicationState {
    /// When what can wait may go next.
    pub gathered: Moment,
    /// Since when proxies with tables that are not ours are to be told of servers that left.
    pub barring: Option<Moment>,
    /// Wake-ups under way, by label.
    pub wakes: BTreeSet<Timer>,
    /// When commands went out last.
    pub moment: Moment,
    /// The commands of a moment came to nothing, or nobody knows, and go again.
    pub unanswered: bool,
}
