//! What an instance reads once, at its start: the deployment's standing facts and limits.

use crate::time::Span;

/// One row a product: only what the decisions read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    pub sla: Span,
    pub revenue: f64,
    pub own_zone: bool,
    pub writes: bool,
}

/// How the proxies read an ordered level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    Share,
    PerSecond,
    Ignored,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ControllerConfig {
    pub products: Vec<RequestClass>,
    /// The list of servers answers only when it is asked.
    pub list_on_request: bool,
    /// Txns that cross zones take something off the result.
    pub crossing_costs: bool,
    pub admission: Admission,
    /// A proxy turns from a server by itself after so many failures in a row; 0: never.
    pub shuns_after: u32,
    /// Slices of keys, each with a table of its own; 0: none, and proxies are put on tables.
    pub slices: u32,
    pub single_writer: bool,
    /// How long a proxy that lost its supervisor may go on writing to a slice's old owner.
    pub lease: Span,
    pub settle: Span,
    pub report_every: Span,
    /// Proxies in all, whichever supervisor they are joined to.
    pub proxies: u32,
    /// Connections that the smallest servers take; 0: not told.
    pub connections_least: u32,
    /// Servers in the table that a proxy draws at its start.
    pub standing_most: u32,
    pub channel_rate: f64,
    pub message_head: f64,
    pub most_waiting: f64,
    /// Messages one proxy may get within `messages_over`; 0: no limit.
    pub messages_most: u32,
    pub messages_over: Span,
    /// The longest way of a message from the channel to a proxy.
    pub way_most: Span,
    pub drain_grace: Span,
    pub cold_for: Span,
    /// A server merely dropped from the list need not be left.
    pub only_drains_bind: bool,
}

impl ControllerConfig {
    /// The lines that leave the channel and still come within the grace of a drain.
    pub fn carried_in_grace(&self) -> f64 {
        (self.drain_grace - self.way_most).as_secs() * self.channel_rate
    }
}
