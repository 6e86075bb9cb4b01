use super::{ListEntry, ListState, INITIAL_VERSION, MAX_KEPT_CHANGES};
use otterwinch::host::EndpointState;
use serde_json::{json, Value};

fn entry(name: &str, state: EndpointState) -> ListEntry {
    ListEntry {
        name: name.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "east".to_owned(),
        state,
        weight: 2.0,
        started_unix_ms: 5,
    }
}

fn list_of(names: &[&str]) -> ListState {
    let entries = names.iter().map(|name| entry(name, EndpointState::Ready)).collect();
    ListState { version: INITIAL_VERSION, entries, changes: Vec::new() }
}

/// The names of the endpoints in a response.
fn endpoint_names(response: &Value) -> Vec<&str> {
    let hosts = response["hosts"].as_array().unwrap();
    hosts.iter().map(|host| host["host"].as_str().unwrap()).collect()
}

#[test]
fn an_entry_has_the_published_field_names() {
    let health = [
        (EndpointState::Ready, "active"),
        (EndpointState::Draining, "leaving"),
        (EndpointState::Removed, "left"),
    ];
    for (state, health) in health {
        let expected = json!({"host": "a", "dial": "127.0.0.1:1", "site": "east", "class": "stand-in",
            "block": 0, "health": health, "share": 2.0, "born_ms": 5});
        assert_eq!(entry("a", state).to_json(), expected);
    }
}

#[test]
fn a_request_without_a_version_gets_the_whole_list_without_removed_endpoints() {
    let mut list = list_of(&["a", "b"]);
    list.update(vec![entry("a", EndpointState::Removed), entry("c", EndpointState::Ready)]);
    let response = list.response_json(None);
    assert_eq!((&response["seq"], &response["whole"]), (&json!(2), &json!(true)));
    assert_eq!(endpoint_names(&response), ["b", "c"]);
}

#[test]
fn a_watcher_gets_the_changes_since_its_version() {
    let mut list = list_of(&["a", "b"]);
    list.update(vec![entry("a", EndpointState::Draining)]);
    list.update(vec![entry("b", EndpointState::Removed)]);
    assert_eq!(endpoint_names(&list.response_json(Some(1))), ["a", "b"]);
    assert_eq!(endpoint_names(&list.response_json(Some(2))), ["b"]);
    let unchanged = list.response_json(Some(3));
    assert_eq!((&unchanged["seq"], &unchanged["whole"]), (&json!(3), &json!(false)));
    assert!(endpoint_names(&unchanged).is_empty());
}

#[test]
fn a_watcher_that_is_further_behind_than_the_kept_changes_gets_the_whole_list() {
    let mut list = list_of(&["a"]);
    for _ in 0..=MAX_KEPT_CHANGES {
        list.update(vec![entry("a", EndpointState::Ready)]);
    }
    assert_eq!(list.response_json(Some(1))["whole"], true);
    let response = list.response_json(Some(2));
    assert_eq!(response["whole"], false);
    assert_eq!(endpoint_names(&response).len(), MAX_KEPT_CHANGES);
}
