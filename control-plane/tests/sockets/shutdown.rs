//! Shutdown: the work that has to be completed before the process exits. Each race is forced, either by a
//! response that the relay withholds or by suspending the process while signals and requests arrive.

use crate::support::{
    config_with_peers, encode_frame, endpoint_entry, read_frame, wait_for, ControlPlane, FakeEndpointList,
    FakeRelay, RelayBehavior, Testbed,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

#[test]
fn sigterm_ends_the_program_with_code_0() {
    let Testbed { mut control_plane, .. } = Testbed::start_with_proxy();
    control_plane.send_signal("TERM");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// Drains `a`, with the relay withholding its response to the call that ejects it, and then drains `b`.
/// Returns once the control loop has received the change of `b`.
pub fn drain_during_a_call(relay: &FakeRelay, list: &FakeEndpointList) {
    relay.queue_behavior(RelayBehavior::WithholdsResponse);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert!(relay.next_call_with("eject").iter().any(|command| command["endpoint"] == "a"));
    list.wait_until_up_to_date();
    list.publish_changes(&[endpoint_entry("b", "leaving")]);
    // The list is polled again once the control loop has the change.
    list.wait_until_up_to_date();
}

fn assert_queued_commands_are_sent_before_exit_on(signal: &str) {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    drain_during_a_call(&relay, &list);
    control_plane.send_signal(signal);
    assert_eq!(control_plane.wait_for_log("shutting down")["signal"], format!("SIG{signal}"));
    relay.release_response();
    wait_for_ejection(&relay, "b");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// Waits for the ejection of an endpoint. Before it, a call whose response was withheld for too long may be
/// repeated.
pub fn wait_for_ejection(relay: &FakeRelay, endpoint: &str) {
    let ejects = |command: &Value| command["op"] == "eject" && command["endpoint"] == endpoint;
    wait_for(&format!("the ejection of endpoint {endpoint}"), || {
        relay.next_call().iter().any(ejects).then_some(())
    });
}

#[test]
fn an_ejection_queued_behind_a_call_is_sent_before_exit_on_sigterm() {
    assert_queued_commands_are_sent_before_exit_on("TERM");
}

#[test]
fn an_ejection_queued_behind_a_call_is_sent_before_exit_on_sigint() {
    assert_queued_commands_are_sent_before_exit_on("INT");
}

#[test]
fn a_call_without_response_is_repeated_once_before_exit() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::DoesNotRespond);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.send_signal("TERM");
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn a_silent_relay_does_not_prevent_exit() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior_times(50, RelayBehavior::DoesNotRespond);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.send_signal("TERM");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn requests_before_the_signal_are_answered_and_a_silent_connection_does_not_delay_exit() {
    let Testbed { mut control_plane, .. } = Testbed::start_with_proxy();
    let _silent = control_plane.connect();
    let (mut probe, mut page) = control_plane.while_suspended(|| {
        let (mut probe, mut page) = (control_plane.connect(), control_plane.connect());
        probe.write_all(&encode_frame(r#"{"msg":"probe"}"#)).unwrap();
        page.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        control_plane.send_signal("TERM");
        (probe, page)
    });
    assert_eq!(read_frame(&mut probe).unwrap(), r#"{"msg":"alive"}"#);
    let mut text = String::new();
    page.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("\r\n\r\nalive\n"), "{text}");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn connections_after_the_signal_are_refused_while_a_last_call_is_in_flight() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    drain_during_a_call(&relay, &list);
    control_plane.send_signal("TERM");
    assert_eq!(control_plane.wait_for_log("shutting down")["signal"], "SIGTERM");
    let connect_error = || TcpStream::connect(control_plane.address).err().map(|error| error.kind());
    let mut error = wait_for("a failed connection", connect_error);
    if error == ErrorKind::ConnectionReset {
        // The kernel resets a connection that is being set up at the moment at which the listener closes.
        error = connect_error().expect("the listener is closed");
    }
    assert_eq!(error, ErrorKind::ConnectionRefused);
    relay.release_response();
    // The process was still running when the connection was refused.
    wait_for_ejection(&relay, "b");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// A killed process can't complete its work, so the next start has to.
#[test]
fn a_restart_after_a_kill_ejects_an_endpoint_that_only_the_outdated_config_lists() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.queue_behavior(RelayBehavior::WithholdsResponse);
    list.publish(&[endpoint_entry("b", "active")], &[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.child.kill().unwrap();
    control_plane.child.wait().unwrap();
    relay.release_response();
    let mut outdated = config_with_peers(list.address, relay.address);
    outdated["known"]["hosts"] = json!([endpoint_entry("a", "active"), endpoint_entry("b", "active")]);
    let _restarted = ControlPlane::start_with(&outdated);
    let mut commands = Vec::new();
    wait_for("the ejection of endpoint a and the assignment of proxy 7", || {
        commands.extend(relay.next_call());
        let has = |op, field, value: Value| {
            commands.iter().any(|command| command["op"] == op && command[field] == value)
        };
        (has("eject", "endpoint", "a".into()) && has("attach", "node", 7.into())).then_some(())
    });
    let last_weight = |id: &str| {
        commands
            .iter()
            .rfind(|command| command["op"] == "put" && command["endpoint"] == id)
            .map(|command| &command["w"])
    };
    assert!(last_weight("a").is_none_or(|w| *w == 0.0), "{commands:?}");
    assert!(last_weight("b").is_some_and(|w| w.as_f64() > Some(0.0)), "{commands:?}");
}
