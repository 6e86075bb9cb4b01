//! Converts the messages of the schemas to the model: checks the range of every value, resolves names to
//! indices and fills in defaults. The rest of the code does not use the names of the schemas' fields.
//!
//! Errors of the same line are reported in the order of the checks, so the order of the checks matters.

mod clients;
mod control_plane;
mod endpoint_groups;
mod load_profile;
mod network;
mod request_classes;

pub(crate) use load_profile::load_profile;

use crate::model::{Fleet, Goal};
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;
use std::ops::RangeInclusive;

const MAX_ZONES: usize = 64;
const MAX_ENDPOINTS: u32 = 20_000;
const MAX_PROXIES: u32 = 20_000;
const MAX_REQUEST_CLASSES: usize = 16;
/// The upper bound of most times and of work, in milliseconds: ten minutes.
const MAX_MS: f64 = 600_000.0;

/// Validates a fleet description. An invalid value is reported and replaced by a valid one.
pub(crate) fn fleet(validator: &Validator, message: &proto::Fleet) -> Fleet {
    let name = validator.field("name").identifier(&message.name);
    check_lists(validator, message);
    let zone_names: Vec<String> = message.hall.iter().map(|zone| zone.name.clone()).collect();

    let zones = network::zones(validator, &message.hall);
    let groups = endpoint_groups::endpoint_groups(validator, &message.group, &zone_names);
    let request_classes = request_classes::request_classes(validator, &message.product);

    let network = message.network.clone().unwrap_or_default();
    let network = network::network(&validator.field("network"), &network, &zone_names);
    let longest_warm_up =
        groups.iter().filter_map(|group| group.warm_up).map(|warm_up| warm_up.duration).max();
    let control_plane = control_plane::control_plane(
        &validator.field("supervisors"),
        &message.supervisors.unwrap_or_default(),
        longest_warm_up.unwrap_or(Span::ZERO),
    );
    let clients = clients::clients(&validator.field("clients"), &message.clients.unwrap_or_default());
    let proxies =
        control_plane::proxies(&validator.field("forwarders"), &message.forwarders.unwrap_or_default());
    let goal = goal(&validator.field("goal"), &message.goal.unwrap_or_default());
    Fleet { name, network, zones, groups, request_classes, clients, proxies, control_plane, goal }
}

/// Checks the lengths of the lists of zones, groups and request classes, and that the names in each list are
/// unique.
fn check_lists(validator: &Validator, message: &proto::Fleet) {
    let (zones, groups, classes) = (&message.hall, &message.group, &message.product);
    validator.field("hall").require((1..=MAX_ZONES).contains(&zones.len()), || {
        format!("{} halls are not allowed: 1 to {MAX_ZONES}", zones.len())
    });
    validator.field("group").require(!groups.is_empty(), || "at least one group is required".into());
    validator.field("product").require((1..=MAX_REQUEST_CLASSES).contains(&classes.len()), || {
        format!("{} products are not allowed: 1 to {MAX_REQUEST_CLASSES}", classes.len())
    });
    validator.unique_names("hall", zones.iter().map(|zone| zone.name.as_str()));
    validator.unique_names("group", groups.iter().map(|group| group.name.as_str()));
    validator.unique_names("product", classes.iter().map(|class| class.name.as_str()));
}

fn goal(validator: &Validator, message: &proto::Goal) -> Goal {
    let service_level = message.service.unwrap_or(0.95);
    let class_service_level = message.each_product.unwrap_or(0.0);
    Goal {
        service_level: validator.field("service").in_range(service_level, 0.01..=1.0, "of the revenue"),
        class_service_level: validator.field("each_product").in_range(
            class_service_level,
            0.0..=1.0,
            "of the revenue",
        ),
    }
}

fn span_from_millis(value: f64) -> Span {
    Span::from_secs(value / 1e3)
}

/// Scales shares so that they sum to 1. Returns `false`, and leaves them as they are, if none is above 0.
fn normalize<'a>(shares: impl Iterator<Item = &'a mut f64>) -> bool {
    let shares: Vec<&mut f64> = shares.collect();
    let sum: f64 = shares.iter().map(|share| **share).sum();
    let any = sum > 0.0;
    if any {
        for share in shares {
            *share /= sum;
        }
    }
    any
}

/// A required integer. A missing one is reported and replaced by the lower bound; `unit` names the counted
/// objects.
fn required_count(validator: &Validator, value: Option<u32>, bounds: RangeInclusive<u32>, unit: &str) -> u32 {
    if let Some(value) = value {
        return validator.count_in_range(value, bounds, unit);
    }
    validator.report(format!("is missing: the number of {unit}, {} to {}", bounds.start(), bounds.end()));
    *bounds.start()
}

/// A number within bounds, or 1 if it is missing, which the caller has reported.
fn in_range_or_one(
    validator: &Validator,
    value: Option<f64>,
    bounds: RangeInclusive<f64>,
    unit: &str,
) -> f64 {
    value.map_or(1.0, |value| validator.in_range(value, bounds, unit))
}
