use crate::host::{EndpointUpdate, Timer};
use crate::test_support::{at, config, draining, forget, ready, removed, restore, running_controller};
use crate::time::Span;

#[test]
fn an_endpoint_removed_long_ago_is_forgotten_and_used_again_when_its_id_returns() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.endpoints_updated(at(2.0), &[removed("a")]);
    controller.timer_fired(at(61.0), Timer::Evaluation);
    assert!(controller.endpoints.get("a").is_some());
    controller.timer_fired(at(63.0), Timer::Evaluation);
    assert!(controller.endpoints.get("a").is_none());
    assert!(controller.host.commands.windows(2).any(|pair| pair == [restore("a"), forget("a")]));
    controller.endpoints_updated(at(64.0), &[ready("a")]);
    controller.timer_fired(at(65.0), Timer::Evaluation);
    assert_eq!(controller.host.weight(0, "a"), Some(2.0));
}

#[test]
fn replacing_the_fleet_for_hours_does_not_accumulate_state() {
    let mut controller = running_controller(config(), &["s0"], 2);
    let id = |n: u32| format!("s{n}");
    for n in 1..3_000_u32 {
        let now = at(f64::from(n) * 4.0);
        controller.endpoints_updated(now, &[removed(&id(n - 1)), ready(&id(n))]);
        controller.timer_fired(now + Span::from_secs(2.0), Timer::Evaluation);
    }
    assert!(controller.endpoints.len() < 20);
    assert_eq!(controller.tables.by_number[&0].weights.len(), 1);
    let retained_entries = controller.channel.backlog.retained_entries();
    assert!(retained_entries < 200, "{retained_entries}");
}

/// Guards against an ejection that is lifted 60 s after the endpoint was last ready, while a proxy still
/// waits with the table that it brought, because its zone has no endpoint for a class that must not leave it.
#[test]
fn an_endpoint_is_not_forgotten_while_a_proxy_waits_that_may_have_it_in_its_former_table() {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    let elsewhere = EndpointUpdate { zone: 1, ..ready("b") };
    let mut controller = running_controller(config, &["a", "b"], 0);
    controller.endpoints_updated(at(1.0), &[elsewhere, draining("a")]);
    controller.endpoints_updated(at(4.0), &[removed("a")]);
    controller.proxy_joined(at(5.0), 7, 0, 10.0, false);
    for evaluation in 0..60 {
        controller.timer_fired(at(5.5 + f64::from(evaluation)), Timer::Evaluation);
    }
    assert!(!controller.host.commands.contains(&restore("a")));
    controller.proxy_left(at(66.5), 7);
    controller.timer_fired(at(67.0), Timer::Evaluation);
    assert!(controller.host.commands.windows(2).any(|pair| pair == [restore("a"), forget("a")]));
}
