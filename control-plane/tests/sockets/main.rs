//! The built program on loopback sockets, one thing that happens a test.

mod endings;
mod list;
mod relay;
mod support;

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use support::{
    config, endpoint_entry, frame, program, read_frame, wait_for, ConfigFile, ControlPlane, FakeEndpointList,
    FakeRelay, RelayBehavior, Testbed,
};

#[test]
fn a_proxy_that_joins_is_bound_to_a_table_that_is_laid() {
    let Testbed { relay, control_plane: _control_plane, .. } = Testbed::start(&["a", "b"]);
    relay.proxy_joins(7);
    let lines = relay.next_call_with("put");
    let ids: Vec<&Value> = lines.iter().filter(|o| o["op"] == "put").map(|o| &o["endpoint"]).collect();
    assert_eq!(ids, ["a", "b"]);
    let tbl = lines[0]["table"].clone();
    assert_eq!(relay.next_command("attach"), json!({"op": "attach", "node": 7, "table": tbl}));
}

#[test]
fn a_draining_server_is_taken_out_and_shut_out() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let call = relay.next_call_with("eject");
    assert!(call.iter().any(|o| o["op"] == "put" && o["endpoint"] == "a" && o["w"] == 0.0), "{call:?}");
    assert!(call.iter().any(|o| o["op"] == "eject" && o["endpoint"] == "a"), "{call:?}");
}

/// Drains `a` while the relay behaves like this, and checks that the very same commands are sent again.
fn assert_commands_are_resent_after(behavior: RelayBehavior) {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.plan(behavior);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let lost = relay.next_call_with("eject");
    let mut resent = relay.next_call();
    // Commands that may have been carried out are followed by a request for an acknowledgement.
    resent.retain(|command| command["op"] != "fence");
    assert_eq!(resent, lost);
    control_plane.wait_for_log("command delivery failed");
    control_plane.wait_for_log("command delivery recovered");
}

#[test]
fn commands_come_again_when_the_relay_breaks_the_call() {
    assert_commands_are_resent_after(RelayBehavior::ClosesConnection);
}

#[test]
fn commands_come_again_when_the_relay_is_silent() {
    assert_commands_are_resent_after(RelayBehavior::DoesNotAnswer);
}

#[test]
fn commands_come_again_when_the_answer_is_unreadable() {
    assert_commands_are_resent_after(RelayBehavior::AnswersInvalidJson);
}

#[test]
fn commands_come_again_when_the_relay_throttles() {
    assert_commands_are_resent_after(RelayBehavior::Throttles);
}

#[test]
fn when_the_relay_cannot_use_a_call_all_is_planned_and_bound_anew() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    // A single one may be a corrupted answer.
    relay.plan_times(2, RelayBehavior::RejectsAsInvalid);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    for _ in 0..2 {
        relay.next_call_with("eject");
    }
    control_plane.wait_for_log("controller restarted");
    assert_eq!(relay.next_command("put")["endpoint"], "b");
    assert_eq!(relay.next_command("attach")["node"], 7);
}

#[test]
fn commands_come_again_when_the_relay_cannot_use_the_call_once() {
    assert_commands_are_resent_after(RelayBehavior::RejectsAsInvalid);
}

#[test]
fn after_a_long_silence_of_the_relay_what_was_held_goes_and_joins_are_bound() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.plan_times(5, RelayBehavior::DoesNotAnswer);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_call_with("eject");
    // This change comes while commands are unacknowledged, and waits behind them.
    list.publish_changes(&[endpoint_entry("c", "active")]);
    control_plane.wait_for_log("command delivery recovered");
    assert_eq!(relay.next_call_with("put").last().unwrap()["op"], "fence");
    relay.proxy_joins(8);
    assert_eq!(relay.next_command("attach")["node"], 8);
}

#[test]
fn a_connection_that_the_relay_has_closed_costs_no_commands() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::AcceptsAndCloses);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    relay.next_command("eject");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    assert_eq!(relay.next_command("put")["endpoint"], "c");
}

#[test]
fn an_answer_in_pieces_is_an_answer() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::AnswersInPieces);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let taken = relay.next_call_with("eject");
    list.publish_changes(&[endpoint_entry("b", "leaving"), endpoint_entry("c", "active")]);
    assert_ne!(relay.next_call(), taken);
}

#[test]
fn after_an_order_that_cannot_be_used_the_rest_goes_and_the_bind_is_made_again() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::AcceptsOnly(0));
    relay.proxy_joins(8);
    relay.proxy_joins(9);
    let call = relay.next_call_with("attach");
    let declined = call[0].clone();
    assert_eq!(control_plane.wait_for_log("command declined by the relay")["command"], declined.to_string());
    if call.len() > 1 {
        assert_eq!(relay.next_call(), call[1..]);
    }
    wait_for("the bind again", || relay.next_call_with("attach").contains(&declined).then_some(()));
}

#[test]
fn who_is_missing_when_the_event_stream_is_reopened_has_left() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.proxy_joins(8);
    relay.next_command("attach");
    relay.reopens_stream_with_last_proxy();
    control_plane.wait_for_log("proxy stream lost");
    // The proxy that is named may have left and joined again meanwhile, so its table is assigned again.
    assert_eq!(relay.next_command("attach")["node"], 8);
    control_plane.wait_for_status(r#""proxies":1,"#);
}

/// A silence that passes costs no assignment, and no proxy that joined during it is missed.
#[test]
fn an_event_stream_that_is_silent_is_kept_until_another_speaks() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.becomes_unreachable();
    control_plane.wait_for_log("proxy stream silent");
    control_plane.wait_for_log("proxy stream connect failed");
    relay.proxy_joins(8);
    control_plane.wait_for_log("proxy stream recovered");
    assert_eq!(relay.next_command("attach")["node"], 8);
    control_plane.wait_for_status(r#""proxies":2,"#);
}

fn assert_answers_health_check(stream: &mut TcpStream) {
    stream.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
    assert_eq!(read_frame(stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn a_probe_in_pieces_and_two_at_once_are_answered() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.connect();
    let probe = frame(r#"{"msg":"probe"}"#);
    for byte in &probe[..7] {
        stream.write_all(&[*byte]).unwrap();
        stream.flush().unwrap();
    }
    stream.write_all(&[&probe[7..], &probe].concat()).unwrap();
    for _ in 0..2 {
        assert_eq!(read_frame(&mut stream).unwrap(), r#"{"msg":"alive"}"#);
    }
}

fn assert_closed(stream: &mut TcpStream, what: &str) {
    // An `error` may come before the close, and a close with unread bytes is a reset.
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    let timed_out = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out && rest.len() < 512, "still open: {what}");
}

#[test]
fn whoever_does_not_join_is_ended_whatever_it_sends_and_nobody_else_is() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut good = control_plane.connect_collector();
    let report = r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#;
    for sent in [
        &[] as &[u8],
        &frame(r#"{"msg":"agent","locality":"north"}"#)[..9],
        &frame(r#"{"msg":"agent","locality":"nowhere"}"#),
        &frame(r#"{"msg":"hello","node":1,"locality":"north","w":1.0,"cold":true}"#),
        &frame(r#"{"msg":"put","table":1,"endpoint":"a","w":1.0}"#),
        &frame(report),
        &frame("{\"msg\":"),
        &frame("[]"),
        &[0, 16, 0, 1],
        &[0, 15, 255, 255, b'{'],
        &[255; 64],
        b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST /v3/kv/batches HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n{",
    ] {
        let mut bad = control_plane.connect();
        bad.write_all(sent).unwrap();
        assert_closed(&mut bad, &String::from_utf8_lossy(sent));
    }
    assert_answers_health_check(&mut good);
}

#[test]
fn asking_for_a_sign_of_life_keeps_no_connection_open() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.connect();
    wait_for("the end of who only asks", || {
        let asked = stream.write_all(&frame(r#"{"msg":"probe"}"#));
        asked.and_then(|()| read_frame(&mut stream)).err()
    });
}

#[test]
fn hundreds_who_say_nothing_keep_no_collector_out() {
    let (list, relay) = (FakeEndpointList::start(&["a"]), FakeRelay::start());
    let mut config = config(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let control_plane = ControlPlane::start_with(&config);
    let mut first = control_plane.connect_collector();
    let _unidentified: Vec<TcpStream> = (0..300).map(|_| control_plane.connect()).collect();
    let mut collector = control_plane.connect_collector();
    assert_answers_health_check(&mut collector);
    assert_answers_health_check(&mut first);
}

#[test]
fn a_zone_whose_collector_comes_again_and_again_keeps_the_newest_connections() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut most_silent = control_plane.connect_collector();
    let mut newest: Vec<TcpStream> = (0..8).map(|_| control_plane.connect_collector()).collect();
    assert_closed(&mut most_silent, "the connection that was silent for longest");
    newest.iter_mut().for_each(assert_answers_health_check);
}

#[test]
fn a_collector_that_goes_on_with_what_cannot_be_read_is_ended() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    for unreadable in [frame("{\"msg\":"), vec![255; 64], frame(&"x".repeat(70_000))] {
        let mut bad = control_plane.connect_collector();
        let _ = bad.write_all(&unreadable);
        assert_closed(&mut bad, "unreadable");
    }
}

#[test]
fn a_peer_that_goes_half_way_through_a_frame_disturbs_nothing_else() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    control_plane.connect().write_all(&frame(r#"{"msg":"probe"}"#)[..9]).unwrap();
    control_plane.wait_for_log("connection failed");
    let mut good = control_plane.connect();
    assert_answers_health_check(&mut good);
}

/// Reloads a configuration that names another list and another relay.
fn move_peers(control_plane: &ControlPlane, endpoints: &[&str], proxy: u32) -> (FakeEndpointList, FakeRelay) {
    let (list, relay) = (FakeEndpointList::start(endpoints), FakeRelay::start());
    relay.proxy_joins(proxy);
    control_plane.reload_config(&config(list.address, relay.address).to_string());
    control_plane.wait_for_log("config reloaded");
    (list, relay)
}

#[test]
fn a_new_config_moves_list_commands_and_event_stream_and_a_second_file_does_so_again() {
    let Testbed { control_plane, .. } = Testbed::start_with_proxy();
    let mut collector = control_plane.connect_collector();
    for n in [8, 9] {
        let (list, relay) = move_peers(&control_plane, &["a", "b"], n);
        // A proxy that the new relay names gets its table there; one that it does not name has left.
        wait_for("its bind", || (relay.next_command("attach")["node"] == n).then_some(()));
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
fn commands_lost_at_the_old_relay_go_to_the_new_one_before_any_other() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.plan_times(500, RelayBehavior::Throttles);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let lost = relay.next_call_with("eject");
    let (_list, relay) = move_peers(&control_plane, &["b"], 7);
    assert_eq!(relay.next_call(), lost);
}

#[test]
fn a_faulty_config_changes_nothing_and_every_fault_is_logged() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    control_plane.reload_config("{\"name\":");
    control_plane.wait_for_log("config rejected, keeping the current one");
    let mut other = config(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
    other["settings"]["zones"] = json!(["elsewhere"]);
    other["name"] = "n2".into();
    control_plane.reload_config(&other.to_string());
    for field in ["'name'", "'settings'"] {
        let why = control_plane.wait_for_log("config rejected, keeping the current one")["why"].to_string();
        assert!(why.contains(field), "{why}");
    }
    control_plane.wait_for_status(r#""config_refused":2"#);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
}

#[test]
fn a_start_after_the_list_has_moved_goes_by_the_config() {
    let file = ConfigFile::with(&valid_config().to_string());
    let check = program().arg("check").arg(&file.path).env("GW_DISCOVERY", "127.0.0.1:3").status().unwrap();
    assert!(check.success());
}

#[test]
fn reports_of_voided_tries_take_weight_from_a_server() {
    let Testbed { relay, control_plane, .. } = Testbed::start(&["a", "b", "c", "d"]);
    relay.proxy_joins(7);
    relay.next_command("attach");
    let mut stream = control_plane.connect_collector();
    for (id, errors) in [("a", 40), ("b", 0), ("c", 0), ("d", 0)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0, "metrics": {"util": 0.5}});
        stream.write_all(&frame(&report.to_string())).unwrap();
    }
    let line = relay.next_command("put");
    assert_eq!(line["endpoint"], "a");
    assert!(line["w"].as_f64().unwrap() < 0.5, "{line}");
}

#[test]
fn a_list_that_goes_silent_is_asked_again() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    list.set_silent(true);
    control_plane.wait_for_log("endpoint watch failed");
    list.set_silent(false);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    assert_eq!(relay.next_command("eject")["endpoint"], "a");
}

#[test]
fn the_list_is_watched_call_after_call() {
    let Testbed { list, control_plane: _control_plane, .. } = Testbed::start(&["a"]);
    list.wait_for_requests(3);
}

#[test]
fn http_at_the_same_address_gets_the_page() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    assert!(control_plane.http_get("/healthz").ends_with("\r\n\r\nalive\n"));
    assert!(control_plane.http_get("/other").starts_with("HTTP/1.1 404"));
}

#[test]
fn sigterm_ends_the_program_with_code_0() {
    let Testbed { mut control_plane, .. } = Testbed::start_with_proxy();
    control_plane.signal("TERM");
    assert_eq!(control_plane.wait_for_exit(), Some(0));
}

/// Exit code and standard error of `check` on this file.
fn check(text: &str) -> (Option<i32>, String) {
    let file = ConfigFile::with(text);
    let out = program().arg("check").arg(&file.path).output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

fn valid_config() -> Value {
    config(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into())
}

#[test]
fn a_valid_config_passes_the_check() {
    assert_eq!(check(&valid_config().to_string()), (Some(0), String::new()));
}

#[test]
fn every_fault_in_the_config_is_named() {
    let mut config = valid_config();
    config["relay"] = json!({});
    config["seed"] = "xyz".into();
    config["settings"]["classes"] = json!([]);
    let (code, said) = check(&config.to_string());
    assert_eq!((code, said.lines().count()), (Some(2), 3), "{said}");
    ["'address'", "'seed'", "'settings.classes'"].iter().for_each(|f| assert!(said.contains(f), "{said}"));
}

#[test]
fn more_classes_than_commands_can_name_are_refused() {
    let mut config = valid_config();
    let class = |n| json!({"name": format!("c{n}"), "promiseUs": 1_000_000, "importance": 1.0});
    config["settings"]["classes"] = (0..64).map(class).collect();
    assert_eq!(check(&config.to_string()).0, Some(0));
    config["settings"]["classes"] = (0..65).map(class).collect();
    let said = "otterwinch: config: field 'settings.classes' holds more than 64\n";
    assert_eq!(check(&config.to_string()), (Some(2), said.into()));
}

#[test]
fn a_missing_field_is_named_once() {
    let mut config = valid_config();
    config.as_object_mut().unwrap().remove("known");
    assert_eq!(check(&config.to_string()).1, "otterwinch: config: field 'known' is missing\n");
}

#[test]
fn a_config_that_contradicts_the_environment_is_refused() {
    let file = ConfigFile::with(&valid_config().to_string());
    let out = program().arg("serve").env("GW_CONFIG", &file.path).env("GW_NAME", "n9").output().unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), said.contains("'name' is 'n1' but GW_NAME says 'n9'")), (Some(2), true));
}

#[test]
fn a_missing_or_unreadable_config_is_one_plain_line() {
    let out = program().arg("serve").output().unwrap();
    assert_eq!((out.status.code(), out.stderr), (Some(2), b"otterwinch: GW_CONFIG names no file\n".to_vec()));
    assert_eq!(check("{\"name\":").1.lines().count(), 1);
}
