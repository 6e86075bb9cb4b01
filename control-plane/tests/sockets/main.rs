//! The built program on loopback sockets, one thing that happens a test.

mod common;
mod endings;
mod list;
mod relay;

use common::{config, frame, program, read_frame, server, until, Does, File, List, Relay, Supervisor};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;

fn started(ids: &[&str]) -> (List, Relay, Supervisor) {
    let (list, relay) = (List::start(ids), Relay::start());
    let supervisor = Supervisor::start(&list, &relay);
    // Who joins before any server is known gets one of the tables for a fleet of any size.
    let listed = format!(r#""servers":{},"#, ids.len());
    until("the list", || supervisor.page("/state").contains(&listed).then_some(()));
    (list, relay, supervisor)
}

/// A supervisor whose proxy 7 is bound to a table of `a` and `b`.
fn serving() -> (List, Relay, Supervisor) {
    let (list, relay, supervisor) = started(&["a", "b"]);
    relay.joins(7);
    relay.command("attach");
    (list, relay, supervisor)
}

#[test]
fn a_proxy_that_joins_is_bound_to_a_table_that_is_laid() {
    let (_list, relay, _supervisor) = started(&["a", "b"]);
    relay.joins(7);
    let lines = relay.call_with("put");
    let ids: Vec<&Value> = lines.iter().filter(|o| o["op"] == "put").map(|o| &o["endpoint"]).collect();
    assert_eq!(ids, ["a", "b"]);
    let tbl = lines[0]["table"].clone();
    assert_eq!(relay.command("attach"), json!({"op": "attach", "node": 7, "table": tbl}));
}

#[test]
fn a_draining_server_is_taken_out_and_shut_out() {
    let (list, relay, _supervisor) = serving();
    list.changes(&[server("a", "leaving")]);
    let call = relay.call_with("eject");
    assert!(call.iter().any(|o| o["op"] == "put" && o["endpoint"] == "a" && o["w"] == 0.0), "{call:?}");
    assert!(call.iter().any(|o| o["op"] == "eject" && o["endpoint"] == "a"), "{call:?}");
}

/// Drains `a` while the relay does this, and checks that the very same commands come again.
fn comes_again_when_the_relay(does: Does) {
    let (list, relay, supervisor) = serving();
    relay.will(does);
    list.changes(&[server("a", "leaving")]);
    let lost = relay.call_with("eject");
    let mut again = relay.call();
    // What may have been carried out asks to be told when it comes.
    again.retain(|command| command["op"] != "fence");
    assert_eq!(again, lost);
    supervisor.logged("command delivery failed");
    supervisor.logged("command delivery recovered");
}

#[test]
fn commands_come_again_when_the_relay_breaks_the_call() {
    comes_again_when_the_relay(Does::Breaks);
}

#[test]
fn commands_come_again_when_the_relay_is_silent() {
    comes_again_when_the_relay(Does::IsSilent);
}

#[test]
fn commands_come_again_when_the_answer_is_unreadable() {
    comes_again_when_the_relay(Does::Mumbles);
}

#[test]
fn commands_come_again_when_the_relay_throttles() {
    comes_again_when_the_relay(Does::Throttles);
}

#[test]
fn when_the_relay_cannot_use_a_call_all_is_planned_and_bound_anew() {
    let (list, relay, supervisor) = serving();
    // Said once it may be an answer that was spoilt.
    relay.will(Does::CannotUseIt);
    relay.will(Does::CannotUseIt);
    list.changes(&[server("a", "leaving")]);
    (0..2).for_each(|_| _ = relay.call_with("eject"));
    supervisor.logged("controller restarted");
    assert_eq!(relay.command("put")["endpoint"], "b");
    assert_eq!(relay.command("attach")["node"], 7);
}

#[test]
fn commands_come_again_when_the_relay_cannot_use_the_call_once() {
    comes_again_when_the_relay(Does::CannotUseIt);
}

#[test]
fn after_a_long_silence_of_the_relay_what_was_held_goes_and_joins_are_bound() {
    let (list, relay, supervisor) = serving();
    (0..5).for_each(|_| relay.will(Does::IsSilent));
    list.changes(&[server("a", "leaving")]);
    relay.call_with("eject");
    // Comes while commands are lost, and waits behind them.
    list.changes(&[server("c", "active")]);
    supervisor.logged("command delivery recovered");
    assert_eq!(relay.call_with("put").last().unwrap()["op"], "fence");
    relay.joins(8);
    assert_eq!(relay.command("attach")["node"], 8);
}

#[test]
fn a_connection_that_the_relay_has_closed_costs_no_commands() {
    let (list, relay, _supervisor) = serving();
    relay.will(Does::TakesAndCloses);
    list.changes(&[server("a", "leaving")]);
    relay.command("eject");
    list.changes(&[server("c", "active")]);
    assert_eq!(relay.command("put")["endpoint"], "c");
}

#[test]
fn an_answer_in_pieces_is_an_answer() {
    let (list, relay, _supervisor) = serving();
    relay.will(Does::TakesInPieces);
    list.changes(&[server("a", "leaving")]);
    let taken = relay.call_with("eject");
    list.changes(&[server("b", "leaving"), server("c", "active")]);
    assert_ne!(relay.call(), taken);
}

#[test]
fn after_an_order_that_cannot_be_used_the_rest_goes_and_the_bind_is_made_again() {
    let (_list, relay, supervisor) = serving();
    relay.will(Does::TakesOnly(0));
    relay.joins(8);
    relay.joins(9);
    let call = relay.call_with("attach");
    let declined = call[0].clone();
    assert_eq!(supervisor.logged("command declined by the relay")["command"], declined.to_string());
    if call.len() > 1 {
        assert_eq!(relay.call(), call[1..]);
    }
    until("the bind again", || relay.call_with("attach").contains(&declined).then_some(()));
}

#[test]
fn who_is_missing_when_the_event_stream_is_reopened_has_left() {
    let (_list, relay, supervisor) = serving();
    relay.joins(8);
    relay.command("attach");
    relay.forgets_all_but_the_last();
    supervisor.logged("proxy stream lost");
    // Whoever is still there may have gone and come meanwhile: it is bound anew.
    assert_eq!(relay.command("attach")["node"], 8);
    until("one proxy left", || supervisor.page("/state").contains(r#""proxies":1,"#).then_some(()));
}

/// A silence that passes costs no bind, and nobody who joined at its end is missed.
#[test]
fn an_event_stream_that_is_silent_is_kept_until_another_speaks() {
    let (_list, relay, supervisor) = serving();
    relay.is_out_of_reach();
    supervisor.logged("proxy stream silent");
    supervisor.logged("proxy stream connect failed");
    relay.joins(8);
    supervisor.logged("proxy stream recovered");
    assert_eq!(relay.command("attach")["node"], 8);
    until("both proxies", || supervisor.page("/state").contains(r#""proxies":2,"#).then_some(()));
}

fn assert_answers_a_probe(stream: &mut TcpStream) {
    stream.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
    assert_eq!(read_frame(stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn a_probe_in_pieces_and_two_at_once_are_answered() {
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut stream = supervisor.connect();
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

fn assert_ended(stream: &mut TcpStream, what: &str) {
    // An `error` may come before the close; a close with unread bytes is a reset.
    let mut rest = Vec::new();
    let end = stream.read_to_end(&mut rest);
    let timed_out = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out && rest.len() < 512, "still open: {what}");
}

#[test]
fn whoever_does_not_join_is_ended_whatever_it_sends_and_nobody_else_is() {
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut good = supervisor.collector();
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
        let mut bad = supervisor.connect();
        bad.write_all(sent).unwrap();
        assert_ended(&mut bad, &String::from_utf8_lossy(sent));
    }
    assert_answers_a_probe(&mut good);
}

#[test]
fn asking_for_a_sign_of_life_keeps_no_connection_open() {
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut stream = supervisor.connect();
    until("the end of who only asks", || {
        let asked = stream.write_all(&frame(r#"{"msg":"probe"}"#));
        asked.and_then(|()| read_frame(&mut stream)).err()
    });
}

#[test]
fn hundreds_who_say_nothing_keep_no_collector_out() {
    let (list, relay) = (List::start(&["a"]), Relay::start());
    let mut config = config(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let supervisor = Supervisor::with(&config);
    let mut first = supervisor.collector();
    let _strangers: Vec<TcpStream> = (0..300).map(|_| supervisor.connect()).collect();
    let mut collector = supervisor.collector();
    assert_answers_a_probe(&mut collector);
    assert_answers_a_probe(&mut first);
}

#[test]
fn a_zone_whose_collector_comes_again_and_again_keeps_the_newest_connections() {
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut silent = supervisor.collector();
    let mut newest: Vec<TcpStream> = (0..8).map(|_| supervisor.collector()).collect();
    assert_ended(&mut silent, "the one that was silent for longest");
    newest.iter_mut().for_each(assert_answers_a_probe);
}

#[test]
fn a_collector_that_goes_on_with_what_cannot_be_read_is_ended() {
    let (_list, _relay, supervisor) = started(&["a"]);
    for odd in [frame("{\"msg\":"), vec![255; 64], frame(&"x".repeat(70_000))] {
        let mut bad = supervisor.collector();
        let _ = bad.write_all(&odd);
        assert_ended(&mut bad, "unreadable");
    }
}

#[test]
fn a_peer_that_goes_half_way_through_a_frame_disturbs_nothing_else() {
    let (_list, _relay, supervisor) = started(&["a"]);
    supervisor.connect().write_all(&frame(r#"{"msg":"probe"}"#)[..9]).unwrap();
    supervisor.logged("connection failed");
    let mut good = supervisor.connect();
    assert_answers_a_probe(&mut good);
}

/// The config replaced by one that names another list and another relay.
fn moved(supervisor: &Supervisor, ids: &[&str], proxy: u32) -> (List, Relay) {
    let (list, relay) = (List::start(ids), Relay::start());
    relay.joins(proxy);
    supervisor.reads_again(&config(list.address, relay.address).to_string());
    supervisor.logged("config reloaded");
    (list, relay)
}

#[test]
fn a_new_config_moves_list_commands_and_event_stream_and_a_second_file_does_so_again() {
    let (_list, _relay, supervisor) = serving();
    let mut collector = supervisor.collector();
    for n in [8, 9] {
        let (list, relay) = moved(&supervisor, &["a", "b"], n);
        // Who stands there is bound there, and who is named no more has left.
        until("its bind", || (relay.command("attach")["node"] == n).then_some(()));
        until("one proxy", || supervisor.page("/state").contains(r#""proxies":1,"#).then_some(()));
        list.called(2);
        list.changes(&[server("a", "leaving")]);
        assert_eq!(relay.command("eject")["endpoint"], "a");
        list.changes(&[server("a", "active")]);
        assert_eq!(relay.command("uneject")["endpoint"], "a");
    }
    assert_answers_a_probe(&mut collector);
}

#[test]
fn commands_lost_at_the_old_relay_go_to_the_new_one_before_any_other() {
    let (list, relay, supervisor) = serving();
    (0..500).for_each(|_| relay.will(Does::Throttles));
    list.changes(&[server("a", "leaving")]);
    let lost = relay.call_with("eject");
    let (_list, relay) = moved(&supervisor, &["b"], 7);
    assert_eq!(relay.call(), lost);
}

#[test]
fn a_faulty_config_changes_nothing_and_every_fault_is_logged() {
    let (list, relay, supervisor) = serving();
    supervisor.reads_again("{\"name\":");
    supervisor.logged("config rejected, keeping the current one");
    let mut other = config(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into());
    other["settings"]["zones"] = json!(["elsewhere"]);
    other["name"] = "n2".into();
    supervisor.reads_again(&other.to_string());
    for field in ["'name'", "'settings'"] {
        let why = supervisor.logged("config rejected, keeping the current one")["why"].to_string();
        assert!(why.contains(field), "{why}");
    }
    let counted = || supervisor.page("/state").contains(r#""config_refused":2"#).then_some(());
    until("both counted", counted);
    list.changes(&[server("a", "leaving")]);
    assert_eq!(relay.command("eject")["endpoint"], "a");
}

#[test]
fn a_start_after_the_list_has_moved_goes_by_the_config() {
    let file = File::with(&sound_config().to_string());
    let check = program().arg("check").arg(&file.0).env("GW_DISCOVERY", "127.0.0.1:3").status().unwrap();
    assert!(check.success());
}

#[test]
fn reports_of_voided_tries_take_weight_from_a_server() {
    let (_list, relay, supervisor) = started(&["a", "b", "c", "d"]);
    relay.joins(7);
    relay.command("attach");
    let mut stream = supervisor.collector();
    for (id, errors) in [("a", 40), ("b", 0), ("c", 0), ("d", 0)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0, "metrics": {"util": 0.5}});
        stream.write_all(&frame(&report.to_string())).unwrap();
    }
    let line = relay.command("put");
    assert_eq!(line["endpoint"], "a");
    assert!(line["w"].as_f64().unwrap() < 0.5, "{line}");
}

#[test]
fn a_list_that_goes_silent_is_asked_again() {
    let (list, relay, supervisor) = serving();
    list.silent(true);
    supervisor.logged("endpoint watch failed");
    list.silent(false);
    list.changes(&[server("a", "leaving")]);
    assert_eq!(relay.command("eject")["endpoint"], "a");
}

#[test]
fn the_list_is_watched_call_after_call() {
    let (list, _relay, _supervisor) = started(&["a"]);
    list.called(3);
}

#[test]
fn http_at_the_same_address_gets_the_page() {
    let (_list, _relay, supervisor) = started(&["a"]);
    assert!(supervisor.page("/healthz").ends_with("\r\n\r\nalive\n"));
    assert!(supervisor.page("/other").starts_with("HTTP/1.1 404"));
}

#[test]
fn sigterm_ends_the_program_with_code_0() {
    let (_list, _relay, mut supervisor) = serving();
    supervisor.signal("TERM");
    assert_eq!(supervisor.ends(), Some(0));
}

fn check(text: &str) -> (Option<i32>, String) {
    let file = File::with(text);
    let out = program().arg("check").arg(&file.0).output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

fn sound_config() -> Value {
    config(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into())
}

#[test]
fn a_sound_config_passes_the_check() {
    assert_eq!(check(&sound_config().to_string()), (Some(0), String::new()));
}

#[test]
fn every_fault_in_the_config_is_named() {
    let mut config = sound_config();
    config["relay"] = json!({});
    config["seed"] = "xyz".into();
    config["settings"]["classes"] = json!([]);
    let (code, said) = check(&config.to_string());
    assert_eq!((code, said.lines().count()), (Some(2), 3), "{said}");
    ["'address'", "'seed'", "'settings.classes'"].iter().for_each(|f| assert!(said.contains(f), "{said}"));
}

#[test]
fn more_classes_than_commands_can_name_are_refused() {
    let mut config = sound_config();
    let class = |n| json!({"name": format!("c{n}"), "promiseUs": 1_000_000, "importance": 1.0});
    config["settings"]["classes"] = (0..64).map(class).collect();
    assert_eq!(check(&config.to_string()).0, Some(0));
    config["settings"]["classes"] = (0..65).map(class).collect();
    let said = "otterwinch: config: field 'settings.classes' holds more than 64\n";
    assert_eq!(check(&config.to_string()), (Some(2), said.into()));
}

#[test]
fn a_missing_field_is_named_once() {
    let mut config = sound_config();
    config.as_object_mut().unwrap().remove("known");
    assert_eq!(check(&config.to_string()).1, "otterwinch: config: field 'known' is missing\n");
}

#[test]
fn a_config_that_contradicts_the_environment_is_refused() {
    let file = File::with(&sound_config().to_string());
    let out = program().arg("serve").env("GW_CONFIG", &file.0).env("GW_NAME", "n9").output().unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), said.contains("'name' is 'n1' but GW_NAME says 'n9'")), (Some(2), true));
}

#[test]
fn a_missing_or_unreadable_config_is_one_plain_line() {
    let out = program().arg("serve").output().unwrap();
    assert_eq!((out.status.code(), out.stderr), (Some(2), b"otterwinch: GW_CONFIG names no file\n".to_vec()));
    assert_eq!(check("{\"name\":").1.lines().count(), 1);
}
