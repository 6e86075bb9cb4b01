//! Tests of the parsing and validation of fleet descriptions.

mod common;

use common::{example, small_fleet};
use otterwinch_fleet::model::Idempotency;
use otterwinch_fleet::parse_fleet;

/// The errors in the description of the small fleet after one replacement.
fn errors_of_change(old: &str, new: &str) -> Vec<String> {
    let text = example("fleets/small.fleet");
    assert!(text.contains(old), "{old}");
    let diagnostics = parse_fleet("f", &text.replacen(old, new, 1)).unwrap_err();
    diagnostics.to_string().lines().map(str::to_owned).collect()
}

#[test]
fn all_examples_are_valid() {
    for entry in std::fs::read_dir(format!("{}/../examples/fleets", env!("CARGO_MANIFEST_DIR"))).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let fleet =
            parse_fleet(&path.display().to_string(), &text).unwrap_or_else(|errors| panic!("{errors}"));
        assert!(fleet.capacity() > 0.0);
    }
}

#[test]
fn defaults_are_filled_in_and_shares_normalized() {
    let fleet = small_fleet();
    assert_eq!(fleet.request_classes[0].share, 0.5);
    assert_eq!(fleet.zones[1].client_share, 0.5);
    assert_eq!(fleet.groups[0].weight, 2.0);
    assert_eq!(fleet.request_classes[2].idempotency, Idempotency::NotIdempotent);
    assert_eq!(fleet.control_plane.slow_start_window.as_secs(), 10.0);
    assert_eq!(fleet.network.zone_latency[0][1].as_us(), 800);
}

#[test]
fn all_unknown_fields_are_reported_with_their_lines() {
    let errors = errors_of_change(
        "name: \"small\"",
        "name: \"small\"\nnaem: 'x'\nforwarders { idel_s: 0.9 }\nthreads: 7",
    );
    assert_eq!(errors[0], "f:3: unknown field 'naem'; did you mean 'name'?");
    assert_eq!(errors[1], "f:4: forwarders: unknown field 'idel_s'; did you mean 'idle_s'?");
    assert_eq!(errors[2], "f:5: unknown field 'threads'");
    assert_eq!(errors.len(), 3);
}

#[test]
fn all_values_of_a_wrong_type_are_reported() {
    let errors = errors_of_change(
        "hall { name: \"east\" forwarders: 2 }",
        "hall { name: 7 forwarders: 'two' }\nhall { name: \"mid\" forwarders: -1 }",
    );
    assert_eq!(errors.len(), 3, "{errors:?}");
    assert!(errors[0].starts_with("f:4: hall[0].name: expected a string"), "{errors:?}");
    assert!(errors[1].starts_with("f:4: hall[0].forwarders: expected"), "{errors:?}");
    assert!(errors[2].starts_with("f:5: hall[1].forwarders: expected"), "{errors:?}");
}

#[test]
fn a_value_out_of_range_is_reported_with_its_range() {
    let errors = errors_of_change("count: 3 cores: 2", "count: 3 cores: 0");
    assert_eq!(errors, ["f:10: group[0].cores: 0 is out of range; expected 1 to 1024 cores"]);
    let errors = errors_of_change("sla_ms: 800 expiry_ms: 3000", "sla_ms: 800 expiry_ms: 500");
    assert_eq!(errors.len(), 1);
    assert!(
        errors[0].contains("product[0].expiry_ms: 500 is out of range; expected 800 to 600000 ms"),
        "{errors:?}"
    );
    let errors = errors_of_change("patience_from: 0.5", "patience_from: nan");
    assert!(errors[0].contains("NaN"), "{errors:?}");
}

#[test]
fn errors_of_several_fields_are_reported_in_the_order_of_their_lines() {
    let text = "name: 'x'\nhall { name: 'a' }\ngroup { name: 'g' hall: 'b' cores: 1 }\nproduct { name: 'p' }";
    let errors = parse_fleet("f", text).unwrap_err().to_string();
    let lines: Vec<&str> = errors.lines().collect();
    let expected = [
        "f:2: hall[0].forwarders: is missing",
        "f:3: group[0].count: is missing",
        "f:3: group[0].hall: unknown hall 'b'; expected one of: a",
        "f:4: product[0].sla_ms: is missing",
        "f:4: product[0].expiry_ms: is missing",
        "f:4: product[0].repeats: is missing: INQUIRY_LIKE, REFERENCED or ONCE_ONLY",
        "f:4: product[0].work: is missing",
    ];
    for error in expected {
        assert!(lines.iter().any(|line| line.starts_with(error)), "{error} in\n{errors}");
    }
    assert!(lines.windows(2).all(|pair| pair[0][..4] <= pair[1][..4]), "{errors}");
}

#[test]
fn names_are_unique_and_a_fleet_has_endpoints() {
    let errors =
        errors_of_change("hall { name: \"west\" forwarders: 2 }", "hall { name: \"east\" forwarders: 2 }");
    assert!(
        errors.iter().any(|f| f.contains("hall[1].name: duplicate name 'east'; hall[0] already has it")),
        "{errors:?}"
    );
    let text = example("fleets/small.fleet").replace("count: 3", "count: 0");
    let errors = parse_fleet("f", &text).unwrap_err().to_string();
    assert!(
        errors.contains("group: 'count' is 0 in every group: it must be above 0 in at least one"),
        "{errors}"
    );
}
