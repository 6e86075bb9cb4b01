//! The commands that are sent to the relay, and the handling of commands whose call fails.

use crate::support::{
    config_with_peers, endpoint_entry, wait_for, ControlPlane, FakeEndpointList, FakeRelay, RelayBehavior,
    Testbed,
};
use serde_json::{json, Value};

#[test]
fn a_joining_proxy_is_assigned_a_table_with_all_endpoints() {
    let Testbed { relay, control_plane: _control_plane, .. } = Testbed::start(&["a", "b"]);
    relay.join_proxy(7);
    let call = relay.next_call_with("put");
    let ids: Vec<&Value> =
        call.iter().filter(|command| command["op"] == "put").map(|command| &command["endpoint"]).collect();
    assert_eq!(ids, ["a", "b"]);
    let table = call[0]["table"].clone();
    assert_eq!(relay.next_command("attach"), json!({"op": "attach", "node": 7, "table": table}));
}

/// Guards against a table for all classes that holds only the zone of its proxies because one class must not
/// leave it: the other classes would have no endpoint without those of the zone.
#[test]
fn a_class_that_must_not_leave_its_zone_is_assigned_a_table_of_its_own() {
    let (list, relay) = (FakeEndpointList::start(&[]), FakeRelay::start());
    let mut in_south = endpoint_entry("b", "active");
    in_south["site"] = json!("south");
    list.publish(&[endpoint_entry("a", "active"), in_south], &[]);
    let mut config = config_with_peers(list.address, relay.address);
    config["settings"]["familyInfo"]["staysLocal"] = json!([true, false]);
    let control_plane = ControlPlane::start_with(&config);
    control_plane.wait_for_status(r#""servers":2,"#);
    relay.join_proxy(7);
    let mut commands = Vec::new();
    wait_for("the assignments", || {
        commands.extend(relay.next_call());
        commands.iter().any(|command| command["op"] == "attach").then_some(())
    });
    let endpoints_for = |class: &str| -> Vec<&str> {
        let is_attach = |command: &&Value| command["op"] == "attach" && command["routes"] == json!([class]);
        let table = &commands.iter().find(is_attach).unwrap()["table"];
        let is_put = |command: &&Value| command["op"] == "put" && command["table"] == *table;
        commands.iter().filter(is_put).filter_map(|command| command["endpoint"].as_str()).collect()
    };
    assert_eq!((endpoints_for("quote"), endpoints_for("hold")), (vec!["a"], vec!["a", "b"]));
}

#[test]
fn a_draining_endpoint_gets_weight_zero_and_is_ejected() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let call = relay.next_call_with("eject");
    assert!(
        call.iter()
            .any(|command| command["op"] == "put" && command["endpoint"] == "a" && command["w"] == 0.0),
        "{call:?}"
    );
    assert!(call.iter().any(|command| command["op"] == "eject" && command["endpoint"] == "a"), "{call:?}");
}

/// Drains `a` while the relay handles the next call with `behavior`, and checks that exactly the same
/// commands are resent.
fn assert_commands_are_resent_after(behavior: RelayBehavior) {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(behavior);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let failed = relay.next_call_with("eject");
    let mut resent = relay.next_call();
    // Commands that may have been executed are followed by an acknowledgement request when they are resent.
    resent.retain(|command| command["op"] != "fence");
    assert_eq!(resent, failed);
    control_plane.wait_for_log("command delivery failed");
    control_plane.wait_for_log("command delivery recovered");
}

#[test]
fn commands_are_resent_when_the_relay_closes_the_connection() {
    assert_commands_are_resent_after(RelayBehavior::ClosesConnection);
}

#[test]
fn commands_are_resent_when_the_relay_does_not_respond() {
    assert_commands_are_resent_after(RelayBehavior::DoesNotRespond);
}

#[test]
fn commands_are_resent_when_the_response_is_invalid_json() {
    assert_commands_are_resent_after(RelayBehavior::SendsInvalidJson);
}

#[test]
fn commands_are_resent_when_the_relay_throttles() {
    assert_commands_are_resent_after(RelayBehavior::Throttles);
}

#[test]
fn the_controller_restarts_when_the_relay_rejects_the_commands_twice() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    // A single rejection may be a corrupted response.
    relay.queue_behavior_times(2, RelayBehavior::RejectsAsInvalid);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    for _ in 0..2 {
        relay.next_call_with("eject");
    }
    control_plane.wait_for_log("controller restarted");
    assert_eq!(relay.next_command("put")["endpoint"], "b");
    assert_eq!(relay.next_command("attach")["node"], 7);
}

#[test]
fn commands_are_resent_when_the_relay_rejects_them_once() {
    assert_commands_are_resent_after(RelayBehavior::RejectsAsInvalid);
}

#[test]
fn queued_commands_are_sent_and_joining_proxies_assigned_after_the_relay_was_silent() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior_times(5, RelayBehavior::DoesNotRespond);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_call_with("eject");
    // This change arrives while commands are unacknowledged. Its commands are queued behind those.
    list.publish_changes(&[endpoint_entry("c", "active")]);
    control_plane.wait_for_log("command delivery recovered");
    assert_eq!(relay.next_call_with("put").last().unwrap()["op"], "fence");
    relay.join_proxy(8);
    assert_eq!(relay.next_command("attach")["node"], 8);
}

#[test]
fn a_connection_closed_by_the_relay_loses_no_commands() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::AcceptsAndCloses);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    assert_eq!(relay.next_command("put")["endpoint"], "c");
}

#[test]
fn a_fragmented_response_is_accepted() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::FragmentsResponse);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let accepted = relay.next_call_with("eject");
    list.publish_changes(&[endpoint_entry("b", "leaving"), endpoint_entry("c", "active")]);
    assert_ne!(relay.next_call(), accepted);
}

#[test]
fn after_a_rejected_command_the_rest_is_sent_and_the_assignment_is_repeated() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::AcceptsOnly(0));
    relay.join_proxy(8);
    relay.join_proxy(9);
    let call = relay.next_call_with("attach");
    let rejected = call[0].clone();
    assert_eq!(control_plane.wait_for_log("relay rejected a command")["command"], rejected.to_string());
    if call.len() > 1 {
        assert_eq!(relay.next_call(), call[1..]);
    }
    wait_for("the repeated assignment", || relay.next_call_with("attach").contains(&rejected).then_some(()));
}

#[test]
fn commands_are_resent_when_the_connection_is_reset() {
    assert_commands_are_resent_after(RelayBehavior::ResetsConnection);
}

#[test]
fn commands_are_resent_when_the_response_is_truncated_in_its_status_line() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesResponse(12));
}

#[test]
fn commands_are_resent_when_the_response_is_truncated_after_its_head() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesResponse(40));
}

#[test]
fn commands_are_resent_when_the_response_lacks_its_last_byte() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesResponse(usize::MAX));
}

#[test]
fn commands_are_resent_when_more_were_accepted_than_sent() {
    assert_commands_are_resent_after(RelayBehavior::OverstatesAcceptedCount);
}

#[test]
fn commands_are_resent_when_the_response_is_not_http() {
    assert_commands_are_resent_after(RelayBehavior::SendsInvalidHttp);
}

#[test]
fn a_response_that_is_sent_twice_counts_once() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::RespondsTwice);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let accepted = relay.next_call_with("eject");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let next = relay.next_call_with("put");
    assert_ne!(next, accepted);
    assert!(next.iter().all(|command| command["op"] != "eject"), "{next:?}");
}

/// The response to a call that timed out arrives after the commands were resent. It counts as the response
/// to neither call.
#[test]
fn a_late_response_is_ignored() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::WithholdsResponse);
    relay.queue_behavior(RelayBehavior::ClosesConnection);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let withheld = relay.next_call_with("eject");
    // The first call timed out, and the call that resent its commands failed, so the outcome is still
    // unknown. Only now the response to the first call arrives.
    relay.next_call_with("eject");
    relay.release_response();
    let mut third = relay.next_call();
    third.retain(|command| command["op"] != "fence");
    assert_eq!(third, withheld);
    control_plane.wait_for_log("command delivery recovered");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let next = relay.next_call_with("put");
    assert!(next.iter().all(|command| command["op"] != "eject"), "{next:?}");
}

/// A single rejection may be a corrupted response, so only two in a row restart the controller.
#[test]
fn two_rejections_with_a_failed_call_between_do_not_restart_the_controller() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    for behavior in
        [RelayBehavior::RejectsAsInvalid, RelayBehavior::ClosesConnection, RelayBehavior::RejectsAsInvalid]
    {
        relay.queue_behavior(behavior);
    }
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    for _ in 0..4 {
        relay.next_call_with("eject");
    }
    control_plane.wait_for_log("command delivery recovered");
    assert!(control_plane.http_get("/state").contains(r#""opened":1,"#));
}

/// Guards against a drain that waits for as many calls as the relay rejects commands: it was read only once
/// all queued commands had been sent.
#[test]
fn a_removal_goes_before_commands_that_the_relay_rejects_one_by_one() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::WithholdsRejection);
    relay.queue_behavior_times(7, RelayBehavior::AcceptsOnly(0));
    for proxy in 0..7 {
        relay.join_proxy(proxy);
    }
    relay.next_call_with("attach");
    list.wait_until_up_to_date();
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    // The list is polled again once the control loop has the change.
    list.wait_until_up_to_date();
    relay.release_response();
    let removes =
        |command: &Value| command["op"] == "put" && command["endpoint"] == "a" && command["w"] == 0.0;
    let calls: Vec<Vec<Value>> = (0..3).map(|_| relay.next_call()).collect();
    assert!(calls.iter().any(|call| removes(&call[0])), "{calls:?}");
}

/// Guards against assignments of proxies that left while their call failed: the relay rejects each of them,
/// and each costs a call of its own.
#[test]
fn a_failed_call_is_resent_without_the_assignments_of_proxies_that_left() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.queue_behavior_times(100, RelayBehavior::ClosesConnection);
    relay.join_proxy(8);
    relay.join_proxy(9);
    let assigned = |call: &[Value], proxy: u32| call.iter().any(|command| command["node"] == proxy);
    wait_for("a call that assigns both proxies", || {
        let call = relay.next_call();
        (assigned(&call, 8) && assigned(&call, 9)).then_some(())
    });
    relay.remove_proxy(8);
    control_plane.wait_for_status(r#""proxies":2,"#);
    while relay.try_next_call().is_some() {}
    // The call before the next may have been made before the proxy left.
    relay.next_call();
    for _ in 0..3 {
        let call = relay.next_call();
        assert!(assigned(&call, 9) && !assigned(&call, 8), "{call:?}");
    }
}

/// Guards against commands that are sent to the proxies again and again although they have acknowledged them:
/// each copy takes one of the messages that a proxy may be sent.
#[test]
fn a_failed_call_that_the_proxies_acknowledged_is_not_repeated() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior_times(20, RelayBehavior::ClosesConnection);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let acknowledgement_request = wait_for("a repeated call", || {
        relay.next_call_with("eject").into_iter().find(|command| command["op"] == "fence")
    });
    relay.acknowledge(7, &acknowledgement_request["nonce_out"]);
    control_plane.wait_for_log("failed call was carried out");
    control_plane.wait_for_log("command delivery recovered");
    while relay.try_next_call().is_some() {}
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let next = relay.next_call();
    assert!(next.iter().all(|command| command["endpoint"] != "a"), "{next:?}");
}
