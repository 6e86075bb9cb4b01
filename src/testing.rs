//! What the module's tests share: a host that writes down what it is told, a config, rules to start from.

use crate::config::{AdmissionMode, ControllerConfig, RequestClass};
use crate::controller::Controller;
use crate::host::{EndpointId, EndpointState, EndpointUpdate, Host, RequestClassSet, RetryPolicy, Timer};
use crate::time::{Moment, Span};

#[derive(Default)]
pub struct Recorder {
    pub said: Vec<String>,
}

impl Recorder {
    pub fn count(&self, start: &str) -> usize {
        self.said.iter().filter(|s| s.starts_with(start)).count()
    }

    pub fn weight(&self, tbl: u32, id: &str) -> Option<f64> {
        let start = format!("line {tbl} {id} ");
        self.said.iter().rev().find_map(|s| s.strip_prefix(&start)?.parse().ok())
    }
}

impl Host for Recorder {
    fn set_endpoint_weight(&mut self, tbl: u32, server: &EndpointId, weight: f64) {
        self.said.push(format!("line {tbl} {server} {weight}"));
    }
    fn assign_table(&mut self, proxy: u32, tbl: u32) {
        self.said.push(format!("bind {proxy} {tbl}"));
    }
    fn eject_endpoint(&mut self, server: &EndpointId) {
        self.said.push(format!("withdraw {server} true"));
    }
    fn restore_endpoint(&mut self, server: &EndpointId) {
        self.said.push(format!("withdraw {server} false"));
    }
    fn forget_endpoint(&mut self, server: &EndpointId) {
        self.said.push(format!("forget {server}"));
    }
    fn set_admission(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        self.said.push(format!("level {tbl} {products} {admitted:.2} {retry:?}"));
    }
    fn request_acknowledgement(&mut self, number: u32) {
        self.said.push(format!("mark {number}"));
    }
    fn resend_commands(&mut self) {
        self.said.push("repeat".into());
    }
    fn watch_endpoints(&mut self) {
        self.said.push("follow".into());
    }
    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.said.push(format!("wake {} {}", timer.label(), after.as_us()));
    }
}

pub fn at(secs: f64) -> Moment {
    Moment::from_us(1_000_000_000) + Span::secs(secs)
}

pub fn config() -> ControllerConfig {
    let product = |revenue| RequestClass {
        latency_objective: Span::secs(1.0),
        priority_weight: revenue,
        zone_local: false,
        writes: false,
    };
    ControllerConfig {
        request_classes: vec![product(1.0), product(3.0)],
        polls_endpoint_list: false,
        cross_zone_costs: false,
        admission: AdmissionMode::Fraction,
        proxy_ejects_after_failures: 0,
        shards: 0,
        single_writer: false,
        lease: Span::secs(2.0),
        settle_time: Span::secs(0.1),
        report_interval: Span::secs(1.0),
        proxy_count: 4,
        min_endpoint_connections: 0,
        initial_table_size: 5,
        channel_rate: 1000.0,
        message_overhead_lines: 3.0,
        max_queued_lines: 1000.0,
        max_pushes: 12,
        push_window: Span::secs(10.0),
        max_transit: Span::secs(0.3),
        drain_grace: Span::secs(2.0),
        slow_start_window: Span::secs(16.0),
        removal_not_binding: false,
    }
}

pub fn listing(id: &str, zone: u32, standing: EndpointState, started: Option<Moment>) -> EndpointUpdate {
    EndpointUpdate { id: id.into(), zone, weight: 2.0, state: standing, started }
}

/// Controller that know `ids`, ready and long warm in zone 0, and whose proxies are bound.
pub fn running(config: ControllerConfig, ids: &[&str], proxies: u32) -> Controller<Recorder> {
    let mut controller = Controller::start(Recorder::default(), config, 7, at(0.0));
    let listings: Vec<EndpointUpdate> =
        ids.iter().map(|id| listing(id, 0, EndpointState::Ready, None)).collect();
    controller.endpoint_list_replaced(at(0.0), &listings);
    (0..proxies).for_each(|proxy| controller.proxy_joined(at(0.0), proxy, 0, 10.0, true));
    controller.timer_fired(at(0.2), Timer::Recheck);
    controller.host().said.clear();
    controller
}
