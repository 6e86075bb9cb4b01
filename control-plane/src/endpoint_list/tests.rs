use super::*;
use serde_json::json;

fn decode(response: Value) -> Result<EndpointList, JsonFieldError> {
    let names = DeploymentNames {
        zones: vec!["north".into(), "south".into()],
        request_classes: vec![],
        proxy_count: 0,
    };
    EndpointList::decode(&response, &names)
}

fn decode_entries(entries: Value) -> EndpointList {
    decode(json!({"seq": 4, "whole": true, "hosts": entries})).unwrap()
}

#[test]
fn an_entry_is_decoded_to_a_zone_number_and_a_start_in_microseconds() {
    let list = decode_entries(json!([
        {"host": "a", "site": "south", "health": "active", "share": 2.5, "born_ms": 7},
        {"host": "b", "site": "elsewhere", "health": "leaving"},
        {"host": "c", "health": "left"},
    ]));
    let [a, b, c] = &list.updates[..] else { panic!("three valid entries") };
    assert_eq!((&*a.id, a.zone, a.weight, a.state), ("a", 1, 2.5, EndpointState::Ready));
    assert_eq!(a.started, Some(Moment::from_us(7_000)));
    assert_eq!((b.zone, b.weight, b.state, b.started), (UNKNOWN_ZONE, 1.0, EndpointState::Draining, None));
    assert_eq!((c.zone, c.state), (0, EndpointState::Removed));
}

#[test]
fn an_invalid_entry_is_reported_with_its_position_and_endpoint() {
    let list = decode_entries(json!([
        {"host": "a", "health": "active"},
        {"host": "b", "health": "asleep"},
        {"host": 7, "health": "active"},
    ]));
    assert_eq!(list.updates.len(), 1);
    let [unknown_state, without_id] = &list.invalid[..] else { panic!("two invalid entries") };
    assert_eq!(unknown_state.id.as_deref(), Some("b"));
    assert_eq!(
        unknown_state.to_string(),
        "entry 1: list entry: field 'health' is not 'active', 'leaving' or 'left': 'asleep'"
    );
    assert_eq!(without_id.id, None);
}

#[test]
fn only_ready_endpoints_need_valid_optional_fields() {
    for field in ["site", "share", "born_ms"] {
        for (health, valid) in [("leaving", 1), ("left", 1), ("active", 0)] {
            let mut entry = json!({"host": "a", "health": health});
            entry[field] = json!([]);
            assert_eq!(decode_entries(json!([entry])).updates.len(), valid, "{field} {health}");
        }
    }
}

#[test]
fn a_response_without_version_or_entries_is_an_error() {
    assert!(decode(json!({"hosts": []})).is_err());
    assert!(decode(json!({"seq": 4})).is_err());
    assert!(decode(json!([])).is_err());
}
