//! Validates the request classes and their work.

use super::{normalize, span_from_millis, MAX_MS};
use crate::model::{Idempotency, RequestClass, Work};
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;

const DEFAULT_MIN_ADMITTED_FRACTION: f64 = 0.1;
const MIN_WORK_MS: f64 = 0.01;

pub(super) fn request_classes(validator: &Validator, messages: &[proto::Product]) -> Vec<RequestClass> {
    let elements = messages.iter().enumerate();
    let mut classes: Vec<RequestClass> = elements
        .map(|(index, message)| request_class(&validator.element("product", index), message))
        .collect();
    let has_share = normalize(classes.iter_mut().map(|class| &mut class.share));
    validator.field("product").require(has_share || classes.is_empty(), || {
        "'share' is 0 in every product: it must be above 0 in at least one".into()
    });
    classes
}

fn request_class(validator: &Validator, message: &proto::Product) -> RequestClass {
    let latency_objective =
        required_ms(&validator.field("sla_ms"), message.sla_ms, 1.0, "the latency objective");
    let timeout = required_ms(
        &validator.field("expiry_ms"),
        message.expiry_ms,
        latency_objective,
        "the timeout after which the client gives up",
    );
    let idempotency = idempotency(&validator.field("repeats"), message.repeats());
    let deduplication = validator.field("discard_s");
    deduplication
        .require(message.discard_s.is_none() || idempotency == Idempotency::WithIdempotencyKey, || {
            "is allowed only together with 'repeats: REFERENCED'".into()
        });
    let fraction = |field: &str, value: Option<f64>, default: f64, unit: &str| {
        validator.field(field).in_range(value.unwrap_or(default), 0.0..=1.0, unit)
    };
    let share = message.share.unwrap_or(1.0);
    let priority_weight = message.revenue.unwrap_or(1.0);
    let deduplication_seconds = message.discard_s.unwrap_or(0.0);
    RequestClass {
        name: validator.field("name").identifier(&message.name),
        share: validator.field("share").in_range(share, 0.0..=1_000.0, "shares of the requests"),
        work: work(&validator.field("work"), message.work.as_ref()),
        latency_objective: span_from_millis(latency_objective),
        timeout: span_from_millis(timeout),
        priority_weight: validator.field("revenue").in_range(priority_weight, 0.0..=1e6, "units of revenue"),
        late_value_fraction: fraction("late_part", message.late_part, 0.0, "of the full value"),
        idempotency,
        deduplication_window: Span::from_secs(deduplication.in_range(
            deduplication_seconds,
            0.0..=600.0,
            "s",
        )),
        min_admitted_fraction: fraction(
            "floor",
            message.floor,
            DEFAULT_MIN_ADMITTED_FRACTION,
            "of the requests",
        ),
    }
}

/// A required time in milliseconds. A missing one is reported and replaced by the lower bound; `what`
/// describes it.
fn required_ms(validator: &Validator, value: Option<f64>, least: f64, what: &str) -> f64 {
    if let Some(value) = value {
        return validator.in_range(value, least..=MAX_MS, "ms");
    }
    validator.report(format!("is missing: {what}, {least} to {MAX_MS} ms"));
    least
}

fn idempotency(validator: &Validator, value: proto::Repeats) -> Idempotency {
    match value {
        proto::Repeats::InquiryLike => Idempotency::Idempotent,
        proto::Repeats::Referenced => Idempotency::WithIdempotencyKey,
        proto::Repeats::OnceOnly => Idempotency::NotIdempotent,
        proto::Repeats::Unspecified => {
            validator.report("is missing: INQUIRY_LIKE, REFERENCED or ONCE_ONLY");
            Idempotency::NotIdempotent
        }
    }
}

fn work(validator: &Validator, message: Option<&proto::Work>) -> Work {
    let Some(message) = message else {
        validator.report("is missing: the work of a request, from_ms to to_ms");
        return Work {
            min: 1.0,
            max: 1.0,
            costly_share: 0.0,
            min_costly_factor: 1.0,
            max_costly_factor: 1.0,
        };
    };
    let min_ms = required_work_ms(&validator.field("from_ms"), message.from_ms);
    let max_ms = message.to_ms.unwrap_or(min_ms);
    let max_ms = validator.field("to_ms").in_range(max_ms, min_ms..=MAX_MS, "ms of work");
    let costly_share = message.costly_share.unwrap_or(0.0);
    let costly_share = validator.field("costly_share").in_range(costly_share, 0.0..=1.0, "of the requests");
    let min_factor = message.costly_from.unwrap_or(1.0);
    let min_factor = validator.field("costly_from").in_range(min_factor, 1.0..=1_000.0, "times the work");
    let max_factor = message.costly_to.unwrap_or(min_factor);
    let max_factor =
        validator.field("costly_to").in_range(max_factor, min_factor..=1_000.0, "times the work");
    Work {
        min: min_ms / 1e3,
        max: max_ms / 1e3,
        costly_share,
        min_costly_factor: min_factor,
        max_costly_factor: max_factor,
    }
}

fn required_work_ms(validator: &Validator, value: Option<f64>) -> f64 {
    if let Some(value) = value {
        return validator.in_range(value, MIN_WORK_MS..=MAX_MS, "ms of work");
    }
    validator.report("is missing: the least work of a request, in ms");
    MIN_WORK_MS
}
