//! One test a part of the mechanism and a guard; each builds its state and makes one call.

use super::admission::MIN_LEVEL;
use super::changes::TableChanges;
use super::channel::{Urgency, MAX_QUEUE_PART, MIN_ORDINARY_QUEUE_PART};
use super::outliers::FAILED_BAND;
use super::routing::{RouteTable, ARCS_PER_ZONE, REMOTE_ENDPOINTS_DIVISOR};
use super::slow_start::{slow_start_factor, RAMP_EXPONENT};
use super::*;
use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;

use crate::host::EndpointState::{Draining, Ready, Removed};
use crate::testing::{at, config, listing, running};

/// A config with a product that must stay in the proxy's zone.
fn second_stays() -> ControllerConfig {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    config
}

fn limits(controller: &Controller<crate::testing::Recorder>) -> ChannelLimits {
    ChannelLimits::new(&controller.config, &controller.endpoints)
}

/// The room for commands to proxy 0.
fn room(controller: &mut Controller<crate::testing::Recorder>, now: Moment, urgency: Urgency) -> f64 {
    let limits = limits(controller);
    controller.channel.room(now, urgency, &[0], &limits)
}

fn said(controller: &mut Controller<crate::testing::Recorder>) -> String {
    controller.host().said.join("\n")
}

#[test]
fn a_table_holds_every_listed_server_at_listed_weight() {
    let mut controller = running(config(), &[], 1);
    controller.endpoint_list_replaced(at(1.0), &[listing("a", 0, Ready, None), listing("b", 3, Ready, None)]);
    assert_eq!((controller.host.weight(0, "a"), controller.host.weight(0, "b")), (Some(2.0), Some(2.0)));
}

#[test]
fn only_lines_that_differ_are_sent() {
    let mut controller = running(config(), &["a", "b"], 1);
    let mut heavier = listing("b", 0, Ready, None);
    heavier.weight = 3.0;
    controller.endpoint_list_replaced(at(2.0), &[listing("a", 0, Ready, None), heavier]);
    assert_eq!(controller.host.said, ["line 0 b 3"]);
}

#[test]
fn changes_that_can_wait_are_gathered() {
    let mut controller = running(config(), &["a"], 1);
    controller.publication.batched_until = at(2.0);
    controller.endpoints_updated(at(1.5), &[listing("b", 0, Ready, None)]);
    assert_eq!(controller.host.count("line"), 0);
}

#[test]
fn a_draining_server_leaves_at_once_whatever_the_gathering() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.publication.batched_until = at(2.0);
    controller.endpoints_updated(at(1.1), &[listing("a", 0, Draining, None)]);
    assert_eq!(controller.host.said, ["line 0 a 0", "withdraw a true"]);
}

#[test]
fn a_server_missing_from_a_whole_list_is_gone() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.endpoint_list_replaced(at(2.0), &[listing("b", 0, Ready, None)]);
    assert!(said(&mut controller).contains("withdraw a true"));
}

#[test]
fn an_emptied_table_is_truth_when_nobody_reports() {
    let mut controller = running(config(), &["a"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert!(said(&mut controller).contains("line 0 a 0"));
}

#[test]
fn a_table_that_vanished_while_its_servers_report_is_carried() {
    let mut controller = running(config(), &["a"], 1);
    controller.endpoints.get_mut("a").unwrap().last_answered = Some(at(1.5));
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert_eq!((controller.host.count("line"), controller.host.count("withdraw")), (0, 0));
}

#[test]
fn a_carried_table_ends_within_the_grace() {
    let mut controller = running(config(), &["a"], 1);
    controller.endpoints.get_mut("a").unwrap().last_answered = Some(at(1.5));
    controller.endpoints.get_mut("a").unwrap().state = Removed;
    controller.tables.by_number.get_mut(&0).unwrap().carried_since = Some(at(2.0));
    controller.timer_fired(at(3.0), Timer::Recheck);
    assert!(said(&mut controller).contains("withdraw a true"));
}

#[test]
fn a_returning_server_is_let_back_in_with_its_line() {
    let mut controller = running(config(), &["a", "b"], 1);
    let back = controller.endpoints.get_mut("a").unwrap();
    (back.state, back.ejected) = (Removed, true);
    controller.tables.by_number.get_mut(&0).unwrap().weights.remove("a");
    controller.endpoints_updated(at(40.0), &[listing("a", 0, Ready, Some(at(10.0)))]);
    assert_eq!(controller.host.said, ["withdraw a false", "line 0 a 2"]);
}

#[test]
fn a_new_server_starts_at_a_tenth() {
    let mut controller = running(config(), &["a", "b", "c", "d"], 1);
    controller.endpoints_updated(at(2.0), &[listing("e", 0, Ready, Some(at(2.0)))]);
    assert!(controller.host.weight(0, "e").unwrap() <= 0.2 + 1e-9);
}

#[test]
fn the_ramp_counts_from_the_start_not_from_the_list() {
    let window = config().slow_start_window;
    let factor = slow_start_factor(window, Some(at(-8.0)), at(0.0));
    assert!((factor - (0.1 + 0.9 * 0.5f64.powf(RAMP_EXPONENT))).abs() < 1e-9);
}

#[test]
fn a_restart_behind_the_same_id_can_not_wait() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.publication.batched_until = at(2.0);
    controller.endpoints_updated(at(1.1), &[listing("a", 0, Ready, Some(at(1.0)))]);
    assert!(controller.host.weight(0, "a").unwrap() < 0.3);
}

#[test]
fn a_fleet_that_turns_tries_away_cuts_its_cold_lines() {
    let mut controller = running(config(), &["a", "b", "c", "d", "e"], 1);
    (controller.fleet_load.attempts, controller.fleet_load.answered) = (100.0, 50.0);
    controller.endpoints_updated(at(2.0), &[listing("f", 0, Ready, Some(at(2.0)))]);
    assert!(controller.host.weight(0, "f").unwrap() <= 0.1 + 1e-9);
}

#[test]
fn no_young_server_joins_a_struggling_fleet_whose_proxies_shun() {
    let mut controller =
        running(ControllerConfig { proxy_ejects_after_failures: 3, ..config() }, &["a", "b"], 1);
    controller.fleet_load.struggling = true;
    controller.endpoints_updated(at(2.0), &[listing("c", 0, Ready, Some(at(2.0)))]);
    assert_eq!(controller.host.count("line"), 0);
}

#[test]
fn cold_servers_are_all_there_is_when_all_are_cold() {
    let mut controller = running(ControllerConfig { proxy_ejects_after_failures: 3, ..config() }, &[], 1);
    controller.fleet_load.struggling = true;
    controller.endpoints_updated(at(2.0), &[listing("c", 0, Ready, Some(at(2.0)))]);
    assert!(controller.host.weight(0, "c").is_some());
}

#[test]
fn home_keeps_most_where_crossing_costs() {
    let mut controller = running(ControllerConfig { cross_zone_costs: true, ..config() }, &["a"], 1);
    controller.proxy_joined(at(1.0), 1, 1, 10.0, true);
    controller.endpoints_updated(at(2.0), &[listing("b", 1, Ready, None)]);
    assert!((controller.host.weight(ARCS_PER_ZONE, "b").unwrap() / 2.0 - 1.0 / 9.0).abs() < 1e-9);
}

#[test]
fn a_zone_without_servers_uses_the_others_in_full() {
    let mut controller = running(ControllerConfig { cross_zone_costs: true, ..config() }, &["a"], 0);
    controller.proxy_joined(at(1.0), 1, 5, 10.0, true);
    controller.timer_fired(at(1.2), Timer::Recheck);
    assert_eq!(controller.host.weight(6 * ARCS_PER_ZONE, "a"), Some(2.0));
}

#[test]
fn where_a_product_must_stay_a_table_holds_its_zone_alone() {
    let mut controller = running(second_stays(), &["a"], 1);
    controller.endpoints_updated(at(2.0), &[listing("b", 1, Ready, None), listing("c", 0, Ready, None)]);
    assert_eq!(
        (controller.host.weight(ARCS_PER_ZONE, "b"), controller.host.weight(ARCS_PER_ZONE, "c")),
        (None, Some(2.0))
    );
}

/// Sixty servers in each of two zones, and sixty proxies of both, where tables may hold sixteen lines.
fn tight() -> Controller<crate::testing::Recorder> {
    let tight =
        ControllerConfig { cross_zone_costs: true, proxy_count: 60, message_overhead_lines: 2.5, ..config() };
    let mut controller = running(tight, &[], 0);
    let fleet = (0..120).map(|k| listing(&format!("s{k}"), k % 2, Ready, None));
    controller.endpoint_list_replaced(at(0.5), &fleet.collect::<Vec<_>>());
    (0..60).for_each(|proxy| controller.proxy_joined(at(0.6), proxy, proxy % 2, 10.0, true));
    controller.timer_fired(at(0.8), Timer::Recheck);
    controller
}

#[test]
fn tables_that_all_could_not_leave_in_time_hold_an_arc_of_the_fleet_each() {
    let controller = tight();
    let lines = |t: &RouteTable| t.weights.len();
    assert!(
        controller.tables.by_number.len() > 8
            && controller.tables.by_number.values().all(|t| lines(t) == limits(&controller).max_table_size)
    );
    let homely = |t: &RouteTable| {
        t.weights.keys().filter(|id| Some(controller.endpoints.get(*id).unwrap().zone) == t.home_zone).count()
    };
    assert!(controller
        .tables
        .by_number
        .values()
        .all(|t| homely(t) * REMOTE_ENDPOINTS_DIVISOR >= lines(t) * (REMOTE_ENDPOINTS_DIVISOR - 1)));
}

#[test]
fn servers_that_come_push_nothing_out_of_an_arc() {
    let mut controller = tight();
    let new: Vec<_> = (0..8).map(|k| listing(&format!("n{k}"), k % 2, Ready, Some(at(1.0)))).collect();
    controller.endpoints_updated(at(2.0), &new);
    controller.timer_fired(at(4.0), Timer::Evaluation);
    let ejected = controller.host.said.iter().filter(|s| s.starts_with("line") && s.ends_with(" 0"));
    assert!(ejected.count() <= 16);
}

#[test]
fn a_bind_waits_for_a_usable_server() {
    let mut controller = running(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 0, 10.0, false);
    controller.timer_fired(at(9.0), Timer::Heartbeat);
    assert_eq!(controller.host.count("bind"), 0);
}

#[test]
fn a_first_join_gets_the_best_there_is_once_the_budget_is_spent() {
    let mut controller = running(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 9, 10.0, true);
    controller.timer_fired(at(6.5), Timer::Heartbeat);
    assert_eq!(controller.host.count("bind 4 "), 1);
}

#[test]
fn held_binds_are_tried_again_on_a_jittered_heartbeat() {
    let mut controller = running(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 0, 10.0, true);
    let limits = limits(&controller);
    controller.assign_waiting(at(1.2), &limits);
    assert_eq!(controller.host.count("wake 2 "), 1);
}

#[test]
fn binds_wait_for_room_in_the_channel() {
    let mut controller = running(ControllerConfig { proxy_count: 400, ..config() }, &["a"], 0);
    (0..400).for_each(|proxy| controller.proxy_joined(at(1.0), proxy, 0, 10.0, true));
    controller.timer_fired(at(1.2), Timer::Recheck);
    let bound = controller.host.count("bind");
    let fits = 1000.0 * MAX_QUEUE_PART * MIN_ORDINARY_QUEUE_PART;
    assert!(bound as f64 * 7.0 <= fits && (bound + 1) as f64 * 7.0 > fits);
}

#[test]
fn standing_tables_are_bound_before_those_of_an_earlier_stream() {
    let mut controller = running(config(), &["a"], 0);
    controller.proxy_joined(at(1.0), 4, 0, 90.0, false);
    controller.proxy_joined(at(1.0), 5, 0, 10.0, true);
    controller.issue_commands(at(1.2));
    assert!(said(&mut controller).find("bind 5") < said(&mut controller).find("bind 4"));
}

#[test]
fn thin_standing_tables_bind_before_changes_go() {
    let mut controller = running(config(), &["a", "b", "c"], 1);
    controller.endpoints.get_mut("a").unwrap().state = Removed;
    controller.tables.by_number.get_mut(&0).unwrap().weights.remove("a");
    controller.endpoints.get_mut("c").unwrap().weight = 4.0;
    controller.proxy_joined(at(2.0), 4, 0, 90.0, true);
    controller.issue_commands(at(2.2));
    assert_eq!((controller.host.count("bind 4"), controller.host.count("line 0 c")), (1, 0));
}

#[test]
fn a_long_queue_asks_what_has_come_and_counts_it_off() {
    let mut controller = running(config(), &["a"], 0);
    (0..40).for_each(|proxy| controller.proxy_joined(at(1.0), proxy, 0, 10.0, true));
    controller.timer_fired(at(1.2), Timer::Recheck);
    let waiting = controller.channel.backlog.queued_lines(at(1.3));
    controller.acknowledged(at(1.3), 1, 7);
    assert!(
        controller.host.count("mark 1") == 1 && controller.channel.backlog.queued_lines(at(1.3)) < waiting
    );
}

#[test]
fn a_slight_change_is_not_worth_its_way_to_many() {
    let mut controller = running(ControllerConfig { channel_rate: 100.0, ..config() }, &["a", "b"], 4);
    let mut lighter = listing("b", 0, Ready, None);
    lighter.weight = 1.9;
    controller.endpoints_updated(at(9.0), &[lighter]);
    assert_eq!(controller.host.count("line"), 0);
}

/// Thirty bound proxies and servers "10" up to below `last`, more than the channel carries at once.
fn crowded(message_head: f64, last: u32) -> Controller<crate::testing::Recorder> {
    let ids: Vec<String> = (10..last).map(|k| k.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut controller = running(
        ControllerConfig { max_pushes: 0, message_overhead_lines: message_head, ..config() },
        &ids,
        30,
    );
    controller.proxies.joined.values_mut().for_each(|p| (p.is_assigned, p.receives_updates) = (true, true));
    controller
}

#[test]
fn of_many_that_left_who_left_first_goes_first() {
    let mut controller = crowded(3.0, 60);
    for (k, endpoint) in controller.endpoints.iter_mut().map(|(_, endpoint)| endpoint).enumerate() {
        (endpoint.state, endpoint.left) = (Draining, at(9.0 - k as f64 / 100.0));
    }
    controller.issue_commands(at(60.0));
    assert!(controller.host.weight(0, "59") == Some(0.0) && controller.host.weight(0, "10").is_none());
}

#[test]
fn a_joined_proxy_that_stays_unbound_is_told_who_is_out() {
    let mut controller = running(config(), &["a"], 0);
    let a = controller.endpoints.get_mut("a").unwrap();
    (a.state, a.ejected) = (Removed, true);
    controller.proxy_joined(at(1.0), 4, 0, 10.0, false);
    controller.issue_commands(at(1.05));
    assert_eq!(controller.host.count("withdraw a true"), 1);
}

#[test]
fn a_proxy_that_joins_again_is_bound_again() {
    let mut controller = running(config(), &["a"], 1);
    controller.proxy_joined(at(2.0), 0, 0, 10.0, false);
    controller.timer_fired(at(2.2), Timer::Recheck);
    assert_eq!(controller.host.count("bind 0 0"), 1);
}

/// As when the event stream was reopened: nobody left, and the relay goes on sending them their table's lines.
#[test]
fn lines_to_proxies_told_of_anew_are_still_counted() {
    let mut controller = running(config(), &["a", "b"], 4);
    (0..4).for_each(|proxy| controller.proxy_joined(at(1.0), proxy, 0, 10.0, false));
    let before = controller.channel.backlog.recorded_lines;
    let heavier = EndpointUpdate { weight: 3.0, ..listing("b", 0, Ready, None) };
    controller.endpoints_updated(at(1.01), &[heavier]);
    let lines = controller.host.count("line") as f64;
    assert!(controller.channel.backlog.recorded_lines - before >= 4.0 * lines);
    controller.timer_fired(at(3.0), Timer::Evaluation);
    assert!(controller.host.weight(0, "b") == Some(3.0));
}

/// Messages to proxy 0 at these moments.
fn messages(controller: &mut Controller<crate::testing::Recorder>, moments: impl Iterator<Item = f64>) {
    moments.for_each(|moment| controller.channel.backlog.record(at(moment), 0, 1.0, 0.0));
}

#[test]
fn ordinary_changes_leave_messages_for_drains() {
    let mut controller = running(config(), &["a"], 1);
    messages(&mut controller, (1..=6).map(f64::from));
    assert!(
        room(&mut controller, at(7.0), Urgency::Ordinary) == 0.0
            && room(&mut controller, at(8.5), Urgency::Urgent) > 0.0
    );
}

#[test]
fn drains_never_pass_the_message_limit() {
    let mut controller = running(config(), &["a", "b"], 1);
    messages(&mut controller, (0..12).map(|k| 1.0 + 0.1 * f64::from(k)));
    controller.endpoints_updated(at(4.0), &[listing("a", 0, Draining, None)]);
    assert_eq!((controller.host.count("line"), controller.host.count("wake 4 ")), (0, 1));
}

#[test]
fn a_long_queue_holds_ordinary_changes_back() {
    let mut controller = running(config(), &["a"], 1);
    controller.channel.backlog = ChannelBacklog::default();
    controller.channel.backlog.record(at(2.0), 0, 895.0, 0.0);
    assert!(
        room(&mut controller, at(2.0), Urgency::Ordinary) < 1.0
            && room(&mut controller, at(2.0), Urgency::Urgent) > 4.0
    );
}

#[test]
fn what_cannot_wait_is_gathered_while_the_queue_is_long() {
    let mut controller =
        running(ControllerConfig { max_transit: Span::secs(0.1), ..config() }, &["a", "b", "c"], 1);
    controller.channel.backlog = ChannelBacklog::default();
    controller.channel.backlog.record(at(2.0), 0, 400.0, 0.0);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Draining, None)]);
    controller.endpoints_updated(at(2.5), &[listing("b", 0, Draining, None)]);
    assert_eq!(controller.host.count("line"), 0);
    controller.channel.backlog = ChannelBacklog::default();
    controller.issue_commands(at(2.6));
    assert_eq!((controller.host.weight(0, "a"), controller.host.weight(0, "b")), (Some(0.0), Some(0.0)));
}

#[test]
fn where_all_answers_are_lost_one_proxy_is_asked_anew() {
    let mut controller =
        running(ControllerConfig { max_transit: Span::secs(0.1), ..config() }, &["a", "b"], 2);
    controller.channel.backlog.record(at(2.0), 0, 400.0, 0.0);
    controller.issue_commands(at(2.5));
    assert_eq!(controller.host.count("bind"), 0);
    controller.issue_commands(at(2.7));
    assert_eq!((controller.host.count("bind"), controller.host.count("mark")), (1, 1));
}

#[test]
fn what_waited_for_a_proxy_that_left_does_not_wait_any_more() {
    let mut controller = running(config(), &["a"], 2);
    controller.channel.backlog.record(at(2.0), 1, 400.0, 0.0);
    let waited = controller.channel.backlog.queued_lines(at(2.0));
    controller.proxy_left(at(2.0), 1);
    assert!(controller.channel.backlog.queued_lines(at(2.0)) <= waited - 400.0);
}

#[test]
fn more_than_a_queue_holds_goes_in_pieces_and_never_waits_for_ever() {
    let mut controller = crowded(10.0, 90);
    controller.endpoints.iter_mut().map(|(_, endpoint)| endpoint).skip(1).for_each(|s| s.state = Draining);
    controller.issue_commands(at(90.0));
    assert!((8..79).contains(&controller.host.count("line")));
}

#[test]
fn while_drains_wait_for_room_nothing_else_goes() {
    let mut controller = crowded(3.0, 70);
    controller.endpoints.iter_mut().map(|(_, endpoint)| endpoint).for_each(|s| s.state = Draining);
    controller.admission.levels[0] = 0.5;
    controller.proxy_joined(at(59.0), 99, 0, 10.0, true);
    controller.issue_commands(at(60.0));
    assert!(
        controller.host.count("line") < 60
            && controller.host.count("level") + controller.host.count("bind") == 0
    );
}

#[test]
fn no_further_try_is_ever_ordered() {
    let mut controller = running(config(), &["a"], 0);
    controller.tables.by_number.insert(0, RouteTable::new(None));
    let limits = limits(&controller);
    let nothing = TableChanges { table: 0, receivers: Vec::new(), changes: Vec::new() };
    controller.send_changes(at(1.0), &limits, nothing, true);
    assert_eq!(
        controller.host.count("level"),
        controller.host.said.iter().filter(|s| s.ends_with("Never")).count()
    );
    assert_eq!(controller.host.count("level"), 2);
}

#[test]
fn a_server_that_hurts_more_than_its_peers_goes_down_a_rung() {
    let mut controller = running(config(), &["a", "b", "c", "d"], 1);
    controller.endpoints.iter_mut().map(|(_, endpoint)| endpoint).for_each(|s| s.outcomes.add(0, 20.0));
    controller.endpoints.get_mut("c").unwrap().outcomes.add(FAILED_BAND, 20.0);
    controller.detect_outliers(at(5.0));
    assert_eq!(
        controller
            .endpoints
            .iter()
            .map(|(_, endpoint)| endpoint)
            .map(|s| s.ejection_level)
            .collect::<Vec<_>>(),
        [0, 0, 1, 0]
    );
}

/// Two servers of whom `tries` are heard each, one that is not heard, and `a` with two tries.
fn detected(tries: f64, voided: f64, took: f64) -> Controller<crate::testing::Recorder> {
    let mut controller = running(config(), &["a", "b", "c", "d"], 1);
    ["b", "c"]
        .iter()
        .for_each(|id| controller.endpoint_outcomes(at(1.0), id, tries, 0.0, Span::ZERO, Span::ZERO));
    controller.endpoint_outcomes(at(1.0), "a", 2.0, voided, Span::secs(took), Span::ZERO);
    controller.detect_outliers(at(1.0));
    controller
}

#[test]
fn two_voided_tries_tell_enough_and_hold_a_server_back_until_nothing_hurts() {
    let mut controller = detected(9.0, 2.0, 0.0);
    assert_eq!(
        (controller.endpoints.get("a").unwrap().ejection_level, controller.fleet_load.median_score),
        (3, 0.0)
    );
    controller.endpoint_outcomes(at(9.0), "a", 2.0, 1.0, Span::ZERO, Span::ZERO);
    controller.detect_outliers(at(9.0));
    assert_eq!(
        controller.endpoints.get("a").unwrap().ejection_level,
        3,
        "its rest is over and it still hurts"
    );
}

#[test]
fn late_tries_tell_if_they_are_six_or_a_third_more_than_the_mean_server_has() {
    assert_eq!(detected(9.0, 0.0, 2.0).endpoints.get("a").unwrap().ejection_level, 0);
    assert_eq!(detected(3.0, 0.0, 2.0).endpoints.get("a").unwrap().ejection_level, 0);
    assert_eq!(detected(2.0, 0.0, 2.0).endpoints.get("a").unwrap().ejection_level, 3);
}

#[test]
fn only_part_of_the_fleet_is_held_back() {
    let mut controller = running(config(), &["a", "b", "c", "d", "e", "f", "g"], 1);
    controller.endpoints.iter_mut().map(|(_, endpoint)| endpoint).for_each(|s| s.outcomes.add(0, 100.0));
    for id in ["a", "b"] {
        controller.endpoints.get_mut(id).unwrap().set_ejection_level(5, at(5.0));
    }
    controller.endpoints.get_mut("c").unwrap().outcomes.add(FAILED_BAND, 900.0);
    controller.detect_outliers(at(5.0));
    assert_eq!(controller.endpoints.get("c").unwrap().ejection_level, 0);
}

#[test]
fn in_a_jam_no_server_is_held_back() {
    let mut controller = running(config(), &["a", "b", "c", "d"], 1);
    controller
        .endpoints
        .iter_mut()
        .map(|(_, endpoint)| endpoint)
        .for_each(|s| (s.outcomes.add(0, 6.0), s.outcomes.add(FAILED_BAND, 4.0)).0);
    controller.endpoints.get_mut("c").unwrap().outcomes.add(FAILED_BAND, 90.0);
    controller.endpoints.get_mut("d").unwrap().outcomes.add(0, 200.0);
    controller.detect_outliers(at(5.0));
    assert!(controller.endpoints.iter().map(|(_, endpoint)| endpoint).all(|s| s.ejection_level == 0));
}

#[test]
fn a_rung_is_let_go_after_a_rest_however_late_the_timers_are() {
    for (late, ejection_level) in [(4.0, 2), (4.004, 2), (5.0, 1), (5.02, 1)] {
        let mut controller = running(config(), &["a", "b"], 1);
        let a = controller.endpoints.get_mut("a").unwrap();
        (a.ejection_level, a.ejection_count, a.ejection_level_since) = (2, 1, at(1.0));
        controller.detect_outliers(at(1.0 + late));
        assert_eq!(controller.endpoints.get("a").unwrap().ejection_level, ejection_level);
    }
}

#[test]
fn reports_of_the_weight_before_the_last_move_do_not_count() {
    let mut controller = running(config(), &["a"], 1);
    (
        controller.endpoints.get_mut("a").unwrap().ejection_level,
        controller.endpoints.get_mut("a").unwrap().ejection_level_since,
    ) = (1, at(5.0));
    controller.endpoint_outcomes(at(6.0), "a", 10.0, 10.0, Span::ZERO, Span::secs(1.0));
    assert_eq!(controller.endpoints.get("a").unwrap().outcomes.total(), 0.0);
}

#[test]
fn overload_lets_in_what_is_answered_and_the_dearest_first() {
    let mut controller = running(config(), &["a"], 1);
    controller.fleet_load = FleetLoad {
        demand: vec![100.0, 50.0],
        attempts: 150.0,
        answered: 60.0,
        served: 60.0,
        window: Span::secs(1.0),
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert!(controller.admission.levels[0] <= MIN_LEVEL && controller.admission.levels[1] == 1.0);
}

/// What a supervisor knows three seconds after its start: a few tries of the first proxies that joined it.
fn just_started(tries: f64, joined_lately: f64) -> Controller<crate::testing::Recorder> {
    let mut controller = running(config(), &["a", "b"], 4);
    let (demand, window) = (vec![10.0, 10.0], Span::secs(2.0));
    let joined_rates = joined_lately * window.as_secs();
    controller.fleet_load = FleetLoad {
        demand,
        window,
        attempts: tries,
        answered: tries,
        served: tries,
        median_score: 0.3,
        joined_rates,
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    controller
}

#[test]
fn a_few_tries_do_not_tell_that_the_fleet_hurts() {
    assert_eq!(just_started(3.0, 40.0).admission.budget, None);
    assert!(just_started(6.0, 40.0).admission.budget.is_some());
}

#[test]
fn while_proxies_come_what_was_answered_is_no_measure_for_them() {
    // 40 requests a second are joined now.
    let mut controller = just_started(20.0, 10.0);
    assert_eq!(controller.admission.budget, None);
    // They have been here for as long as their reports take.
    controller.fleet_load.joined_rates = 80.0;
    controller.shed_load(at(11.9));
    assert_eq!(controller.admission.budget, None);
    controller.fleet_load.joined_rates = 80.0;
    controller.shed_load(at(12.0));
    assert!(controller.admission.budget.is_some());
}

#[test]
fn levels_come_back_once_the_fleet_is_well() {
    let mut controller = running(config(), &["a"], 1);
    let (demand, window) = (vec![100.0, 50.0], Span::secs(1.0));
    controller.admission.budget = Some(100.0);
    controller.fleet_load =
        FleetLoad { demand, window, attempts: 90.0, answered: 90.0, ..FleetLoad::default() };
    controller.shed_load(at(9.0));
    assert!(controller.admission.budget.unwrap() > 100.0);
}

#[test]
fn a_budget_grows_with_the_proxies_that_come_back() {
    let mut controller = running(config(), &["a"], 1);
    // Nine tenths of 20 were answered lately to one proxy of 10 a second.
    let (demand, window) = (vec![0.0, 20.0], Span::secs(1.0));
    controller.fleet_load =
        FleetLoad { demand, window, attempts: 20.0, answered: 5.0, served: 20.0, ..FleetLoad::default() };
    controller.shed_load(at(9.0));
    assert_eq!(controller.admission.levels[1], 0.9);
    (1..4).for_each(|proxy| controller.proxy_joined(at(9.5), proxy, 0, 10.0, false));
    controller.fleet_load =
        FleetLoad { demand: vec![0.0, 80.0], struggling: true, ..std::mem::take(&mut controller.fleet_load) };
    controller.shed_load(at(9.5));
    assert_eq!(controller.admission.levels[1], 0.9);
}

#[test]
fn a_failed_list_call_is_made_again() {
    let mut controller = running(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    controller.endpoint_watch_failed(at(3.0));
    assert_eq!(controller.host.count("wake 3 "), 1);
}

#[test]
fn the_first_failure_of_the_list_is_answered_at_once_and_those_right_after_it_with_a_pause() {
    let mut controller = running(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    for (now, at_once) in [(3.0, true), (3.1, false), (4.2, false), (6.0, true)] {
        controller.host.said.clear();
        controller.endpoint_watch_failed(at(now));
        assert_eq!(controller.host.said == ["wake 3 0"], at_once, "at {now}: {:?}", controller.host.said);
    }
}

#[test]
fn reports_for_servers_never_listed_are_passed_over() {
    let mut controller = running(config(), &["a"], 1);
    controller.endpoint_outcomes(at(1.0), "nobody", 5.0, 5.0, Span::ZERO, Span::ZERO);
    assert_eq!(controller.fleet_load.attempts, 0.0);
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
    let mut controller = running(zero, &["a"], 2);
    controller.endpoints_updated(at(2.0), &[listing("b", 0, Ready, Some(at(2.0)))]);
    assert_eq!(controller.host.weight(0, "b"), Some(2.0));
}

#[test]
fn a_server_long_gone_is_forgotten_and_served_again_when_its_id_returns() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Removed, None)]);
    controller.timer_fired(at(61.0), Timer::Evaluation);
    assert!(controller.endpoints.get("a").is_some());
    controller.timer_fired(at(63.0), Timer::Evaluation);
    assert!(
        controller.endpoints.get("a").is_none()
            && said(&mut controller).contains("withdraw a false\nforget a")
    );
    controller.endpoints_updated(at(64.0), &[listing("a", 0, Ready, None)]);
    controller.timer_fired(at(65.0), Timer::Evaluation);
    assert_eq!(controller.host.weight(0, "a"), Some(2.0));
}

#[test]
fn a_fleet_replaced_for_hours_leaves_nothing_behind() {
    let mut controller = running(config(), &["s0"], 2);
    let id = |n: u32| format!("s{n}");
    for n in 1..3_000_u32 {
        let now = at(f64::from(n) * 4.0);
        controller.endpoints_updated(
            now,
            &[listing(&id(n - 1), 0, Removed, None), listing(&id(n), 0, Ready, None)],
        );
        controller.timer_fired(now + Span::secs(2.0), Timer::Evaluation);
    }
    assert!(controller.endpoints.len() < 20 && controller.tables.by_number[&0].weights.len() == 1);
    assert!(
        controller.channel.backlog.retained_entries() < 200,
        "{}",
        controller.channel.backlog.retained_entries()
    );
}

#[test]
fn a_slice_whose_server_left_gets_another() {
    let mut controller = running(ControllerConfig { shards: 2, ..config() }, &["a", "b"], 0);
    controller.shard_assigned(1);
    controller.shard_weight_restored(1, &"a".into(), 1.0);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Removed, None)]);
    assert_eq!(controller.host.said, ["withdraw a true", "line 1 a 0", "line 1 b 1"]);
}

#[test]
fn a_slice_with_one_writer_stops_its_writes_before_it_moves() {
    let mut config = ControllerConfig { shards: 2, single_writer: true, ..config() };
    config.request_classes[1].writes = true;
    let mut controller = running(config, &["a", "b"], 0);
    controller.shard_assigned(1);
    controller.shard_weight_restored(1, &"a".into(), 1.0);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Draining, None)]);
    assert_eq!(controller.host.said, ["withdraw a true", "level 1 2 0.00 Never"]);
}

#[test]
fn commands_that_were_lost_go_again_and_nothing_overtakes_them() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.commands_lost(at(2.0), false);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Draining, None)]);
    controller.timer_fired(at(2.1), Timer::Resend);
    assert_eq!(controller.host.said, ["wake 5 50000", "repeat"]);
}

#[test]
fn what_was_held_behind_lost_commands_goes_once_they_are_taken() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.commands_lost(at(2.0), false);
    controller.endpoints_updated(at(2.0), &[listing("a", 0, Draining, None)]);
    controller.commands_accepted(at(2.1));
    assert_eq!(controller.host.said[1..], ["line 0 a 0", "withdraw a true"]);
}

#[test]
fn strays_wait_for_bars_from_when_a_server_leaves_although_no_order_gets_out() {
    let mut controller = crowded(3.0, 20);
    controller.channel.backlog = ChannelBacklog::default();
    controller.commands_lost(at(2.0), false);
    controller.proxies.joined.values_mut().for_each(|p| (p.is_assigned, p.receives_updates) = (false, false));
    controller.endpoints_updated(at(2.1), &[listing("12", 0, Draining, None)]);
    controller.commands_accepted(at(4.0));
    assert_eq!(controller.host.count("withdraw 12 true"), 1);
}

#[test]
fn a_server_that_was_let_back_in_is_barred_again_when_it_leaves_again() {
    let mut controller = running(config(), &["a", "b"], 1);
    for (now, state) in [(2.0, Draining), (4.0, Ready), (6.0, Draining)] {
        controller.endpoints_updated(at(now), &[listing("a", 0, state, None)]);
        controller.timer_fired(at(now + 1.0), Timer::Evaluation);
    }
    let bars: Vec<&String> =
        controller.host.said.iter().filter(|said| said.starts_with("withdraw")).collect();
    assert_eq!(bars, ["withdraw a true", "withdraw a false", "withdraw a true"]);
}

#[test]
fn commands_that_may_have_been_carried_out_count_twice() {
    let mut controller = running(config(), &["a", "b"], 1);
    let waiting = controller.channel.backlog.queued_lines(at(0.2));
    controller.commands_lost(at(0.2), true);
    assert!(controller.channel.backlog.queued_lines(at(0.2)) >= 2.0 * waiting);
}

#[test]
fn lost_commands_that_reach_nobody_wait_for_nobodys_lines() {
    let mut controller = running(config(), &["a", "b"], 1);
    let lines = controller.channel.backlog.recorded_lines;
    controller.issue_commands(at(1.0));
    controller.commands_lost(at(1.0), true);
    assert_eq!(
        (controller.channel.backlog.recorded_lines, controller.host.said.last().unwrap().as_str()),
        (lines, "wake 5 50000")
    );
}

#[test]
fn a_repeat_of_what_may_have_been_carried_out_is_marked_and_clears_the_queue_when_it_comes() {
    let mut controller = running(config(), &["a", "b"], 1);
    (0..50).for_each(|n| controller.commands_lost(at(1.0 + f64::from(n)), true));
    controller.acknowledged(at(51.0), 50, 0);
    assert_eq!((controller.host.count("mark"), controller.channel.backlog.queued_lines(at(51.0))), (50, 0.0));
}

#[test]
fn a_declined_bind_is_ordered_again() {
    let mut controller = running(config(), &["a"], 1);
    controller.assignment_rejected(at(2.0), 0);
    controller.timer_fired(at(2.2), Timer::Recheck);
    assert_eq!(controller.host.count("bind 0 0"), 1);
}

#[test]
fn a_declined_line_is_ordered_again() {
    let mut controller = running(config(), &["a", "b"], 1);
    controller.weight_rejected(0, &"b".into());
    controller.timer_fired(at(2.0), Timer::Recheck);
    assert_eq!(controller.host.weight(0, "b"), Some(2.0));
}
