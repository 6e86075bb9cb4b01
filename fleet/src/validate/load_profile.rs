//! Validation of load profiles.

use super::in_range_or_one;
use crate::load_profile::{Burst, IdempotencyKeys, LoadProfile, RateCurve};
use crate::model::Fleet;
use crate::proto;
use otterwinch_textproto::Validator;
use std::ops::RangeInclusive;

const MAX_BURSTS: usize = 64;
const DAY_SECONDS: f64 = 86_400.0;
const MAX_REQUESTS_PER_SECOND: f64 = 200_000.0;

/// Converts the message to a load profile. Each value that is reported as invalid is replaced by a valid one.
pub(crate) fn load_profile(validator: &Validator, message: &proto::Make, fleet: &Fleet) -> LoadProfile {
    let duration_seconds = required_number(
        &validator.field("for_s"),
        message.for_s,
        0.1..=DAY_SECONDS,
        "the duration of the load",
        "s",
    );
    let requests_per_second = required_number(
        &validator.field("txns_per_s"),
        message.txns_per_s,
        0.0..=MAX_REQUESTS_PER_SECOND,
        "the mean rate over all classes and zones, without retries",
        "txns per second",
    );
    let curve = rate_curve(&validator.field("curve"), &message.curve.unwrap_or_default());
    validator.field("burst").require(message.burst.len() <= MAX_BURSTS, || {
        format!("{} bursts are not allowed: {MAX_BURSTS} at most", message.burst.len())
    });
    let keys = message.keys.map(|message| idempotency_keys(&validator.field("keys"), &message));
    let class_names: Vec<String> = fleet.request_classes.iter().map(|class| class.name.clone()).collect();
    let zone_names: Vec<String> = fleet.zones.iter().map(|zone| zone.name.clone()).collect();
    let elements = message.burst.iter().enumerate();
    let bursts = elements
        .map(|(index, message)| burst(&validator.element("burst", index), message, &class_names, &zone_names))
        .collect();
    LoadProfile { duration_seconds, requests_per_second, curve, bursts, keys }
}

/// A required number. If it is missing, that is reported, and the lower bound is returned.
fn required_number(
    validator: &Validator,
    value: Option<f64>,
    bounds: RangeInclusive<f64>,
    what: &str,
    unit: &str,
) -> f64 {
    if let Some(value) = value {
        return validator.in_range(value, bounds, unit);
    }
    let (least, most) = (*bounds.start(), *bounds.end());
    validator.report(format!("is missing: {what}, {least} to {most} {unit}"));
    least
}

fn rate_curve(validator: &Validator, message: &proto::Curve) -> RateCurve {
    let amplitude = message.depth.unwrap_or(0.0);
    let period_seconds = message.period_s.unwrap_or(DAY_SECONDS);
    RateCurve {
        amplitude: validator.field("depth").in_range(amplitude, 0.0..=1.0, "of the rate"),
        period_seconds: validator.field("period_s").in_range(period_seconds, 0.1..=864_000.0, "s"),
    }
}

fn idempotency_keys(validator: &Validator, message: &proto::Keys) -> IdempotencyKeys {
    let distinct = message.distinct.unwrap_or(0);
    let skew = message.skew.unwrap_or(0.0);
    IdempotencyKeys {
        distinct: validator.field("distinct").count_in_range(distinct, 1..=10_000_000, "distinct keys"),
        skew: validator.field("skew").in_range(skew, 0.0..=3.0, "for the Zipf exponent"),
    }
}

fn burst(
    validator: &Validator,
    message: &proto::Burst,
    class_names: &[String],
    zone_names: &[String],
) -> Burst {
    let position = |field: &str, name: &str, known: &[String]| {
        (!name.is_empty()).then(|| validator.field(field).position_of(name, known, field))
    };
    let least_factor = message.costly_from.unwrap_or(1.0);
    let least_factor = validator.field("costly_from").in_range(least_factor, 1.0..=1_000.0, "times the work");
    let greatest_factor = message.costly_to.unwrap_or(least_factor);
    let duration = validator.field("for_s");
    duration.required(message.for_s, "the duration of the burst, in seconds");
    let starts_at = message.at_s.unwrap_or(0.0);
    let rate_factor = message.times.unwrap_or(1.0);
    let costly_share = message.costly_share.unwrap_or(0.0);
    Burst {
        starts_at: validator.field("at_s").in_range(starts_at, 0.0..=DAY_SECONDS, "s"),
        duration_seconds: in_range_or_one(&duration, message.for_s, 0.01..=DAY_SECONDS, "s"),
        rate_factor: validator.field("times").in_range(rate_factor, 0.0..=1_000.0, "times the rate"),
        request_class: position("product", &message.product, class_names),
        zone: position("hall", &message.hall, zone_names),
        costly_share: validator.field("costly_share").in_range(costly_share, 0.0..=1.0, "of the txns"),
        costly_factor: (
            least_factor,
            validator.field("costly_to").in_range(greatest_factor, least_factor..=1_000.0, "times the work"),
        ),
    }
}
