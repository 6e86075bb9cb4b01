//! Validates how clients retry and time out.

use super::{span_from_millis, MAX_MS};
use crate::model::Clients;
use crate::proto;
use otterwinch_textproto::Validator;

const MAX_RETRIES: u32 = 10;
const MIN_TIMEOUT_FRACTION: f64 = 0.05;

pub(super) fn clients(validator: &Validator, message: &proto::Clients) -> Clients {
    let shortest_wait = message.wait_from_ms.unwrap_or(0.0);
    let shortest_wait = validator.field("wait_from_ms").in_range(shortest_wait, 0.0..=MAX_MS, "ms");
    let longest_wait = message.wait_to_ms.unwrap_or(shortest_wait);
    let longest_wait = validator.field("wait_to_ms").in_range(longest_wait, shortest_wait..=MAX_MS, "ms");
    let least_fraction = validator.field("patience_from").in_range(
        message.patience_from.unwrap_or(1.0),
        MIN_TIMEOUT_FRACTION..=1.0,
        "of expiry_ms",
    );
    let greatest_fraction = validator.field("patience_to").in_range(
        message.patience_to.unwrap_or(1.0),
        least_fraction..=1.0,
        "of expiry_ms",
    );
    let max_retries = message.again.unwrap_or(0);
    Clients {
        max_retries: validator.field("again").count_in_range(max_retries, 0..=MAX_RETRIES, "retries"),
        retry_wait: (span_from_millis(shortest_wait), span_from_millis(longest_wait)),
        attempt_timeout_fraction: (least_fraction, greatest_fraction),
    }
}
