//! One test a part of the mechanism and a guard; each builds its state and makes one call.

use super::*;
use crate::testing::{at, config, listing, running};
use EndpointState::{Draining, Ready, Removed};

/// A config with a product that must stay in the proxy's zone.
fn second_stays() -> ControllerConfig {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    config
}

fn said(rules: &mut Controller<crate::testing::Recorder>) -> String {
    rules.host().said.join("\n")
}

#[test]
fn a_table_holds_every_listed_server_at_listed_weight() {
    let mut rules = running(config(), &[], 1);
    rules.list_whole(at(1.0), &[listing("a", 0, Ready, None), listing("b", 3, Ready, None)]);
    assert_eq!((rules.host.weight(0, "a"), rules.host.weight(0, "b")), (Some(2.0), Some(2.0)));
}

#[test]
fn only_lines_that_differ_are_sent() {
    let mut rules = running(config(), &["a", "b"], 1);
    let mut heavier = listing("b", 0, Ready, None);
    heavier.weight = 3.0;
    rules.list_whole(at(2.0), &[listing("a", 0, Ready, None), heavier]);
    assert_eq!(rules.host.said, ["line 0 b 3"]);
}

#[test]
fn changes_that_can_wait_are_gathered() {
    let mut rules = running(config(), &["a"], 1);
    rules.held.gathered = at(2.0);
    rules.list_changed(at(1.5), &[listing("b", 0, Ready, None)]);
    assert_eq!(rules.host.count("line"), 0);
}

#[test]
fn a_draining_server_leaves_at_once_whatever_the_gathering() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.held.gathered = at(2.0);
    rules.list_changed(at(1.1), &[listing("a", 0, Draining, None)]);
    assert_eq!(rules.host.said, ["line 0 a 0", "withdraw a true"]);
}

#[test]
fn a_server_missing_from_a_whole_list_is_gone() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.list_whole(at(2.0), &[listing("b", 0, Ready, None)]);
    assert!(said(&mut rules).contains("withdraw a true"));
}

#[test]
fn an_emptied_table_is_truth_when_nobody_reports() {
    let mut rules = running(config(), &["a"], 1);
    rules.list_whole(at(2.0), &[]);
    assert!(said(&mut rules).contains("line 0 a 0"));
}

#[test]
fn a_table_that_vanished_while_its_servers_report_is_carried() {
    let mut rules = running(config(), &["a"], 1);
    rules.servers.get_mut("a").unwrap().heard = Some(at(1.5));
    rules.list_whole(at(2.0), &[]);
    assert_eq!((rules.host.count("line"), rules.host.count("withdraw")), (0, 0));
}

#[test]
fn a_carried_table_ends_within_the_grace() {
    let mut rules = running(config(), &["a"], 1);
    rules.servers.get_mut("a").unwrap().heard = Some(at(1.5));
    rules.servers.get_mut("a").unwrap().standing = Removed;
    rules.tbls.get_mut(&0).unwrap().carried = Some(at(2.0));
    rules.woke(at(3.0), LOOK);
    assert!(said(&mut rules).contains("withdraw a true"));
}

#[test]
fn a_returning_server_is_let_back_in_with_its_line() {
    let mut rules = running(config(), &["a", "b"], 1);
    let back = rules.servers.get_mut("a").unwrap();
    (back.standing, back.out) = (Removed, true);
    rules.tbls.get_mut(&0).unwrap().lines.remove("a");
    rules.list_changed(at(40.0), &[listing("a", 0, Ready, Some(at(10.0)))]);
    assert_eq!(rules.host.said, ["withdraw a false", "line 0 a 2"]);
}

#[test]
fn a_new_server_starts_at_a_tenth() {
    let mut rules = running(config(), &["a", "b", "c", "d"], 1);
    rules.list_changed(at(2.0), &[listing("e", 0, Ready, Some(at(2.0)))]);
    assert!(rules.host.weight(0, "e").unwrap() <= 0.2 + 1e-9);
}

#[test]
fn the_ramp_counts_from_the_start_not_from_the_list() {
    let rules = running(config(), &["a"], 1);
    let server = Endpoint { started: Some(at(-8.0)), ..Endpoint::default() };
    assert!((rules.warmth(at(0.0), &server) - (0.1 + 0.9 * 0.5f64.powf(RAMP_BEND))).abs() < 1e-9);
}

#[test]
fn a_restart_behind_the_same_id_can_not_wait() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.held.gathered = at(2.0);
    rules.list_changed(at(1.1), &[listing("a", 0, Ready, Some(at(1.0)))]);
    assert!(rules.host.weight(0, "a").unwrap() < 0.3);
}

#[test]
fn a_fleet_that_turns_tries_away_cuts_its_cold_lines() {
    let mut rules = running(config(), &["a", "b", "c", "d", "e"], 1);
    (rules.pulse.tries, rules.pulse.answered) = (100.0, 50.0);
    rules.list_changed(at(2.0), &[listing("f", 0, Ready, Some(at(2.0)))]);
    assert!(rules.host.weight(0, "f").unwrap() <= 0.1 + 1e-9);
}

#[test]
fn no_young_server_joins_a_struggling_fleet_whose_proxies_shun() {
    let mut rules = running(ControllerConfig { proxy_ejects_after_failures: 3, ..config() }, &["a", "b"], 1);
    rules.pulse.struggling = true;
    rules.list_changed(at(2.0), &[listing("c", 0, Ready, Some(at(2.0)))]);
    assert_eq!(rules.host.count("line"), 0);
}

#[test]
fn cold_servers_are_all_there_is_when_all_are_cold() {
    let mut rules = running(ControllerConfig { proxy_ejects_after_failures: 3, ..config() }, &[], 1);
    rules.pulse.struggling = true;
    rules.list_changed(at(2.0), &[listing("c", 0, Ready, Some(at(2.0)))]);
    assert!(rules.host.weight(0, "c").is_some());
}

#[test]
fn home_keeps_most_where_crossing_costs() {
    let mut rules = running(ControllerConfig { cross_zone_costs: true, ..config() }, &["a"], 1);
    rules.proxy_joined(at(1.0), 1, 1, 10.0, true);
    rules.list_changed(at(2.0), &[listing("b", 1, Ready, None)]);
    assert!((rules.host.weight(ARCS, "b").unwrap() / 2.0 - 1.0 / 9.0).abs() < 1e-9);
}

#[test]
fn a_zone_without_servers_uses_the_others_in_full() {
    let mut rules = running(ControllerConfig { cross_zone_costs: true, ..config() }, &["a"], 0);
    rules.proxy_joined(at(1.0), 1, 5, 10.0, true);
    rules.woke(at(1.2), LOOK);
    assert_eq!(rules.host.weight(6 * ARCS, "a"), Some(2.0));
}

#[test]
fn where_a_product_must_stay_a_table_holds_its_zone_alone() {
    let mut rules = running(second_stays(), &["a"], 1);
    rules.list_changed(at(2.0), &[listing("b", 1, Ready, None), listing("c", 0, Ready, None)]);
    assert_eq!((rules.host.weight(ARCS, "b"), rules.host.weight(ARCS, "c")), (None, Some(2.0)));
}

/// Sixty servers in each of two zones, and sixty proxies of both, where tables may hold sixteen lines.
fn tight() -> Controller<crate::testing::Recorder> {
    let tight =
        ControllerConfig { cross_zone_costs: true, proxy_count: 60, message_overhead_lines: 2.5, ..config() };
    let mut rules = running(tight, &[], 0);
    let fleet = (0..120).map(|k| listing(&format!("s{k}"), k % 2, Ready, None));
    rules.list_whole(at(0.5), &fleet.collect::<Vec<_>>());
    (0..60).for_each(|proxy| rules.proxy_joined(at(0.6), proxy, proxy % 2, 10.0, true));
    rules.woke(at(0.8), LOOK);
    rules
}

#[test]
fn tables_that_all_could_not_leave_in_time_hold_an_arc_of_the_fleet_each() {
    let rules = tight();
    let lines = |t: &RouteTable| t.lines.len();
    assert!(rules.tbls.len() > 8 && rules.tbls.values().all(|t| lines(t) == rules.lines_most()));
    let homely = |t: &RouteTable| t.lines.keys().filter(|id| Some(rules.servers[*id].zone) == t.home).count();
    assert!(rules.tbls.values().all(|t| homely(t) * AWAY >= lines(t) * (AWAY - 1)));
}

#[test]
fn servers_that_come_push_nothing_out_of_an_arc() {
    let mut rules = tight();
    let new: Vec<_> = (0..8).map(|k| listing(&format!("n{k}"), k % 2, Ready, Some(at(1.0)))).collect();
    rules.list_changed(at(2.0), &new);
    rules.woke(at(4.0), TURN);
    let out = rules.host.said.iter().filter(|s| s.starts_with("line") && s.ends_with(" 0"));
    assert!(out.count() <= 16);
}

#[test]
fn a_bind_waits_for_a_usable_server() {
    let mut rules = running(config(), &[], 0);
    rules.proxy_joined(at(1.0), 4, 0, 10.0, false);
    rules.woke(at(9.0), HEARTBEAT);
    assert_eq!(rules.host.count("bind"), 0);
}

#[test]
fn a_first_join_gets_the_best_there_is_once_the_budget_is_spent() {
    let mut rules = running(config(), &[], 0);
    rules.proxy_joined(at(1.0), 4, 9, 10.0, true);
    rules.woke(at(6.5), HEARTBEAT);
    assert_eq!(rules.host.count("bind 4 "), 1);
}

#[test]
fn held_binds_are_tried_again_on_a_jittered_heartbeat() {
    let mut rules = running(config(), &[], 0);
    rules.proxy_joined(at(1.0), 4, 0, 10.0, true);
    rules.bind_waiting(at(1.2));
    assert_eq!(rules.host.count("wake 2 "), 1);
}

#[test]
fn binds_wait_for_room_in_the_channel() {
    let mut rules = running(ControllerConfig { proxy_count: 400, ..config() }, &["a"], 0);
    (0..400).for_each(|proxy| rules.proxy_joined(at(1.0), proxy, 0, 10.0, true));
    rules.woke(at(1.2), LOOK);
    let bound = rules.host.count("bind");
    let fits = 1000.0 * MOST_LINES * ORDINARY_LINES;
    assert!(bound as f64 * 7.0 <= fits && (bound + 1) as f64 * 7.0 > fits);
}

#[test]
fn standing_tables_are_bound_before_those_of_an_earlier_stream() {
    let mut rules = running(config(), &["a"], 0);
    rules.proxy_joined(at(1.0), 4, 0, 90.0, false);
    rules.proxy_joined(at(1.0), 5, 0, 10.0, true);
    rules.turn(at(1.2));
    assert!(said(&mut rules).find("bind 5") < said(&mut rules).find("bind 4"));
}

#[test]
fn thin_standing_tables_bind_before_changes_go() {
    let mut rules = running(config(), &["a", "b", "c"], 1);
    rules.servers.get_mut("a").unwrap().standing = Removed;
    rules.tbls.get_mut(&0).unwrap().lines.remove("a");
    rules.servers.get_mut("c").unwrap().weight = 4.0;
    rules.proxy_joined(at(2.0), 4, 0, 90.0, true);
    rules.turn(at(2.2));
    assert_eq!((rules.host.count("bind 4"), rules.host.count("line 0 c")), (1, 0));
}

#[test]
fn a_long_queue_asks_what_has_come_and_counts_it_off() {
    let mut rules = running(config(), &["a"], 0);
    (0..40).for_each(|proxy| rules.proxy_joined(at(1.0), proxy, 0, 10.0, true));
    rules.woke(at(1.2), LOOK);
    let waiting = rules.ledger.waiting(at(1.3));
    rules.applied(at(1.3), 1, 7);
    assert!(rules.host.count("mark 1") == 1 && rules.ledger.waiting(at(1.3)) < waiting);
}

#[test]
fn a_slight_change_is_not_worth_its_way_to_many() {
    let mut rules = running(ControllerConfig { channel_rate: 100.0, ..config() }, &["a", "b"], 4);
    let mut lighter = listing("b", 0, Ready, None);
    lighter.weight = 1.9;
    rules.list_changed(at(9.0), &[lighter]);
    assert_eq!(rules.host.count("line"), 0);
}

/// Thirty bound proxies and servers "10" up to below `last`, more than the channel carries at once.
fn crowded(message_head: f64, last: u32) -> Controller<crate::testing::Recorder> {
    let ids: Vec<String> = (10..last).map(|k| k.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut rules = running(
        ControllerConfig { max_pushes: 0, message_overhead_lines: message_head, ..config() },
        &ids,
        30,
    );
    rules.proxies.values_mut().for_each(|p| (p.bound, p.reached) = (true, true));
    rules
}

#[test]
fn of_many_that_left_who_left_first_goes_first() {
    let mut rules = crowded(3.0, 60);
    for (k, server) in rules.servers.values_mut().enumerate() {
        (server.standing, server.left) = (Draining, at(9.0 - k as f64 / 100.0));
    }
    rules.turn(at(60.0));
    assert!(rules.host.weight(0, "59") == Some(0.0) && rules.host.weight(0, "10").is_none());
}

#[test]
fn a_joined_proxy_that_stays_unbound_is_told_who_is_out() {
    let mut rules = running(config(), &["a"], 0);
    let a = rules.servers.get_mut("a").unwrap();
    (a.standing, a.out) = (Removed, true);
    rules.proxy_joined(at(1.0), 4, 0, 10.0, false);
    rules.turn(at(1.05));
    assert_eq!(rules.host.count("withdraw a true"), 1);
}

#[test]
fn a_proxy_that_joins_again_is_bound_again() {
    let mut rules = running(config(), &["a"], 1);
    rules.proxy_joined(at(2.0), 0, 0, 10.0, false);
    rules.woke(at(2.2), LOOK);
    assert_eq!(rules.host.count("bind 0 0"), 1);
}

/// As when the event stream was reopened: nobody left, and the relay goes on sending them their table's lines.
#[test]
fn lines_to_proxies_told_of_anew_are_still_counted() {
    let mut rules = running(config(), &["a", "b"], 4);
    (0..4).for_each(|proxy| rules.proxy_joined(at(1.0), proxy, 0, 10.0, false));
    let before = rules.ledger.ordered;
    let heavier = EndpointUpdate { weight: 3.0, ..listing("b", 0, Ready, None) };
    rules.list_changed(at(1.01), &[heavier]);
    let lines = rules.host.count("line") as f64;
    assert!(rules.ledger.ordered - before >= 4.0 * lines);
    rules.woke(at(3.0), TURN);
    assert!(rules.host.weight(0, "b") == Some(3.0));
}

/// Messages to proxy 0 at these moments.
fn messages(rules: &mut Controller<crate::testing::Recorder>, moments: impl Iterator<Item = f64>) {
    moments.for_each(|moment| rules.ledger.note(at(moment), 0, 1.0, 0.0));
}

#[test]
fn ordinary_changes_leave_messages_for_drains() {
    let mut rules = running(config(), &["a"], 1);
    messages(&mut rules, (1..=6).map(f64::from));
    assert!(rules.room(at(7.0), false, &[0]) == 0.0 && rules.room(at(8.5), true, &[0]) > 0.0);
}

#[test]
fn drains_never_pass_the_message_limit() {
    let mut rules = running(config(), &["a", "b"], 1);
    messages(&mut rules, (0..12).map(|k| 1.0 + 0.1 * f64::from(k)));
    rules.list_changed(at(4.0), &[listing("a", 0, Draining, None)]);
    assert_eq!((rules.host.count("line"), rules.host.count("wake 4 ")), (0, 1));
}

#[test]
fn a_long_queue_holds_ordinary_changes_back() {
    let mut rules = running(config(), &["a"], 1);
    rules.ledger = ChannelBacklog::default();
    rules.ledger.note(at(2.0), 0, 895.0, 0.0);
    assert!(rules.room(at(2.0), false, &[0]) < 1.0 && rules.room(at(2.0), true, &[0]) > 4.0);
}

#[test]
fn what_cannot_wait_is_gathered_while_the_queue_is_long() {
    let mut rules =
        running(ControllerConfig { max_transit: Span::secs(0.1), ..config() }, &["a", "b", "c"], 1);
    rules.ledger = ChannelBacklog::default();
    rules.ledger.note(at(2.0), 0, 400.0, 0.0);
    rules.list_changed(at(2.0), &[listing("a", 0, Draining, None)]);
    rules.list_changed(at(2.5), &[listing("b", 0, Draining, None)]);
    assert_eq!(rules.host.count("line"), 0);
    rules.ledger = ChannelBacklog::default();
    rules.turn(at(2.6));
    assert_eq!((rules.host.weight(0, "a"), rules.host.weight(0, "b")), (Some(0.0), Some(0.0)));
}

#[test]
fn where_all_answers_are_lost_one_proxy_is_asked_anew() {
    let mut rules = running(ControllerConfig { max_transit: Span::secs(0.1), ..config() }, &["a", "b"], 2);
    rules.ledger.note(at(2.0), 0, 400.0, 0.0);
    rules.turn(at(2.5));
    assert_eq!(rules.host.count("bind"), 0);
    rules.turn(at(2.7));
    assert_eq!((rules.host.count("bind"), rules.host.count("mark")), (1, 1));
}

#[test]
fn what_waited_for_a_proxy_that_left_does_not_wait_any_more() {
    let mut rules = running(config(), &["a"], 2);
    rules.ledger.note(at(2.0), 1, 400.0, 0.0);
    let waited = rules.ledger.waiting(at(2.0));
    rules.proxy_left(at(2.0), 1);
    assert!(rules.ledger.waiting(at(2.0)) <= waited - 400.0);
}

#[test]
fn more_than_a_queue_holds_goes_in_pieces_and_never_waits_for_ever() {
    let mut rules = crowded(10.0, 90);
    rules.servers.values_mut().skip(1).for_each(|s| s.standing = Draining);
    rules.turn(at(90.0));
    assert!((8..79).contains(&rules.host.count("line")));
}

#[test]
fn while_drains_wait_for_room_nothing_else_goes() {
    let mut rules = crowded(3.0, 70);
    rules.servers.values_mut().for_each(|s| s.standing = Draining);
    rules.levels[0] = 0.5;
    rules.proxy_joined(at(59.0), 99, 0, 10.0, true);
    rules.turn(at(60.0));
    assert!(rules.host.count("line") < 60 && rules.host.count("level") + rules.host.count("bind") == 0);
}

#[test]
fn no_further_try_is_ever_ordered() {
    let mut rules = running(config(), &["a"], 0);
    rules.tbls.insert(0, RouteTable::default());
    rules.send(at(1.0), 0, Vec::new(), true, &[]);
    assert_eq!(rules.host.count("level"), rules.host.said.iter().filter(|s| s.ends_with("Never")).count());
    assert_eq!(rules.host.count("level"), 2);
}

#[test]
fn a_server_that_hurts_more_than_its_peers_goes_down_a_rung() {
    let mut rules = running(config(), &["a", "b", "c", "d"], 1);
    rules.servers.values_mut().for_each(|s| s.tally.add(0, 20.0));
    rules.servers.get_mut("c").unwrap().tally.add(HURT.len() - 1, 20.0);
    rules.judge(at(5.0));
    assert_eq!(rules.servers.values().map(|s| s.rung).collect::<Vec<_>>(), [0, 0, 1, 0]);
}

/// Two servers of whom `tries` are heard each, one that is not heard, and `a` with two tries.
fn judged(tries: f64, voided: f64, took: f64) -> Controller<crate::testing::Recorder> {
    let mut rules = running(config(), &["a", "b", "c", "d"], 1);
    ["b", "c"].iter().for_each(|id| rules.met(at(1.0), id, tries, 0.0, Span::ZERO, Span::ZERO));
    rules.met(at(1.0), "a", 2.0, voided, Span::secs(took), Span::ZERO);
    rules.judge(at(1.0));
    rules
}

#[test]
fn two_voided_tries_tell_enough_and_hold_a_server_back_until_nothing_hurts() {
    let mut rules = judged(9.0, 2.0, 0.0);
    assert_eq!((rules.servers["a"].rung, rules.pulse.middle), (3, 0.0));
    rules.met(at(9.0), "a", 2.0, 1.0, Span::ZERO, Span::ZERO);
    rules.judge(at(9.0));
    assert_eq!(rules.servers["a"].rung, 3, "its rest is over and it still hurts");
}

#[test]
fn late_tries_tell_if_they_are_six_or_a_third_more_than_the_mean_server_has() {
    assert_eq!(judged(9.0, 0.0, 2.0).servers["a"].rung, 0);
    assert_eq!(judged(3.0, 0.0, 2.0).servers["a"].rung, 0);
    assert_eq!(judged(2.0, 0.0, 2.0).servers["a"].rung, 3);
}

#[test]
fn only_part_of_the_fleet_is_held_back() {
    let mut rules = running(config(), &["a", "b", "c", "d", "e", "f", "g"], 1);
    rules.servers.values_mut().for_each(|s| s.tally.add(0, 100.0));
    for id in ["a", "b"] {
        rules.servers.get_mut(id).unwrap().move_to(5, at(5.0));
    }
    rules.servers.get_mut("c").unwrap().tally.add(HURT.len() - 1, 900.0);
    rules.judge(at(5.0));
    assert_eq!(rules.servers["c"].rung, 0);
}

#[test]
fn in_a_jam_no_server_is_held_back() {
    let mut rules = running(config(), &["a", "b", "c", "d"], 1);
    rules.servers.values_mut().for_each(|s| (s.tally.add(0, 6.0), s.tally.add(HURT.len() - 1, 4.0)).0);
    rules.servers.get_mut("c").unwrap().tally.add(HURT.len() - 1, 90.0);
    rules.servers.get_mut("d").unwrap().tally.add(0, 200.0);
    rules.judge(at(5.0));
    assert!(rules.servers.values().all(|s| s.rung == 0));
}

#[test]
fn a_rung_is_let_go_after_a_rest_however_late_the_timers_are() {
    for (late, rung) in [(4.0, 2), (4.004, 2), (5.0, 1), (5.02, 1)] {
        let mut rules = running(config(), &["a", "b"], 1);
        let a = rules.servers.get_mut("a").unwrap();
        (a.rung, a.strikes, a.judged) = (2, 1, at(1.0));
        rules.judge(at(1.0 + late));
        assert_eq!(rules.servers["a"].rung, rung);
    }
}

#[test]
fn reports_of_the_weight_before_the_last_move_do_not_count() {
    let mut rules = running(config(), &["a"], 1);
    (rules.servers.get_mut("a").unwrap().rung, rules.servers.get_mut("a").unwrap().judged) = (1, at(5.0));
    rules.met(at(6.0), "a", 10.0, 10.0, Span::ZERO, Span::secs(1.0));
    assert_eq!(rules.servers["a"].tally.total(), 0.0);
}

#[test]
fn overload_lets_in_what_is_answered_and_the_dearest_first() {
    let mut rules = running(config(), &["a"], 1);
    rules.pulse = FleetLoad {
        asked: vec![100.0, 50.0],
        tries: 150.0,
        answered: 60.0,
        served: 60.0,
        over: Span::secs(1.0),
        ..FleetLoad::default()
    };
    rules.shed(at(9.0));
    assert!(rules.levels[0] <= LEVEL_FLOOR && rules.levels[1] == 1.0);
}

/// What a supervisor knows three seconds after its start: a few tries of the first proxies that joined it.
fn just_started(tries: f64, joined_lately: f64) -> Controller<crate::testing::Recorder> {
    let mut rules = running(config(), &["a", "b"], 4);
    let (asked, over) = (vec![10.0, 10.0], Span::secs(2.0));
    let joined = joined_lately * over.as_secs();
    rules.pulse = FleetLoad {
        asked,
        over,
        tries,
        answered: tries,
        served: tries,
        middle: 0.3,
        joined,
        ..FleetLoad::default()
    };
    rules.shed(at(9.0));
    rules
}

#[test]
fn a_few_tries_do_not_tell_that_the_fleet_hurts() {
    assert_eq!(just_started(3.0, 40.0).pulse.budget, None);
    assert!(just_started(6.0, 40.0).pulse.budget.is_some());
}

#[test]
fn while_proxies_come_what_was_answered_is_no_measure_for_them() {
    // 40 requests a second are joined now.
    let mut rules = just_started(20.0, 10.0);
    assert_eq!(rules.pulse.budget, None);
    // They have been here for as long as their reports take.
    rules.pulse.joined = 80.0;
    rules.shed(at(11.9));
    assert_eq!(rules.pulse.budget, None);
    rules.pulse.joined = 80.0;
    rules.shed(at(12.0));
    assert!(rules.pulse.budget.is_some());
}

#[test]
fn levels_come_back_once_the_fleet_is_well() {
    let mut rules = running(config(), &["a"], 1);
    let (asked, budget, over) = (vec![100.0, 50.0], Some(100.0), Span::secs(1.0));
    rules.pulse = FleetLoad { asked, budget, over, tries: 90.0, answered: 90.0, ..FleetLoad::default() };
    rules.shed(at(9.0));
    assert!(rules.pulse.budget.unwrap() > 100.0);
}

#[test]
fn a_budget_grows_with_the_proxies_that_come_back() {
    let mut rules = running(config(), &["a"], 1);
    // Nine tenths of 20 were answered lately to one proxy of 10 a second.
    let (asked, over) = (vec![0.0, 20.0], Span::secs(1.0));
    rules.pulse = FleetLoad { asked, over, tries: 20.0, answered: 5.0, served: 20.0, ..FleetLoad::default() };
    rules.shed(at(9.0));
    assert_eq!(rules.levels[1], 0.9);
    (1..4).for_each(|proxy| rules.proxy_joined(at(9.5), proxy, 0, 10.0, false));
    rules.pulse = FleetLoad { asked: vec![0.0, 80.0], struggling: true, ..std::mem::take(&mut rules.pulse) };
    rules.shed(at(9.5));
    assert_eq!(rules.levels[1], 0.9);
}

#[test]
fn a_failed_list_call_is_made_again() {
    let mut rules = running(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    rules.list_failed(at(3.0));
    assert_eq!(rules.host.count("wake 3 "), 1);
}

#[test]
fn the_first_failure_of_the_list_is_answered_at_once_and_those_right_after_it_with_a_pause() {
    let mut rules = running(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    for (now, at_once) in [(3.0, true), (3.1, false), (4.2, false), (6.0, true)] {
        rules.host.said.clear();
        rules.list_failed(at(now));
        assert_eq!(rules.host.said == ["wake 3 0"], at_once, "at {now}: {:?}", rules.host.said);
    }
}

#[test]
fn reports_for_servers_never_listed_are_passed_over() {
    let mut rules = running(config(), &["a"], 1);
    rules.met(at(1.0), "nobody", 5.0, 5.0, Span::ZERO, Span::ZERO);
    assert_eq!(rules.pulse.tries, 0.0);
}

#[test]
fn a_charter_of_zeros_stops_nothing() {
    let zero = ControllerConfig {
        max_queued_lines: 0.0,
        channel_rate: 0.0,
        slow_start_window: Span::ZERO,
        max_pushes: 0,
        ..config()
    };
    let mut rules = running(zero, &["a"], 2);
    rules.list_changed(at(2.0), &[listing("b", 0, Ready, Some(at(2.0)))]);
    assert_eq!(rules.host.weight(0, "b"), Some(2.0));
}

#[test]
fn a_server_long_gone_is_forgotten_and_served_again_when_its_id_returns() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.list_changed(at(2.0), &[listing("a", 0, Removed, None)]);
    rules.woke(at(61.0), TURN);
    assert!(rules.servers.contains_key("a"));
    rules.woke(at(63.0), TURN);
    assert!(!rules.servers.contains_key("a") && said(&mut rules).contains("withdraw a false\nforget a"));
    rules.list_changed(at(64.0), &[listing("a", 0, Ready, None)]);
    rules.woke(at(65.0), TURN);
    assert_eq!(rules.host.weight(0, "a"), Some(2.0));
}

#[test]
fn a_fleet_replaced_for_hours_leaves_nothing_behind() {
    let mut rules = running(config(), &["s0"], 2);
    let id = |n: u32| format!("s{n}");
    for n in 1..3_000_u32 {
        let now = at(f64::from(n) * 4.0);
        rules.list_changed(now, &[listing(&id(n - 1), 0, Removed, None), listing(&id(n), 0, Ready, None)]);
        rules.woke(now + Span::secs(2.0), TURN);
    }
    assert!(rules.servers.len() < 20 && rules.tbls[&0].lines.len() == 1);
    assert!(rules.ledger.kept() < 200, "{}", rules.ledger.kept());
}

#[test]
fn a_slice_whose_server_left_gets_another() {
    let mut rules = running(ControllerConfig { shards: 2, ..config() }, &["a", "b"], 0);
    rules.slice_given(1);
    rules.slice_line(1, &"a".into(), 1.0);
    rules.list_changed(at(2.0), &[listing("a", 0, Removed, None)]);
    assert_eq!(rules.host.said, ["withdraw a true", "line 1 a 0", "line 1 b 1"]);
}

#[test]
fn a_slice_with_one_writer_stops_its_writes_before_it_moves() {
    let mut config = ControllerConfig { shards: 2, single_writer: true, ..config() };
    config.request_classes[1].writes = true;
    let mut rules = running(config, &["a", "b"], 0);
    rules.slice_given(1);
    rules.slice_line(1, &"a".into(), 1.0);
    rules.list_changed(at(2.0), &[listing("a", 0, Draining, None)]);
    assert_eq!(rules.host.said, ["withdraw a true", "level 1 2 0.00 Never"]);
}

#[test]
fn commands_that_were_lost_go_again_and_nothing_overtakes_them() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.commands_lost(at(2.0), false);
    rules.list_changed(at(2.0), &[listing("a", 0, Draining, None)]);
    rules.woke(at(2.1), REPEAT);
    assert_eq!(rules.host.said, ["wake 5 50000", "repeat"]);
}

#[test]
fn what_was_held_behind_lost_commands_goes_once_they_are_taken() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.commands_lost(at(2.0), false);
    rules.list_changed(at(2.0), &[listing("a", 0, Draining, None)]);
    rules.commands_taken(at(2.1));
    assert_eq!(rules.host.said[1..], ["line 0 a 0", "withdraw a true"]);
}

#[test]
fn strays_wait_for_bars_from_when_a_server_leaves_although_no_order_gets_out() {
    let mut rules = crowded(3.0, 20);
    rules.ledger = ChannelBacklog::default();
    rules.commands_lost(at(2.0), false);
    rules.proxies.values_mut().for_each(|p| (p.bound, p.reached) = (false, false));
    rules.list_changed(at(2.1), &[listing("12", 0, Draining, None)]);
    rules.commands_taken(at(4.0));
    assert_eq!(rules.host.count("withdraw 12 true"), 1);
}

#[test]
fn a_server_that_was_let_back_in_is_barred_again_when_it_leaves_again() {
    let mut rules = running(config(), &["a", "b"], 1);
    for (now, standing) in [(2.0, Draining), (4.0, Ready), (6.0, Draining)] {
        rules.list_changed(at(now), &[listing("a", 0, standing, None)]);
        rules.woke(at(now + 1.0), TURN);
    }
    let bars: Vec<&String> = rules.host.said.iter().filter(|said| said.starts_with("withdraw")).collect();
    assert_eq!(bars, ["withdraw a true", "withdraw a false", "withdraw a true"]);
}

#[test]
fn commands_that_may_have_been_carried_out_count_twice() {
    let mut rules = running(config(), &["a", "b"], 1);
    let waiting = rules.ledger.waiting(at(0.2));
    rules.commands_lost(at(0.2), true);
    assert!(rules.ledger.waiting(at(0.2)) >= 2.0 * waiting);
}

#[test]
fn lost_commands_that_reach_nobody_wait_for_nobodys_lines() {
    let mut rules = running(config(), &["a", "b"], 1);
    let lines = rules.ledger.ordered;
    rules.turn(at(1.0));
    rules.commands_lost(at(1.0), true);
    assert_eq!((rules.ledger.ordered, rules.host.said.last().unwrap().as_str()), (lines, "wake 5 50000"));
}

#[test]
fn a_repeat_of_what_may_have_been_carried_out_is_marked_and_clears_the_queue_when_it_comes() {
    let mut rules = running(config(), &["a", "b"], 1);
    (0..50).for_each(|n| rules.commands_lost(at(1.0 + f64::from(n)), true));
    rules.applied(at(51.0), 50, 0);
    assert_eq!((rules.host.count("mark"), rules.ledger.waiting(at(51.0))), (50, 0.0));
}

#[test]
fn a_declined_bind_is_ordered_again() {
    let mut rules = running(config(), &["a"], 1);
    rules.bind_declined(at(2.0), 0);
    rules.woke(at(2.2), LOOK);
    assert_eq!(rules.host.count("bind 0 0"), 1);
}

#[test]
fn a_declined_line_is_ordered_again() {
    let mut rules = running(config(), &["a", "b"], 1);
    rules.line_declined(0, &"b".into());
    rules.woke(at(2.0), LOOK);
    assert_eq!(rules.host.weight(0, "b"), Some(2.0));
}
