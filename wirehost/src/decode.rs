//! From wire lines to the words of the rules. What is unknown is skipped; what is amiss is named.

use otterwinch::charter::{Admission, Charter, Product};
use otterwinch::host::{Listing, Standing};
use otterwinch::time::{Moment, Span};
use serde_json::{Map, Value};

/// One message: its kind and its fields.
pub struct Fields<'a> {
    pub kind: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    pub fn of(value: &'a Value) -> Result<Self, String> {
        let map = value.as_object().ok_or("not a JSON object")?;
        let kind = map.get("kind").and_then(Value::as_str).ok_or("no field 'kind' with a message's name")?;
        Ok(Fields { kind, map })
    }

    fn get<T>(&self, name: &str, what: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        let value = self.map.get(name).ok_or_else(|| format!("{}: field '{name}' is missing", self.kind))?;
        read(value).ok_or_else(|| format!("{}: field '{name}' is not {what}: {value}", self.kind))
    }

    pub fn whole(&self, name: &str) -> Result<u64, String> {
        self.get(name, "a whole number", Value::as_u64)
    }

    pub fn small(&self, name: &str) -> Result<u32, String> {
        self.get(name, "a small whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn int(&self, name: &str) -> Result<i64, String> {
        self.get(name, "an integer", Value::as_i64)
    }

    pub fn int_or(&self, name: &str, absent: i64) -> Result<i64, String> {
        if self.map.contains_key(name) {
            self.int(name)
        } else {
            Ok(absent)
        }
    }

    /// A figure that counts or weighs something: never below 0.
    pub fn count(&self, name: &str) -> Result<f64, String> {
        if !self.map.contains_key(name) {
            return Ok(0.0);
        }
        self.get(name, "a number of 0 or more", |v| v.as_f64().filter(|n| *n >= 0.0))
    }

    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.get(name, "a text", Value::as_str)
    }

    /// False marks are left out on the wire.
    pub fn mark(&self, name: &str) -> bool {
        self.map.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn object(&self, name: &str) -> Result<Figures<'a>, String> {
        self.get(name, "an object", |v| v.is_object().then_some(Figures(Some(v))))
    }
}

pub fn listings(f: &Fields) -> Result<Vec<Listing>, String> {
    let entries = f.get("elements", "a list", Value::as_array)?;
    entries.iter().map(listing).collect()
}

fn listing(entry: &Value) -> Result<Listing, String> {
    let map = entry.as_object().ok_or("PAGE: an entry is not an object")?;
    let f = Fields { kind: "PAGE entry", map };
    let standing = match f.whole("health")? {
        0 => Standing::Gone,
        1 => Standing::Ready,
        2 => Standing::Draining,
        other => return Err(format!("PAGE entry: health {other} is unknown")),
    };
    let started = f.int_or("cameUpUs", 0)?;
    Ok(Listing {
        id: f.text("server")?.into(),
        zone: if map.contains_key("campus") { f.small("campus")? } else { 0 },
        weight: if map.contains_key("weight") { f.count("weight")? } else { 1.0 },
        standing,
        started: (started > 0).then(|| Moment::from_us(started)),
    })
}

/// The start message's figures; one that is missing reads as nothing said.
#[derive(Clone, Copy)]
pub struct Figures<'a>(Option<&'a Value>);

impl<'a> Figures<'a> {
    pub fn at(self, name: &str) -> Figures<'a> {
        Figures(self.0.and_then(|v| v.get(name)))
    }

    fn rows(self) -> impl Iterator<Item = Figures<'a>> {
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

    fn word(self) -> &'a str {
        self.0.and_then(Value::as_str).unwrap_or("")
    }
}

pub fn charter(env: &Figures) -> Charter {
    let (info, rules) = (env.at("familyInfo"), env.at("guarantees"));
    let by_product = |list: &str, k: usize| info.at(list).rows().nth(k).is_some_and(Figures::yes);
    let product = |(k, row): (usize, Figures)| Product {
        sla: row.at("promiseUs").span(),
        revenue: row.at("importance").num(),
        own_zone: by_product("staysLocal", k),
        writes: by_product("writeClasses", k),
    };
    Charter {
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
        supervisors: env.at("replicasOfMe").count(),
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
