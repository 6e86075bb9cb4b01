//! Connections to the listener: collectors, health checks, HTTP clients of the status pages, and unidentified
//! peers.

use crate::shutdown::{drain_during_a_call, wait_for_ejection};
use crate::support::{
    config_with_peers, encode_frame, read_frame, wait_for, ControlPlane, FakeEndpointList, FakeRelay,
    Testbed, TIMEOUT,
};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::Duration;

pub fn assert_answers_health_check(stream: &mut TcpStream) {
    stream.write_all(&encode_frame(r#"{"msg":"probe"}"#)).unwrap();
    assert_eq!(read_frame(stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn fragmented_and_pipelined_health_checks_are_answered() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.connect();
    let probe = encode_frame(r#"{"msg":"probe"}"#);
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
    // An error frame may precede the close, and a close with unread bytes resets the connection.
    let mut rest = Vec::new();
    let result = stream.read_to_end(&mut rest);
    let timed_out = result.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    assert!(!timed_out && rest.len() < 512, "connection not closed: {what}");
}

#[test]
fn only_peers_that_do_not_identify_themselves_are_disconnected_whatever_they_send() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut identified = control_plane.connect_collector();
    let report = r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#;
    for sent in [
        &[] as &[u8],
        &encode_frame(r#"{"msg":"agent","locality":"north"}"#)[..9],
        &encode_frame(r#"{"msg":"agent","locality":"nowhere"}"#),
        &encode_frame(r#"{"msg":"hello","node":1,"locality":"north","w":1.0,"cold":true}"#),
        &encode_frame(r#"{"msg":"put","table":1,"endpoint":"a","w":1.0}"#),
        &encode_frame(report),
        &encode_frame("{\"msg\":"),
        &encode_frame("[]"),
        &[0, 16, 0, 1],
        &[0, 15, 255, 255, b'{'],
        &[255; 64],
        b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST /v3/kv/batches HTTP/1.1\r\nhost: x\r\ncontent-length: 99999\r\n\r\n{",
    ] {
        let mut unidentified = control_plane.connect();
        unidentified.write_all(sent).unwrap();
        assert_closed(&mut unidentified, &String::from_utf8_lossy(sent));
    }
    assert_answers_health_check(&mut identified);
}

#[test]
fn health_checks_do_not_keep_a_connection_open() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.connect();
    wait_for("the connection to close", || {
        let sent = stream.write_all(&encode_frame(r#"{"msg":"probe"}"#));
        sent.and_then(|()| read_frame(&mut stream)).err()
    });
}

#[test]
fn hundreds_of_silent_connections_do_not_keep_collectors_out() {
    let (list, relay) = (FakeEndpointList::start(&["a"]), FakeRelay::start());
    let mut config = config_with_peers(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let control_plane = ControlPlane::start_with(&config);
    let mut first = control_plane.connect_collector();
    let _unidentified: Vec<TcpStream> = (0..300).map(|_| control_plane.connect()).collect();
    let mut collector = control_plane.connect_collector();
    assert_answers_health_check(&mut collector);
    assert_answers_health_check(&mut first);
}

#[test]
fn a_zone_whose_collector_reconnects_repeatedly_keeps_the_newest_connections() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut longest_silent = control_plane.connect_collector();
    let mut newest: Vec<TcpStream> = (0..8).map(|_| control_plane.connect_collector()).collect();
    assert_closed(&mut longest_silent, "the collector that has been silent for the longest time");
    newest.iter_mut().for_each(assert_answers_health_check);
}

#[test]
fn a_collector_that_sends_unreadable_frames_is_disconnected() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    for unreadable in [encode_frame("{\"msg\":"), vec![255; 64], encode_frame(&"x".repeat(70_000))] {
        let mut collector = control_plane.connect_collector();
        let _ = collector.write_all(&unreadable);
        assert_closed(&mut collector, "collector that sent an unreadable frame");
    }
}

#[test]
fn a_peer_that_disconnects_within_a_frame_does_not_affect_others() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    control_plane.connect().write_all(&encode_frame(r#"{"msg":"probe"}"#)[..9]).unwrap();
    control_plane.wait_for_log("connection failed");
    let mut other = control_plane.connect();
    assert_answers_health_check(&mut other);
}

#[test]
fn reports_of_failed_attempts_reduce_an_endpoints_weight() {
    let Testbed { relay, control_plane, .. } = Testbed::start(&["a", "b", "c", "d"]);
    relay.join_proxy(7);
    relay.next_command("attach");
    let mut stream = control_plane.connect_collector();
    for (id, errors) in [("a", 40), ("b", 0), ("c", 0), ("d", 0)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0, "metrics": {"util": 0.5}});
        stream.write_all(&encode_frame(&report.to_string())).unwrap();
    }
    let command = relay.next_command("put");
    assert_eq!(command["endpoint"], "a");
    assert!(command["w"].as_f64().unwrap() < 0.5, "{command}");
}

#[test]
fn http_requests_to_the_same_address_get_the_status_pages() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    assert!(control_plane.http_get("/healthz").ends_with("\r\n\r\nalive\n"));
    assert!(control_plane.http_get("/other").starts_with("HTTP/1.1 404"));
}

/// A ninth collector of a zone closes the connection that has been silent for the longest time. Here that
/// connection has sent reports that have not been read yet.
#[test]
fn reports_sent_before_a_collector_is_disconnected_are_read_to_the_end() {
    let Testbed { relay, control_plane, .. } = Testbed::start(&["a", "b", "c", "d"]);
    relay.join_proxy(7);
    relay.next_command("attach");
    let mut longest_silent = control_plane.connect_collector();
    let _others: Vec<TcpStream> = (0..7).map(|_| control_plane.connect_collector()).collect();
    let demand_report = r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#;
    let mut sent = encode_frame(demand_report).repeat(900);
    for (id, errors) in [("b", 0), ("c", 0), ("d", 0), ("a", 40)] {
        let report = json!({"msg": "outcomes", "locality": "north", "endpoint": id, "total": 40,
            "errors": errors, "rtt": 41.7, "interval": 1000.0});
        sent.extend(encode_frame(&report.to_string()));
    }
    let mut ninth = control_plane.connect();
    assert_answers_health_check(&mut ninth);
    control_plane.while_suspended(|| {
        // This is sent first and therefore read first.
        ninth.write_all(&encode_frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        longest_silent.write_all(&sent).unwrap();
    });
    control_plane.wait_for_log("collector connected");
    let command = wait_for("a weight of endpoint a", || {
        relay.next_call_with("put").into_iter().find(|command| command["endpoint"] == "a")
    });
    assert!(command["w"].as_f64().unwrap() < 0.5, "{command}");
    let mut rest = Vec::new();
    assert!(
        longest_silent.read_to_end(&mut rest).is_ok_and(|n| n == 0),
        "expected a close, got a reset or data"
    );
}

#[test]
fn a_half_closed_http_client_gets_its_response() {
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
fn a_half_closed_health_check_gets_its_response() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let mut stream = control_plane.while_suspended(|| {
        let mut stream = control_plane.connect();
        stream.write_all(&encode_frame(r#"{"msg":"probe"}"#)).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        stream
    });
    assert_eq!(read_frame(&mut stream).unwrap(), r#"{"msg":"alive"}"#);
}

#[test]
fn a_flood_of_connections_during_a_call_delays_neither_collectors_nor_commands() {
    let (list, relay) = (FakeEndpointList::start(&["a", "b"]), FakeRelay::start());
    let mut config = config_with_peers(list.address, relay.address);
    config["limits"] = json!({"sockets": 256, "memory_mb": 32});
    let control_plane = ControlPlane::start_with(&config);
    relay.join_proxy(7);
    relay.next_command("attach");
    drain_during_a_call(&relay, &list);
    let _unidentified: Vec<TcpStream> = (0..300).map(|_| control_plane.connect()).collect();
    let mut collector = control_plane.connect_collector();
    assert_answers_health_check(&mut collector);
    relay.release_response();
    wait_for_ejection(&relay, "b");
}

/// Guards against a rate limit of log lines for each connection: collectors that reconnected for each invalid
/// report wrote 15 MB a second.
#[test]
fn collectors_that_reconnect_for_each_invalid_report_share_one_log_rate_limit() {
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let identification = encode_frame(r#"{"msg":"agent","locality":"north"}"#);
    let invalid = encode_frame(&json!({"msg": "x".repeat(16_000)}).to_string());
    for _ in 0..100 {
        control_plane.connect().write_all(&[&identification[..], &invalid].concat()).unwrap();
    }
    control_plane.wait_for_status(r#""dropped":100,"#);
    // The log is written by a thread of its own. A line that follows the others shows that they were written.
    control_plane.connect().write_all(&encode_frame("[]")).unwrap();
    let lines = control_plane.log_lines_before("connection failed");
    let dropped: Vec<&Value> = lines.iter().filter(|line| line["msg"] == "load report dropped").collect();
    assert!((1..5).contains(&dropped.len()), "{} lines", dropped.len());
    assert!(dropped.iter().all(|line| line.to_string().len() < 1_000));
}

/// Guards against hundreds of clients of which each makes the process keep what it has sent so far.
#[test]
fn hundreds_of_clients_that_stop_half_way_take_less_than_the_memory_limit() {
    const MEMORY_LIMIT_MB: u64 = 32;
    const ZONES: usize = 40;
    let (list, relay) = (FakeEndpointList::start(&["a"]), FakeRelay::start());
    let mut config = config_with_peers(list.address, relay.address);
    config["limits"] = json!({"sockets": 1024, "memory_mb": MEMORY_LIMIT_MB});
    config["settings"]["zones"] = (0..ZONES).map(|zone| json!(format!("z{zone}"))).collect();
    let control_plane = ControlPlane::start_with(&config);
    let half_frame = |length: usize| encode_frame(&"x".repeat(length))[..length].to_vec();
    let half_frame_of_collector = |client: usize, length: usize| {
        let identification = json!({"msg": "agent", "locality": format!("z{}", client % ZONES)});
        [encode_frame(&identification.to_string()), half_frame(length)].concat()
    };
    let many_fields: String = (0..90).map(|field| format!("h{field}:\r\n")).collect();
    let head = format!("GET /healthz HTTP/1.1\r\n{many_fields}").into_bytes();
    let body = [b"POST /state HTTP/1.1\r\ncontent-length: 9000000\r\n\r\n", &[b'x'; 60_000][..]].concat();
    for kind in 0..5 {
        let mut clients = Vec::new();
        for client in 0..500 {
            let sent = match kind {
                0 => half_frame(1_000),
                1 => head.clone(),
                2 => body.clone(),
                3 => half_frame_of_collector(client, 16_000),
                _ => half_frame_of_collector(client, 60_000),
            };
            let mut stream = control_plane.connect();
            stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
            // The connection may be closed before all is written.
            let _ = stream.write_all(&sent);
            clients.push(stream);
        }
        assert_answers_health_check(&mut control_plane.connect());
    }
    let peak = control_plane.peak_memory_mb();
    assert!(peak < MEMORY_LIMIT_MB, "{peak} MiB");
}

/// Guards against a collector that keeps a connection for which it has no slot any more, by sending on:
/// hundreds of them exceeded the limit on sockets.
#[test]
fn a_collector_that_sends_on_after_newer_ones_took_its_slot_is_disconnected() {
    const COLLECTORS: usize = 40;
    const SLOTS_OF_A_ZONE: usize = 8;
    let Testbed { control_plane, .. } = Testbed::start(&["a"]);
    let (sender, disconnected) = channel();
    for _ in 0..COLLECTORS {
        let mut collector = control_plane.connect();
        let sender = sender.clone();
        spawn(move || {
            let identification = encode_frame(r#"{"msg":"agent","locality":"north"}"#);
            let report = encode_frame(
                r#"{"msg":"demand","node":1,"route":"quote","total":4,"errors":0,"interval":1000.0}"#,
            );
            let mut sent = collector.write_all(&identification);
            while sent.is_ok() {
                sleep(Duration::from_millis(2));
                sent = collector.write_all(&report);
            }
            let _ = sender.send(());
        });
    }
    for _ in 0..COLLECTORS - SLOTS_OF_A_ZONE {
        disconnected.recv_timeout(TIMEOUT).expect("a collector without a slot is disconnected");
    }
}
