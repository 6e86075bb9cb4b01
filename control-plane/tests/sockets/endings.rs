//! What has to be finished as something ends: the process, a collector's connection, the listener. Each race is forced,
//! by an answer that the relay withholds or by a process that is suspended while everything arrives.

use crate::assert_answers_health_check;
use crate::support::{
    config, endpoint_entry, frame, read_frame, wait_for, ControlPlane, FakeEndpointList, FakeRelay,
    RelayBehavior, Testbed,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

/// `a` drains, and the relay withholds its answer to the call that ejects it; then `b` drains, and the control loop knows.
fn drain_during_a_call(relay: &FakeRelay, list: &FakeEndpointList) {
    relay.plan(RelayBehavior::WithholdsAnswer);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert!(relay.next_call_with("eject").iter().any(|o| o["endpoint"] == "a"));
    list.wait_until_up_to_date();
    list.publish_changes(&[endpoint_entry("b", "leaving")]);
    // The list is polled again once the control loop has the change.
    list.wait_until_up_to_date();
}

fn assert_queued_commands_are_sent_before_exit_on(signal: &str) {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    drain_during_a_call(&relay, &list);
    control_plane.signal(signal);
    assert_eq!(control_plane.wait_for_log("shutting down")["signal"], format!("SIG{signal}"));
    relay.release_answer();
    wait_for_ejection(&relay, "b");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// Waits for the ejection. A call whose answer was withheld for too long is repeated before it.
fn wait_for_ejection(relay: &FakeRelay, endpoint: &str) {
    let ejects = |command: &Value| command["op"] == "eject" && command["endpoint"] == endpoint;
    wait_for(endpoint, || relay.next_call().iter().any(ejects).then_some(()));
}

#[test]
fn a_withdrawal_that_waits_behind_a_call_goes_out_before_the_end_on_sigterm() {
    assert_queued_commands_are_sent_before_exit_on("TERM");
}

#[test]
fn a_withdrawal_that_waits_behind_a_call_goes_out_before_the_end_on_sigint() {
    assert_queued_commands_are_sent_before_exit_on("INT");
}

#[test]
fn a_call_whose_fate_is_open_is_made_once_more_before_the_end() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::DoesNotAnswer);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.signal("TERM");
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn a_relay_that_stays_silent_does_not_keep_the_process_from_ending() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.plan_times(50, RelayBehavior::DoesNotAnswer);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.signal("TERM");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn who_asked_before_the_end_is_answered_and_a_silent_one_delays_nothing() {
    let Testbed { mut control_plane, .. } = Testbed::start_with_proxy();
    let _silent = control_plane.connect();
    let (mut probe, mut page) = control_plane.while_suspended(|| {
        let (mut probe, mut page) = (control_plane.connect(), control_plane.connect());
        probe.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
        page.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        control_plane.signal("TERM");
        (probe, page)
    });
    assert_eq!(read_frame(&mut probe).unwrap(), r#"{"msg":"alive"}"#);
    let mut text = String::new();
    page.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("\r\n\r\nalive\n"), "{text}");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

#[test]
fn who_comes_after_the_word_to_end_is_refused_while_a_last_call_is_out() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    drain_during_a_call(&relay, &list);
    control_plane.signal("TERM");
    assert_eq!(control_plane.wait_for_log("shutting down")["signal"], "SIGTERM");
    let refused = || TcpStream::connect(control_plane.address).err();
    assert_eq!(wait_for("a closed address", refused).kind(), ErrorKind::ConnectionRefused);
    relay.release_answer();
    // The process had not ended yet when it refused the connection.
    wait_for_ejection(&relay, "b");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// Nothing can be finished then: the next start makes up for it.
#[test]
fn one_killed_in_a_call_starts_again_and_bars_what_its_old_list_still_names() {
    let Testbed { list, relay, mut control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::WithholdsAnswer);
    list.publish(&[endpoint_entry("b", "active")], &[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    control_plane.child.kill().unwrap();
    control_plane.child.wait().unwrap();
    relay.release_answer();
    let mut old = config(list.address, relay.address);
    old["known"]["hosts"] = json!([endpoint_entry("a", "active"), endpoint_entry("b", "active")]);
    let _restarted = ControlPlane::start_with(&old);
    let mut lines = Vec::new();
    wait_for("a ejected and 7 assigned", || {
        lines.extend(relay.next_call());
        let has = |op, field, to: Value| lines.iter().any(|o| o["op"] == op && o[field] == to);
        (has("eject", "endpoint", "a".into()) && has("attach", "node", 7.into())).then_some(())
    });
    let stands = |id: &str| lines.iter().rfind(|o| o["op"] == "put" && o["endpoint"] == id).map(|o| &o["w"]);
    assert!(stands("a").is_none_or(|w| *w == 0.0), "{lines:?}");
    assert!(stands("b").is_some_and(|w| w.as_f64() > Some(0.0)), "{lines:?}");
}

/// A zone's ninth connection ends the one that was silent for longest, which has just sent reports that are not read yet.
#[test]
fn what_a_collector_sent_before_it_is_let_go_is_heard_to_the_end() {
    let Testbed { relay, control_plane, .. } = Testbed::start(&["a", "b", "c", "d"]);
    relay.proxy_joins(7);
    relay.next_command("attach");
    let mut most_silent = control_plane.connect_collector();
    let _others: Vec<TcpStream> = (0..7).map(|_| control_plane.connect_collector()).collect();
    let dull = r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#;
    let mut sent = frame(dull).repeat(900);
    for (id, errors) in [("b", 0), ("c", 0), ("d", 0), ("a", 40)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0});
        sent.extend(frame(&report.to_string()));
    }
    let mut ninth = control_plane.connect();
    assert_answers_health_check(&mut ninth);
    control_plane.while_suspended(|| {
        // Read first, as it comes first.
        ninth.write_all(&frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        most_silent.write_all(&sent).unwrap();
    });
    control_plane.wait_for_log("collector connected");
    let line =
        wait_for("a line of a's", || relay.next_call_with("put").into_iter().find(|o| o["endpoint"] == "a"));
    assert!(line["w"].as_f64().unwrap() < 0.5, "{line}");
    let mut rest = Vec::new();
    assert!(most_silent.read_to_end(&mut rest).is_ok_and(|n| n == 0), "closed, not reset");
}

#[test]
fn who_asks_for_a_page_and_says_no_more_still_gets_it() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.while_suspended(|| {
        let mut stream = control_plane.connect();
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        stream
    });
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("\r\n\r\nalive\n"), "{text}");
}

#[test]
fn who_asks_for_a_sign_of_life_and_says_no_more_still_gets_it() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.while_suspended(|| {
        let mut stream = control_plane.connect();
        stream.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        stream
    });
    assert_eq!(read_frame(&mut stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn a_flood_of_strangers_while_a_call_is_out_keeps_no_collector_out_and_no_order_back() {
    let (list, relay) = (FakeEndpointList::start(&["a", "b"]), FakeRelay::start());
    let mut config = config(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let control_plane = ControlPlane::start_with(&config);
    relay.proxy_joins(7);
    relay.next_command("attach");
    drain_during_a_call(&relay, &list);
    let _unidentified: Vec<TcpStream> = (0..300).map(|_| control_plane.connect()).collect();
    let mut collector = control_plane.connect_collector();
    assert_answers_health_check(&mut collector);
    relay.release_answer();
    wait_for_ejection(&relay, "b");
}
