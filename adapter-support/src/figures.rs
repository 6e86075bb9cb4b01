//! The settings that an instance is given at its start, read into the `ControllerConfig` of the rules.

use otterwinch::config::{Admission, ControllerConfig, RequestClass};
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
    let (info, rules) = (env.at("familyInfo"), env.at("guarantees"));
    let by_product = |list: &str, k: usize| info.at(list).rows().nth(k).is_some_and(Figures::yes);
    let product = |(k, row): (usize, Figures)| RequestClass {
        sla: row.at("promiseUs").span(),
        revenue: row.at("importance").num(),
        own_zone: by_product("staysLocal", k),
        writes: by_product("writeClasses", k),
    };
    ControllerConfig {
        products: env.at("classes").rows().take(64).enumerate().map(product).collect(),
        list_on_request: env.at("discovery").word() == "ask",
        crossing_costs: env.at("charges").at("crossZone").num() > 0.0,
        admission: match info.at("throttleBy").word() {
            "fraction" => Admission::Share,
            "per_second" => Admission::PerSecond,
            _ => Admission::Ignored,
        },
        shuns_after: info.at("outlierAfter").count(),
        slices: info.at("slices").count(),
        single_writer: info.at("singleWriter").yes(),
        lease: info.at("keepsWritingUs").span(),
        settle: info.at("settleUs").span(),
        report_every: info.at("reportEveryUs").span(),
        proxies: info.at("proxyCount").count(),
        connections_least: info.at("minConnCap").count(),
        standing_most: info.at("initialSet").count(),
        channel_rate: info.at("channelRate").num(),
        message_head: info.at("fixedCost").num(),
        most_waiting: info.at("mostWaiting").num(),
        messages_most: info.at("pushesAllowed").count(),
        messages_over: info.at("reloadSpanUs").span(),
        way_most: info.at("transitMaxUs").span(),
        drain_grace: rules.at("drainGraceUs").span(),
        cold_for: rules.at("coldUs").span(),
        only_drains_bind: rules.at("removalNotBinding").yes(),
    }
}
