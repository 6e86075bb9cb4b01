//! Reloading the configuration on SIGHUP.

use crate::connections::assert_answers_health_check;
use crate::support::{
    config_with_peers, endpoint_entry, wait_for, ControlPlane, FakeEndpointList, FakeRelay, RelayBehavior,
    Testbed,
};
use serde_json::json;

/// Reloads a configuration with a new endpoint list and a new relay, which lists `proxy` as joined.
fn reload_with_new_peers(
    control_plane: &ControlPlane,
    endpoints: &[&str],
    proxy: u32,
) -> (FakeEndpointList, FakeRelay) {
    let (list, relay) = (FakeEndpointList::start(endpoints), FakeRelay::start());
    relay.join_proxy(proxy);
    control_plane.reload_config(&config_with_peers(list.address, relay.address).to_string());
    control_plane.wait_for_log("config reloaded");
    (list, relay)
}

#[test]
fn each_reload_moves_the_endpoint_watch_the_commands_and_the_proxy_stream() {
    let Testbed { control_plane, .. } = Testbed::start_with_proxy();
    let mut collector = control_plane.connect_collector();
    for n in [8, 9] {
        let (list, relay) = reload_with_new_peers(&control_plane, &["a", "b"], n);
        // A proxy that the new relay lists is assigned its table there. One that it does not list has left.
        wait_for("the assignment of the new proxy", || {
            (relay.next_command("attach")["node"] == n).then_some(())
        });
        control_plane.wait_for_status(r#""proxies":1,"#);
        list.wait_for_requests(2);
        list.publish_changes(&[endpoint_entry("a", "leaving")]);
        assert_eq!(relay.next_command("eject")["endpoint"], "a");
        list.publish_changes(&[endpoint_entry("a", "active")]);
        assert_eq!(relay.next_command("uneject")["endpoint"], "a");
    }
    assert_answers_health_check(&mut collector);
}

#[test]
fn commands_that_failed_at_the_old_relay_are_sent_to_the_new_one_first() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior_times(500, RelayBehavior::Throttles);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let failed = relay.next_call_with("eject");
    let (_list, relay) = reload_with_new_peers(&control_plane, &["b"], 7);
    assert_eq!(relay.next_call(), failed);
}

#[test]
fn an_invalid_config_changes_nothing_and_every_fault_is_logged() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    control_plane.reload_config("{\"name\":");
    control_plane.wait_for_log("config rejected, keeping the current one");
    let mut changed = config_with_peers(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
    changed["settings"]["zones"] = json!(["elsewhere"]);
    changed["name"] = "n2".into();
    control_plane.reload_config(&changed.to_string());
    for field in ["'name'", "'settings'"] {
        let why = control_plane.wait_for_log("config rejected, keeping the current one")["why"].to_string();
        assert!(why.contains(field), "{why}");
    }
    control_plane.wait_for_status(r#""config_refused":2"#);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
}

#[test]
fn a_call_in_flight_when_the_relay_moves_is_sent_to_the_new_one_first() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::WithholdsResponse);
    // If the reload comes late, the call is first repeated at the old relay, which must not accept it.
    relay.queue_behavior_times(500, RelayBehavior::DoesNotRespond);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let withheld = relay.next_call_with("eject");
    let (new_list, new_relay) = (FakeEndpointList::start(&["b"]), FakeRelay::start());
    new_relay.join_proxy(7);
    control_plane.reload_config(&config_with_peers(new_list.address, new_relay.address).to_string());
    control_plane.wait_for_log("config reloaded");
    let mut first = new_relay.next_call();
    first.retain(|command| command["op"] != "fence");
    assert_eq!(first, withheld);
    while let Some(mut repeated) = relay.try_next_call() {
        repeated.retain(|command| command["op"] != "fence");
        assert_eq!(repeated, withheld);
    }
    relay.release_response();
    assert_eq!(new_relay.next_command("attach")["node"], 7);
    assert!(relay.try_next_call().is_none(), "a call was sent to the old relay after the move");
}
