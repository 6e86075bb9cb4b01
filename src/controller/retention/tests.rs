use crate::config::ControllerConfig;
use crate::controller::test_support::Timeline;
use crate::host::{EndpointState, EndpointUpdate, Timer};
use crate::test_support::{
    at, config, draining, eject, removed, running_controller, set_weight, TestController,
};
use crate::time::{Moment, Span};

/// Something that the endpoint list tells, in seconds after the start of the test.
enum ListEvent {
    Changes(f64, Vec<EndpointUpdate>),
    WholeList(f64, Vec<EndpointUpdate>),
}

use ListEvent::{Changes, WholeList};

/// A deployment whose drain grace applies only to endpoints that were listed as draining. Removals must be
/// sent within 1.7 s.
fn only_draining_binds() -> ControllerConfig {
    ControllerConfig { drain_grace_excludes_removed: true, ..config() }
}

/// The time within which a removal must be sent in the tests' configuration.
const TIME_TO_SEND: Span = Span::from_us(1_700_000);

/// Starts a controller with the endpoints "a" to "e", which all answered recently, passes on what the list
/// tells, and lets 20 s pass.
fn play(config: ControllerConfig, events: Vec<ListEvent>) -> Timeline {
    let mut controller = running_controller(config, &["a", "b", "c", "d", "e"], 4);
    for (_, endpoint) in controller.endpoints.iter_mut() {
        endpoint.last_answered = Some(at(1.9));
    }
    let mut timeline = Timeline::new(controller, at(1.9));
    for event in events {
        match event {
            Changes(secs, updates) => {
                timeline.run_until(secs);
                timeline.step(|controller, now| controller.endpoints_updated(now, &updates));
            }
            WholeList(secs, updates) => {
                timeline.run_until(secs);
                timeline.step(|controller, now| controller.endpoint_list_replaced(now, &updates));
            }
        }
    }
    timeline.run_until(22.0);
    timeline
}

/// When an endpoint was removed from the only table.
fn removed_at(timeline: &Timeline, id: &str) -> Moment {
    timeline.last_issued(|command| *command == set_weight(0, id, 0.0)).expect("the endpoint is removed")
}

fn all(update: fn(&str) -> EndpointUpdate, ids: &[&str]) -> Vec<EndpointUpdate> {
    ids.iter().map(|id| update(id)).collect()
}

/// Guards against a table that keeps its draining endpoints along with those that the list dropped: each
/// weight has its own deadline, from when its endpoint was first listed as draining.
#[test]
fn a_retained_draining_endpoint_is_removed_within_its_grace_in_whichever_order_the_list_tells() {
    let (a_b, c_d_e) = (&["a", "b"], &["c", "d", "e"]);
    let both = |first: Vec<EndpointUpdate>, then: Vec<EndpointUpdate>| [first, then].concat();
    // What the list tells, and when it first told that "c", "d" and "e" are draining.
    let courses = [
        (vec![Changes(2.0, both(all(removed, a_b), all(draining, c_d_e)))], 2.0),
        (vec![Changes(2.0, both(all(draining, c_d_e), all(removed, a_b)))], 2.0),
        (vec![WholeList(2.0, all(draining, c_d_e))], 2.0),
        (vec![Changes(2.0, both(all(draining, c_d_e), all(removed, &["a", "b", "c", "d", "e"])))], 2.0),
        (vec![Changes(2.0, both(all(removed, &["a", "b", "c", "d", "e"]), all(draining, c_d_e)))], 2.0),
        (
            vec![
                Changes(2.0, both(all(removed, a_b), all(draining, c_d_e))),
                Changes(2.6, all(removed, c_d_e)),
            ],
            2.0,
        ),
        (
            vec![
                Changes(2.0, both(all(removed, a_b), all(draining, c_d_e))),
                Changes(2.5, all(removed, c_d_e)),
                Changes(3.0, all(draining, c_d_e)),
            ],
            2.0,
        ),
        (vec![WholeList(2.0, all(draining, c_d_e)), WholeList(2.6, vec![])], 2.0),
        (vec![WholeList(2.0, vec![]), Changes(2.8, all(draining, c_d_e))], 2.8),
        (vec![WholeList(2.0, vec![]), WholeList(2.8, all(draining, c_d_e))], 2.8),
        (
            vec![Changes(2.0, all(removed, &["a", "b", "c", "d", "e"])), Changes(2.8, all(draining, c_d_e))],
            2.8,
        ),
    ];
    for (number, (events, draining_since)) in courses.into_iter().enumerate() {
        let timeline = play(only_draining_binds(), events);
        for id in c_d_e {
            let after = removed_at(&timeline, id) - at(draining_since);
            assert!(after <= TIME_TO_SEND, "course {number}: {id} is removed after {after:?}");
            assert!(after >= TIME_TO_SEND * 0.7, "course {number}: {id} is removed after {after:?} already");
        }
        for id in a_b {
            let after = removed_at(&timeline, id) - at(2.0);
            assert!(
                after >= Span::from_secs(3.0),
                "course {number}: {id} is removed after {after:?} already"
            );
        }
    }
}

/// Guards against requests that a table sends to crashed endpoints while its draining ones could answer them.
#[test]
fn a_retained_weight_is_removed_once_reports_show_that_its_endpoint_no_longer_answers() {
    let mut controller = running_controller(only_draining_binds(), &["a", "b", "c"], 4);
    let report = |controller: &mut TestController, now, id, failed| {
        controller.outcomes_reported(now, id, 10.0, failed, Span::from_secs(0.1), Span::from_secs(1.0));
    };
    for id in ["a", "b", "c"] {
        report(&mut controller, at(1.0), id, 0.0);
    }
    // "a" crashed; "b" is out of the reach of one zone only.
    report(&mut controller, at(2.0), "a", 10.0);
    report(&mut controller, at(2.0), "b", 0.0);
    report(&mut controller, at(2.1), "b", 10.0);
    controller.endpoints_updated(at(2.2), &[removed("a"), removed("b"), draining("c")]);
    assert_eq!(controller.host.weight(0, "a"), Some(0.0));
    assert_eq!((controller.host.weight(0, "b"), controller.host.weight(0, "c")), (None, None));
}

/// Guards against a removal that no grace limits, and that therefore counts as overdue, taking the last
/// message that a proxy may be sent: the next drain would wait until the window of the limit has passed.
#[test]
fn an_endpoint_that_was_only_dropped_leaves_the_messages_to_one_that_drains() {
    let controller = running_controller(only_draining_binds(), &["a", "b", "c"], 1);
    let mut timeline = Timeline::new(controller, at(0.3));
    for message in 0..10 {
        timeline.run_until(0.4 + 0.05 * f64::from(message));
        timeline.step(|controller, now| controller.channel.backlog.record(now, 0, 1.0, 3.0));
    }
    timeline.run_until(1.0);
    timeline.step(|controller, now| controller.endpoints_updated(now, &[removed("a")]));
    timeline.run_until(2.5);
    timeline.step(|controller, now| controller.endpoints_updated(now, &[draining("b")]));
    timeline.run_until(22.0);
    assert!(removed_at(&timeline, "b") - at(2.5) <= TIME_TO_SEND, "{:?}", removed_at(&timeline, "b"));
}

#[test]
fn a_table_whose_endpoints_disappeared_and_do_not_answer_is_emptied() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert!(controller.host.commands.contains(&set_weight(0, "a", 0.0)));
}

#[test]
fn a_table_whose_endpoints_disappeared_but_still_answer_retains_its_weights() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.endpoints.get_mut("a").unwrap().last_answered = Some(at(1.5));
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert_eq!((controller.host.weight_count(), controller.host.ejections().len()), (0, 0));
}

#[test]
fn retained_weights_are_removed_within_the_drain_grace() {
    let mut controller = running_controller(config(), &["a"], 1);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.last_answered = Some(at(1.5));
    endpoint.listed.state = EndpointState::Removed;
    controller.tables.by_number.get_mut(&0).unwrap().retained_since = Some(at(2.0));
    controller.timer_fired(at(3.0), Timer::Recheck);
    assert!(controller.host.commands.contains(&eject("a")));
}
