//! Placement: the tables that a proxy belongs to.
//!
//! [`Controller`](super::Controller) places each proxy as it joins; `proxies` keeps the result and
//! `assignment` carries it out. A proxy has a table for each group of request classes. One table serves all
//! proxies, or all proxies of a zone if cross-zone requests have a cost or are not allowed; where no table
//! may hold the whole fleet, each of several tables holds an arc of a ring of endpoints (`routing`).

use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use crate::config::{ControllerConfig, RequestClassGroup};

/// The number of arcs of the ring, and so of tables per zone, if no table may hold the whole fleet.
pub(super) const ARCS_PER_ZONE: u32 = 16;
/// Added to the numbers of the tables for zone-local request classes, beyond the numbers of all others.
const ZONE_LOCAL_TABLES_OFFSET: u32 = 1 << 15;

/// A table that a proxy belongs to.
pub(super) struct TablePlacement {
    pub(super) number: u32,
    pub(super) home_zone: Option<u32>,
    /// The request classes that the proxy uses the table for.
    pub(super) request_classes: RequestClassGroup,
}

/// Selects the tables for a proxy, one for each group of request classes. Each zone has its own tables if
/// cross-zone requests have a cost or are not allowed.
pub(super) fn placements(
    proxy: u32,
    zone: u32,
    config: &ControllerConfig,
    endpoints: &EndpointRegistry,
    limits: &ChannelLimits,
) -> Vec<TablePlacement> {
    // A single table is used if it could hold a fleet of twice the size.
    let is_whole_fleet = endpoints.len() > 0 && endpoints.len() <= limits.max_table_size / 2;
    let arc = if is_whole_fleet { 0 } else { proxy % ARCS_PER_ZONE };
    let placement = |request_classes: RequestClassGroup| {
        let is_zoned = config.has_cross_zone_costs || request_classes.zone_local;
        let offset = if request_classes.zone_local { ZONE_LOCAL_TABLES_OFFSET } else { 0 };
        let group = if is_zoned { 1 + zone } else { 0 };
        TablePlacement {
            number: offset + group * ARCS_PER_ZONE + arc,
            home_zone: is_zoned.then_some(zone),
            request_classes,
        }
    };
    config.request_class_groups().into_iter().map(placement).collect()
}

/// Where the arc of a table starts on a ring of this many endpoints.
pub(super) fn arc_start(table: u32, ring_len: usize) -> usize {
    ring_len * (table % ARCS_PER_ZONE) as usize / ARCS_PER_ZONE as usize
}
