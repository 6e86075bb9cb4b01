//! Reads the settings that an instance is given at startup into the configuration of the controller. This is
//! the only place that maps the field names of the settings to the fields of `ControllerConfig`.

use otterwinch::config::{AdmissionMode, ControllerConfig, RequestClass};
use otterwinch::host::RequestClassSet;
use otterwinch::time::Span;
use serde_json::Value;

/// A [`RequestClassSet`] can't tell more classes apart; further ones are ignored.
const MAX_REQUEST_CLASSES: usize = RequestClassSet::CAPACITY;

/// A value in the settings. A missing value or one of the wrong type reads as 0, false, an empty string or an
/// empty array.
#[derive(Clone, Copy)]
pub struct SettingsReader<'a>(Option<&'a Value>);

impl<'a> SettingsReader<'a> {
    /// A reader of this JSON value.
    pub fn new(value: &'a Value) -> Self {
        SettingsReader(Some(value))
    }

    /// The field with this name.
    pub fn field(self, name: &str) -> SettingsReader<'a> {
        SettingsReader(self.0.and_then(|value| value.get(name)))
    }

    /// The elements of an array.
    pub fn elements(self) -> impl Iterator<Item = SettingsReader<'a>> {
        self.0.and_then(Value::as_array).into_iter().flatten().map(|value| SettingsReader(Some(value)))
    }

    /// The integer part of a number, clamped to the range of the type.
    pub fn u32(self) -> u32 {
        self.number().clamp(0.0, f64::from(u32::MAX)) as u32
    }

    /// A string.
    pub fn string(self) -> &'a str {
        self.0.and_then(Value::as_str).unwrap_or("")
    }

    fn number(self) -> f64 {
        self.0.and_then(Value::as_f64).filter(|number| number.is_finite()).unwrap_or(0.0)
    }

    fn microseconds(self) -> Span {
        Span::from_us(self.number() as i64)
    }

    fn bool(self) -> bool {
        self.0.and_then(Value::as_bool).unwrap_or(false)
    }
}

/// The configuration of the controller for a deployment with these settings.
pub fn controller_config(settings: &SettingsReader) -> ControllerConfig {
    let family = settings.field("familyInfo");
    let guarantees = settings.field("guarantees");
    ControllerConfig {
        request_classes: request_classes(settings),
        polls_endpoint_list: settings.field("discovery").string() == "ask",
        has_cross_zone_costs: settings.field("charges").field("crossZone").number() > 0.0,
        admission: match family.field("throttleBy").string() {
            "fraction" => AdmissionMode::Fraction,
            "per_second" => AdmissionMode::RatePerSecond,
            _ => AdmissionMode::Unsupported,
        },
        proxy_ejection_threshold: family.field("outlierAfter").u32(),
        shards: family.field("slices").u32(),
        single_writer: family.field("singleWriter").bool(),
        write_lease: family.field("keepsWritingUs").microseconds(),
        write_settle_time: family.field("settleUs").microseconds(),
        report_interval: family.field("reportEveryUs").microseconds(),
        proxy_count: family.field("proxyCount").u32(),
        min_endpoint_connections: family.field("minConnCap").u32(),
        initial_table_size: family.field("initialSet").u32(),
        channel_rate: family.field("channelRate").number(),
        message_overhead_lines: family.field("fixedCost").number(),
        max_queued_lines: family.field("mostWaiting").number(),
        max_pushes: family.field("pushesAllowed").u32(),
        push_window: family.field("reloadSpanUs").microseconds(),
        max_transit: family.field("transitMaxUs").microseconds(),
        drain_grace: guarantees.field("drainGraceUs").microseconds(),
        slow_start_window: guarantees.field("coldUs").microseconds(),
        initial_capacity: guarantees.field("coldFrom").number().clamp(0.0, 1.0),
        collapse_multiple: guarantees.field("fallMultiple").number(),
        drain_grace_excludes_removed: guarantees.field("removalNotBinding").bool(),
    }
}

fn request_classes(settings: &SettingsReader) -> Vec<RequestClass> {
    let family = settings.field("familyInfo");
    let flag_of_class =
        |list: &str, k: usize| family.field(list).elements().nth(k).is_some_and(SettingsReader::bool);
    let classes = settings.field("classes").elements().take(MAX_REQUEST_CLASSES);
    let request_class = |(k, class): (usize, SettingsReader)| RequestClass {
        latency_objective: class.field("promiseUs").microseconds(),
        priority_weight: class.field("importance").number(),
        zone_local: flag_of_class("staysLocal", k),
        writes: flag_of_class("writeClasses", k),
    };
    classes.enumerate().map(request_class).collect()
}
