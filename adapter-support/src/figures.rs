//! The settings that an instance is given at its start, read into the `ControllerConfig` of the rules.

use otterwinch::config::{AdmissionMode, ControllerConfig, RequestClass};
use otterwinch::time::Span;
use serde_json::Value;

/// The settings' figures; one that is missing reads as nothing said.
#[derive(Clone, Copy)]
pub struct Figures<'a>(Option<&'a Value>);

impl<'a> Figures<'a> {
    pub fn of(value: &'a Value) -> Self {
        Figures(Some(value))
    }

    pub fn at(self, name: &str) -> Figures<'a> {
        Figures(self.0.and_then(|v| v.get(name)))
    }

    pub fn rows(self) -> impl Iterator<Item = Figures<'a>> {
        self.0.and_then(Value::as_array).into_iter().flatten().map(|v| Figures(Some(v)))
    }

    fn num(self) -> f64 {
        self.0.and_then(Value::as_f64).filter(|n| n.is_finite()).unwrap_or(0.0)
    }

    fn span(self) -> Span {
        Span::from_us(self.num() as i64)
    }

    pub fn count(self) -> u32 {
        self.num().clamp(0.0, f64::from(u32::MAX)) as u32
    }

    fn yes(self) -> bool {
        self.0.and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn word(self) -> &'a str {
        self.0.and_then(Value::as_str).unwrap_or("")
    }
}

pub fn controller_config(env: &Figures) -> ControllerConfig {
    let (info, guarantees) = (env.at("familyInfo"), env.at("guarantees"));
    let by_product = |list: &str, k: usize| info.at(list).rows().nth(k).is_some_and(Figures::yes);
    let product = |(k, row): (usize, Figures)| RequestClass {
        latency_objective: row.at("promiseUs").span(),
        priority_weight: row.at("importance").num(),
        zone_local: by_product("staysLocal", k),
        writes: by_product("writeClasses", k),
    };
    ControllerConfig {
        request_classes: env.at("classes").rows().take(64).enumerate().map(product).collect(),
        polls_endpoint_list: env.at("discovery").word() == "ask",
        cross_zone_costs: env.at("charges").at("crossZone").num() > 0.0,
        admission: match info.at("throttleBy").word() {
            "fraction" => AdmissionMode::Fraction,
            "per_second" => AdmissionMode::RatePerSecond,
            _ => AdmissionMode::Unsupported,
        },
        proxy_ejects_after_failures: info.at("outlierAfter").count(),
        shards: info.at("slices").count(),
        single_writer: info.at("singleWriter").yes(),
        lease: info.at("keepsWritingUs").span(),
        settle_time: info.at("settleUs").span(),
        report_interval: info.at("reportEveryUs").span(),
        proxy_count: info.at("proxyCount").count(),
        min_endpoint_connections: info.at("minConnCap").count(),
        initial_table_size: info.at("initialSet").count(),
        channel_rate: info.at("channelRate").num(),
        message_overhead_lines: info.at("fixedCost").num(),
        max_queued_lines: info.at("mostWaiting").num(),
        max_pushes: info.at("pushesAllowed").count(),
        push_window: info.at("reloadSpanUs").span(),
        max_transit: info.at("transitMaxUs").span(),
        drain_grace: guarantees.at("drainGraceUs").span(),
        slow_start_window: guarantees.at("coldUs").span(),
        removal_not_binding: guarantees.at("removalNotBinding").yes(),
    }
}
