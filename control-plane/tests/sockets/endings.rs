//! What is still owed as something ends: the process, a collector's connection, the address. Each crossing is
//! forced: by a call that the relay holds, or by a process that stands still while all of it comes.

use crate::common::{config, frame, read_frame, server, until, Does, List, Relay, Supervisor};
use crate::{assert_answers_a_probe, serving, started};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

/// `a` drains, and the call that says so is held by the relay; then `b` drains, and the planner has been told.
fn in_a_call(relay: &Relay, list: &List) {
    relay.will(Does::Holds);
    list.changes(&[server("a", "leaving")]);
    assert!(relay.call_with("eject").iter().any(|o| o["endpoint"] == "a"));
    list.heard_all();
    list.changes(&[server("b", "leaving")]);
    // It asks again once it has told the planner.
    list.heard_all();
}

fn what_is_decided_goes_out_before_the_end_by(signal: &str) {
    let (list, relay, mut supervisor) = serving();
    in_a_call(&relay, &list);
    supervisor.signal(signal);
    assert_eq!(supervisor.logged("shutting down")["signal"], format!("SIG{signal}"));
    relay.releases();
    ejects(&relay, "b");
    assert_eq!(supervisor.ends(), Some(0));
}

/// A call that was held for too long comes again first.
fn ejects(relay: &Relay, id: &str) {
    until(id, || relay.call().iter().any(|o| o["op"] == "eject" && o["endpoint"] == id).then_some(()));
}

#[test]
fn a_withdrawal_that_waits_behind_a_call_goes_out_before_the_end_on_sigterm() {
    what_is_decided_goes_out_before_the_end_by("TERM");
}

#[test]
fn a_withdrawal_that_waits_behind_a_call_goes_out_before_the_end_on_sigint() {
    what_is_decided_goes_out_before_the_end_by("INT");
}

#[test]
fn a_call_whose_fate_is_open_is_made_once_more_before_the_end() {
    let (list, relay, mut supervisor) = serving();
    relay.will(Does::IsSilent);
    list.changes(&[server("a", "leaving")]);
    relay.command("eject");
    supervisor.signal("TERM");
    assert_eq!(relay.command("eject")["endpoint"], "a");
    assert_eq!(supervisor.ends(), Some(0));
}

#[test]
fn a_relay_that_stays_silent_does_not_keep_the_process_from_ending() {
    let (list, relay, mut supervisor) = serving();
    (0..50).for_each(|_| relay.will(Does::IsSilent));
    list.changes(&[server("a", "leaving")]);
    relay.command("eject");
    supervisor.signal("TERM");
    assert_eq!(supervisor.ends(), Some(0));
}

#[test]
fn who_asked_before_the_end_is_answered_and_a_silent_one_delays_nothing() {
    let (_list, _relay, mut supervisor) = serving();
    let _silent = supervisor.connect();
    let (mut probe, mut page) = supervisor.stopped(|| {
        let (mut probe, mut page) = (supervisor.connect(), supervisor.connect());
        probe.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
        page.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        supervisor.signal("TERM");
        (probe, page)
    });
    assert_eq!(read_frame(&mut probe).unwrap(), r#"{"msg":"alive"}"#);
    let mut text = String::new();
    page.read_to_string(&mut text).unwrap();
    assert!(text.ends_with("\r\n\r\nalive\n"), "{text}");
    assert_eq!(supervisor.ends(), Some(0));
}

#[test]
fn who_comes_after_the_word_to_end_is_refused_while_a_last_call_is_out() {
    let (list, relay, mut supervisor) = serving();
    in_a_call(&relay, &list);
    supervisor.signal("TERM");
    assert_eq!(supervisor.logged("shutting down")["signal"], "SIGTERM");
    let refused = || TcpStream::connect(supervisor.address).err();
    assert_eq!(until("a closed address", refused).kind(), ErrorKind::ConnectionRefused);
    relay.releases();
    // It was not refused because the process had ended.
    ejects(&relay, "b");
    assert_eq!(supervisor.ends(), Some(0));
}

/// Nothing can be settled then; the start is what makes it good.
#[test]
fn one_killed_in_a_call_starts_again_and_bars_what_its_old_list_still_names() {
    let (list, relay, mut supervisor) = serving();
    relay.will(Does::Holds);
    list.stands(&[server("b", "active")], &[server("a", "leaving")]);
    relay.command("eject");
    supervisor.child.kill().unwrap();
    supervisor.child.wait().unwrap();
    relay.releases();
    let mut old = config(list.address, relay.address);
    old["known"]["hosts"] = json!([server("a", "active"), server("b", "active")]);
    let _again = Supervisor::with(&old);
    let mut lines = Vec::new();
    until("a barred and 7 bound", || {
        lines.extend(relay.call());
        let has = |op, field, to: Value| lines.iter().any(|o| o["op"] == op && o[field] == to);
        (has("eject", "endpoint", "a".into()) && has("attach", "node", 7.into())).then_some(())
    });
    let stands = |id: &str| lines.iter().rfind(|o| o["op"] == "put" && o["endpoint"] == id).map(|o| &o["w"]);
    assert!(stands("a").is_none_or(|w| *w == 0.0), "{lines:?}");
    assert!(stands("b").is_some_and(|w| w.as_f64() > Some(0.0)), "{lines:?}");
}

/// A zone's ninth connection ends the longest silent one, which has just sent what nobody has read yet.
#[test]
fn what_a_collector_sent_before_it_is_let_go_is_heard_to_the_end() {
    let (_list, relay, supervisor) = started(&["a", "b", "c", "d"]);
    relay.joins(7);
    relay.command("attach");
    let mut longest = supervisor.collector();
    let _others: Vec<TcpStream> = (0..7).map(|_| supervisor.collector()).collect();
    let dull = r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#;
    let mut sent = frame(dull).repeat(900);
    for (id, errors) in [("b", 0), ("c", 0), ("d", 0), ("a", 40)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0});
        sent.extend(frame(&report.to_string()));
    }
    let mut ninth = supervisor.connect();
    assert_answers_a_probe(&mut ninth);
    supervisor.stopped(|| {
        // Heard first, as it comes first.
        ninth.write_all(&frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        longest.write_all(&sent).unwrap();
    });
    supervisor.logged("collector connected");
    let line = until("a line of a's", || relay.call_with("put").into_iter().find(|o| o["endpoint"] == "a"));
    assert!(line["w"].as_f64().unwrap() < 0.5, "{line}");
    let mut rest = Vec::new();
    assert!(longest.read_to_end(&mut rest).is_ok_and(|n| n == 0), "closed, not reset");
}

#[test]
fn who_asks_for_a_page_and_says_no_more_still_gets_it() {
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut stream = supervisor.stopped(|| {
        let mut stream = supervisor.connect();
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
    let (_list, _relay, supervisor) = started(&["a"]);
    let mut stream = supervisor.stopped(|| {
        let mut stream = supervisor.connect();
        stream.write_all(&frame(r#"{"msg":"probe"}"#)).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        stream
    });
    assert_eq!(read_frame(&mut stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn a_flood_of_strangers_while_a_call_is_out_keeps_no_collector_out_and_no_order_back() {
    let (list, relay) = (List::start(&["a", "b"]), Relay::start());
    let mut config = config(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let supervisor = Supervisor::with(&config);
    relay.joins(7);
    relay.command("attach");
    in_a_call(&relay, &list);
    let _strangers: Vec<TcpStream> = (0..300).map(|_| supervisor.connect()).collect();
    let mut collector = supervisor.collector();
    assert_answers_a_probe(&mut collector);
    relay.releases();
    ejects(&relay, "b");
}
