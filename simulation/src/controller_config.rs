//! What supervisors of a described fleet read at their start.

use otterwinch::config::{Admission, ControllerConfig, RequestClass};
use otterwinch::time::Span;
use otterwinch_fleet::model::{Fleet, Repeats};

pub fn controller_config(fleet: &Fleet) -> ControllerConfig {
    let told = &fleet.supervisors;
    let product = |p: &otterwinch_fleet::model::Product| RequestClass {
        sla: p.sla,
        revenue: p.revenue,
        own_zone: false,
        writes: p.repeats != Repeats::InquiryLike,
    };
    ControllerConfig {
        products: fleet.products.iter().map(product).collect(),
        list_on_request: false,
        crossing_costs: told.crossing_costs && fleet.halls.len() > 1,
        admission: Admission::Share,
        shuns_after: 0,
        slices: 0,
        single_writer: false,
        lease: Span::ZERO,
        settle: Span::ZERO,
        report_every: told.report_every,
        proxies: fleet.halls.iter().map(|hall| hall.forwarders).sum(),
        connections_least: fleet.groups.iter().map(|group| group.connections).min().unwrap_or(0),
        standing_most: fleet.forwarders.standing,
        channel_rate: told.lines_per_s,
        message_head: told.head_lines,
        most_waiting: told.most_waiting,
        messages_most: 0,
        messages_over: Span::ZERO,
        way_most: told.message * 2.0,
        drain_grace: told.drain_grace,
        cold_for: told.cold_for,
        only_drains_bind: false,
    }
}
