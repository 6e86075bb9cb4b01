//! What the module's tests share: a host that writes down what it is told, a config, rules to start from.

use crate::config::{Admission, ControllerConfig, RequestClass};
use crate::controller::Controller;
use crate::host::{EndpointId, EndpointState, EndpointUpdate, Host, RequestClassSet, RetryPolicy};
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
    fn line(&mut self, tbl: u32, server: &EndpointId, weight: f64) {
        self.said.push(format!("line {tbl} {server} {weight}"));
    }
    fn bind(&mut self, proxy: u32, tbl: u32) {
        self.said.push(format!("bind {proxy} {tbl}"));
    }
    fn withdraw(&mut self, server: &EndpointId, out: bool) {
        self.said.push(format!("withdraw {server} {out}"));
    }
    fn forget(&mut self, server: &EndpointId) {
        self.said.push(format!("forget {server}"));
    }
    fn level(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        self.said.push(format!("level {tbl} {products} {admitted:.2} {retry:?}"));
    }
    fn mark(&mut self, number: u32) {
        self.said.push(format!("mark {number}"));
    }
    fn repeat(&mut self) {
        self.said.push("repeat".into());
    }
    fn follow_list(&mut self) {
        self.said.push("follow".into());
    }
    fn wake(&mut self, after: Span, label: u64) {
        self.said.push(format!("wake {label} {}", after.as_us()));
    }
}

pub fn at(secs: f64) -> Moment {
    Moment::from_us(1_000_000_000) + Span::secs(secs)
}

pub fn config() -> ControllerConfig {
    let product = |revenue| RequestClass { sla: Span::secs(1.0), revenue, own_zone: false, writes: false };
    ControllerConfig {
        products: vec![product(1.0), product(3.0)],
        list_on_request: false,
        crossing_costs: false,
        admission: Admission::Share,
        shuns_after: 0,
        slices: 0,
        single_writer: false,
        lease: Span::secs(2.0),
        settle: Span::secs(0.1),
        report_every: Span::secs(1.0),
        proxies: 4,
        connections_least: 0,
        standing_most: 5,
        channel_rate: 1000.0,
        message_head: 3.0,
        most_waiting: 1000.0,
        messages_most: 12,
        messages_over: Span::secs(10.0),
        way_most: Span::secs(0.3),
        drain_grace: Span::secs(2.0),
        cold_for: Span::secs(16.0),
        only_drains_bind: false,
    }
}

pub fn listing(id: &str, zone: u32, standing: EndpointState, started: Option<Moment>) -> EndpointUpdate {
    EndpointUpdate { id: id.into(), zone, weight: 2.0, standing, started }
}

/// Controller that know `ids`, ready and long warm in zone 0, and whose proxies are bound.
pub fn running(config: ControllerConfig, ids: &[&str], proxies: u32) -> Controller<Recorder> {
    let mut rules = Controller::open(Recorder::default(), config, 7, at(0.0));
    let listings: Vec<EndpointUpdate> =
        ids.iter().map(|id| listing(id, 0, EndpointState::Ready, None)).collect();
    rules.list_whole(at(0.0), &listings);
    (0..proxies).for_each(|proxy| rules.proxy_joined(at(0.0), proxy, 0, 10.0, true));
    rules.woke(at(0.2), 4);
    rules.host().said.clear();
    rules
}
