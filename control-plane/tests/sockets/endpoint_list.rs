//! Responses of the endpoint list that are invalid, truncated, outdated or sent twice. Only the invalid
//! entries of a response are ignored, and their endpoints keep their last state. An endpoint that is known to
//! be draining is ejected.

use crate::support::{
    endpoint_entry, wait_for, ControlPlane, FakeEndpointList, FakeRelay, ListResponse, Testbed,
};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn a_silent_list_is_polled_again() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    list.set_silent(true);
    control_plane.wait_for_log("endpoint watch failed");
    list.set_silent(false);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
}

#[test]
fn the_list_is_polled_repeatedly() {
    let Testbed { list, control_plane: _control_plane, .. } = Testbed::start(&["a"]);
    list.wait_for_requests(3);
}

fn invalid_entry(id: &str, health: &str, field: &str, value: Value) -> Value {
    let mut entry = endpoint_entry(id, health);
    entry[field] = value;
    entry
}

fn list_response(version: u64, whole: bool, hosts: &[Value]) -> ListResponse {
    ListResponse::Body(json!({"seq": version, "whole": whole, "hosts": hosts}).to_string())
}

fn wait_for_endpoint_count(control_plane: &ControlPlane, endpoints: usize) {
    control_plane.wait_for_status(&format!(r#""servers":{endpoints},"#));
}

fn assert_next_ejected(relay: &FakeRelay, endpoint: &str) {
    assert_eq!(relay.next_command("eject")["endpoint"], endpoint);
}

#[test]
fn an_invalid_entry_does_not_affect_the_others_of_its_response() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    let invalid = [json!({}), json!("text"), invalid_entry("c", "active", "health", 7.into())];
    for (n, entry) in invalid.into_iter().enumerate() {
        list.publish(&[endpoint_entry("b", "active")], &[entry, endpoint_entry("a", "leaving")]);
        assert_next_ejected(&relay, "a");
        let dropped_count = format!(r#""dropped":{},"#, n + 1);
        control_plane.wait_for_status(&dropped_count);
        list.publish(
            &[endpoint_entry("a", "active"), endpoint_entry("b", "active")],
            &[endpoint_entry("a", "active")],
        );
        assert_eq!(relay.next_command("uneject")["endpoint"], "a");
    }
    let why = control_plane.wait_for_log("endpoint list entry skipped")["why"].to_string();
    assert!(why.contains("entry 0") && why.contains("'host'"), "{why}");
}

/// The whole list has to be read because no later response repeats a change.
#[test]
fn the_whole_list_is_read_after_an_invalid_change() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    list.publish(
        &[endpoint_entry("a", "leaving"), endpoint_entry("b", "active")],
        &[invalid_entry("a", "gone?", "share", json!(1))],
    );
    assert_next_ejected(&relay, "a");
}

#[test]
fn a_draining_endpoint_is_ejected_whatever_else_is_invalid_in_its_entry() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    let invalid = [
        invalid_entry("a", "leaving", "share", json!([])),
        invalid_entry("b", "leaving", "born_ms", json!("x")),
    ];
    list.publish_changes(&invalid);
    let call = relay.next_call_with("eject");
    assert_eq!(call.iter().filter(|command| command["op"] == "eject").count(), 2, "{call:?}");
}

#[test]
fn an_endpoint_whose_entry_in_the_whole_list_is_invalid_keeps_its_state() {
    let Testbed { list, relay, control_plane } = Testbed::start(&["a", "b", "c"]);
    relay.join_proxy(7);
    relay.next_command("attach");
    list.queue_response(list_response(
        9,
        true,
        &[invalid_entry("a", "active", "share", json!(-1)), endpoint_entry("b", "active")],
    ));
    // `c` is missing from the list. `a` is not, because it has an entry, though an invalid one.
    assert_next_ejected(&relay, "c");
    wait_for_endpoint_count(&control_plane, 2);
}

#[test]
fn while_an_entry_names_no_endpoint_none_counts_as_removed() {
    let Testbed { list, relay, control_plane } = Testbed::start(&["a", "b", "c"]);
    relay.join_proxy(7);
    relay.next_command("attach");
    let unidentified = [json!({"health": "active"}), endpoint_entry("b", "leaving")];
    list.publish_with_response(&[endpoint_entry("a", "active")], &[], list_response(9, true, &unidentified));
    assert_next_ejected(&relay, "b");
    // The whole list is read again, and now shows that `c` has been removed and `a` has not.
    assert_next_ejected(&relay, "c");
    wait_for_endpoint_count(&control_plane, 1);
}

#[test]
fn an_outdated_change_is_ignored_and_the_whole_list_is_read() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    list.publish(
        &[endpoint_entry("a", "active"), endpoint_entry("b", "leaving")],
        &[endpoint_entry("b", "leaving")],
    );
    assert_next_ejected(&relay, "b");
    list.wait_until_up_to_date();
    list.publish_with_response(
        &[endpoint_entry("a", "leaving"), endpoint_entry("b", "leaving")],
        &[],
        list_response(1, false, &[endpoint_entry("b", "active")]),
    );
    assert!(control_plane.wait_for_log("endpoint watch failed")["why"]
        .as_str()
        .unwrap()
        .ends_with("got version 1"));
    let call = relay.next_call_with("eject");
    assert!(call.iter().all(|command| command["op"] != "uneject"), "{call:?}");
    assert!(call.iter().any(|command| command["op"] == "eject" && command["endpoint"] == "a"), "{call:?}");
}

/// Restarts the list at a lower version, and checks that a change published after that arrives.
fn assert_restarted_list_is_followed(rejects_newer_versions: bool) {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    for _ in 0..5 {
        list.publish_changes(&[]);
    }
    list.wait_until_up_to_date();
    list.restart_at_version(1, rejects_newer_versions);
    list.publish(
        &[endpoint_entry("a", "leaving"), endpoint_entry("b", "active")],
        &[endpoint_entry("a", "leaving")],
    );
    assert_next_ejected(&relay, "a");
}

#[test]
fn a_list_that_restarts_with_lower_versions_is_followed() {
    assert_restarted_list_is_followed(false);
}

#[test]
fn a_restarted_list_that_rejects_newer_versions_is_followed() {
    assert_restarted_list_is_followed(true);
}

/// Publishes a change but sends `response` instead of it, and checks that it and the next change arrive.
fn assert_change_arrives_despite_response(response: ListResponse) {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    list.publish_with_response(
        &[endpoint_entry("a", "leaving"), endpoint_entry("b", "active")],
        &[endpoint_entry("a", "leaving")],
        response,
    );
    assert_next_ejected(&relay, "a");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let command = relay.next_command("put");
    assert_eq!(command["endpoint"], "c", "{command}");
    wait_for_endpoint_count(&control_plane, 3);
}

#[test]
fn a_change_arrives_when_its_response_is_truncated_in_the_status_line() {
    assert_change_arrives_despite_response(ListResponse::Truncated(12));
}

#[test]
fn a_change_arrives_when_its_response_is_truncated_after_the_head() {
    assert_change_arrives_despite_response(ListResponse::Truncated(60));
}

#[test]
fn a_change_arrives_when_its_response_lacks_the_last_byte() {
    assert_change_arrives_despite_response(ListResponse::Truncated(usize::MAX));
}

#[test]
fn a_change_arrives_when_the_poll_is_reset() {
    assert_change_arrives_despite_response(ListResponse::ConnectionReset);
}

#[test]
fn a_change_arrives_when_its_response_is_not_json() {
    assert_change_arrives_despite_response(ListResponse::Body("{\"seq\":".into()));
}

#[test]
fn a_change_arrives_when_its_response_has_another_json_type() {
    assert_change_arrives_despite_response(ListResponse::Body("[[]]".into()));
}

#[test]
fn a_change_arrives_when_it_is_answered_twice() {
    assert_change_arrives_despite_response(ListResponse::SentTwice);
}

/// Guards against timers that fire after a stall of the process before what arrived meanwhile is read: an
/// ordinary change went first, and the removal of the draining endpoint needed a further message.
#[test]
fn after_a_stall_the_first_call_removes_an_endpoint_that_drained_meanwhile() {
    let (list, relay) = (FakeEndpointList::start(&[]), FakeRelay::start());
    let mut warming_up = endpoint_entry("w", "active");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    warming_up["born_ms"] = json!(now.as_millis() as u64);
    let mut entries =
        ["a", "b", "c", "d", "e", "f", "g", "h"].map(|id| endpoint_entry(id, "active")).to_vec();
    entries.push(warming_up);
    list.publish(&entries, &[]);
    let control_plane = ControlPlane::start(&list, &relay);
    control_plane.wait_for_status(r#""servers":9,"#);
    relay.join_proxy(7);
    relay.next_command("attach");
    let drain_during_a_stall = || {
        control_plane.while_suspended(|| {
            let published = list.publish_changes_to_waiting_poll(&[endpoint_entry("a", "leaving")]);
            if published {
                // The evaluation that is due after 1 s at the latest has a new weight for endpoint w.
                sleep(Duration::from_millis(1_300));
            }
            while relay.try_next_call().is_some() {}
            published.then_some(())
        })
    };
    wait_for("a poll that is open as the process is suspended", drain_during_a_stall);
    let call = relay.next_call();
    let weight = |id: &str| {
        call.iter()
            .find(|command| command["op"] == "put" && command["endpoint"] == id)
            .map(|command| command["w"].as_f64().unwrap())
    };
    assert_eq!(weight("a"), Some(0.0), "{call:?}");
    assert!(weight("w").is_some_and(|w| w > 0.0), "an ordinary change was due as well: {call:?}");
}
