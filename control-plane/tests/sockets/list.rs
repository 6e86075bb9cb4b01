//! Answers of the list that are spoilt, cut, old or doubled: that one thing is left out, the last good state
//! stands, and what is known to leave is left.

use crate::common::{server, until, Relay, Says, Supervisor};
use crate::{serving, started};
use serde_json::{json, Value};

fn spoilt(id: &str, health: &str, field: &str, by: Value) -> Value {
    let mut entry = server(id, health);
    entry[field] = by;
    entry
}

fn text(version: u64, whole: bool, hosts: &[Value]) -> Says {
    Says::Text(json!({"seq": version, "whole": whole, "hosts": hosts}).to_string())
}

fn listed(supervisor: &Supervisor, servers: usize) {
    let said = format!(r#""servers":{servers},"#);
    until(&said, || supervisor.page("/state").contains(&said).then_some(()));
}

fn assert_left(relay: &Relay, id: &str) {
    assert_eq!(relay.command("eject")["endpoint"], id);
}

#[test]
fn an_entry_that_cannot_be_read_costs_no_other_of_its_answer() {
    let (list, relay, supervisor) = serving();
    let odd = [json!({}), json!("text"), spoilt("c", "active", "health", 7.into())];
    for (n, odd) in odd.into_iter().enumerate() {
        list.stands(&[server("b", "active")], &[odd, server("a", "leaving")]);
        assert_left(&relay, "a");
        let counted = format!(r#""dropped":{},"#, n + 1);
        until("it is counted", || supervisor.page("/state").contains(&counted).then_some(()));
        list.stands(&[server("a", "active"), server("b", "active")], &[server("a", "active")]);
        assert_eq!(relay.command("uneject")["endpoint"], "a");
    }
    let why = supervisor.logged("endpoint list entry skipped")["why"].to_string();
    assert!(why.contains("entry 0") && why.contains("'host'"), "{why}");
}

/// No later answer tells of a change again.
#[test]
fn what_a_spoilt_entry_would_have_told_is_asked_for_anew() {
    let (list, relay, _supervisor) = serving();
    list.stands(&[server("a", "leaving"), server("b", "active")], &[spoilt("a", "gone?", "share", json!(1))]);
    assert_left(&relay, "a");
}

#[test]
fn a_server_that_drains_is_left_whatever_else_is_amiss_in_its_entry() {
    let (list, relay, _supervisor) = serving();
    let odd = [spoilt("a", "leaving", "share", json!([])), spoilt("b", "leaving", "born_ms", json!("x"))];
    list.changes(&odd);
    let call = relay.call_with("eject");
    assert_eq!(call.iter().filter(|o| o["op"] == "eject").count(), 2, "{call:?}");
}

#[test]
fn a_server_whose_entry_in_the_whole_list_cannot_be_read_stays_as_it_was() {
    let (list, relay, supervisor) = started(&["a", "b", "c"]);
    relay.joins(7);
    relay.command("attach");
    list.will([text(9, true, &[spoilt("a", "active", "share", json!(-1)), server("b", "active")])]);
    // `c` is not there any more, `a` is, and that it was told of at all is what counts.
    assert_left(&relay, "c");
    listed(&supervisor, 2);
}

#[test]
fn where_an_entry_has_no_name_nobody_is_taken_for_missing_until_the_list_can_be_read() {
    let (list, relay, supervisor) = started(&["a", "b", "c"]);
    relay.joins(7);
    relay.command("attach");
    let nameless = [json!({"health": "active"}), server("b", "leaving")];
    list.changes_but(&[server("a", "active")], &[], text(9, true, &nameless));
    assert_left(&relay, "b");
    // Asked for whole again: now it is plain that `c` has gone and `a` has not.
    assert_left(&relay, "c");
    listed(&supervisor, 1);
}

#[test]
fn a_change_older_than_what_is_known_is_not_believed_and_the_whole_list_is_asked_for() {
    let (list, relay, supervisor) = serving();
    list.stands(&[server("a", "active"), server("b", "leaving")], &[server("b", "leaving")]);
    assert_left(&relay, "b");
    list.heard_all();
    list.changes_but(
        &[server("a", "leaving"), server("b", "leaving")],
        &[],
        text(1, false, &[server("b", "active")]),
    );
    assert!(supervisor.logged("endpoint watch failed")["why"].as_str().unwrap().contains("version 1"));
    let call = relay.call_with("eject");
    assert!(call.iter().all(|o| o["op"] != "uneject"), "{call:?}");
    assert!(call.iter().any(|o| o["op"] == "eject" && o["endpoint"] == "a"), "{call:?}");
}

fn counts_anew(refuses: bool) {
    let (list, relay, _supervisor) = serving();
    (0..5).for_each(|_| list.changes(&[]));
    list.heard_all();
    list.restarts_at(1, refuses);
    list.stands(&[server("a", "leaving"), server("b", "active")], &[server("a", "leaving")]);
    assert_left(&relay, "a");
}

#[test]
fn a_list_that_counts_anew_is_followed() {
    counts_anew(false);
}

#[test]
fn a_list_that_counts_anew_and_refuses_what_it_does_not_know_is_followed() {
    counts_anew(true);
}

fn comes_through(says: Says) {
    let (list, relay, supervisor) = serving();
    list.changes_but(&[server("a", "leaving"), server("b", "active")], &[server("a", "leaving")], says);
    assert_left(&relay, "a");
    list.changes(&[server("c", "active")]);
    assert_eq!(relay.command("put")["endpoint"], "c");
    listed(&supervisor, 3);
}

#[test]
fn a_change_comes_through_when_its_answer_is_cut_in_the_status() {
    comes_through(Says::CutAfter(12));
}

#[test]
fn a_change_comes_through_when_its_answer_is_cut_after_the_head() {
    comes_through(Says::CutAfter(60));
}

#[test]
fn a_change_comes_through_when_its_answer_lacks_the_last_byte() {
    comes_through(Says::CutAfter(usize::MAX));
}

#[test]
fn a_change_comes_through_when_the_watch_is_reset() {
    comes_through(Says::Resets);
}

#[test]
fn a_change_comes_through_when_its_answer_is_not_json() {
    comes_through(Says::Text("{\"seq\":".into()));
}

#[test]
fn a_change_comes_through_when_its_answer_is_of_another_type() {
    comes_through(Says::Text("[[]]".into()));
}

#[test]
fn a_change_comes_through_when_it_is_answered_twice() {
    comes_through(Says::Twice);
}
