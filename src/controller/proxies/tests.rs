use crate::host::{EndpointUpdate, Timer};
use crate::test_support::{at, config, ready, running_controller};

/// When the event stream is reopened, all proxies join again without having left, and the relay continues
/// to send them the changes of their tables. The lines of these changes must still be recorded.
#[test]
fn lines_to_proxies_that_join_again_are_still_counted() {
    let mut controller = running_controller(config(), &["a", "b"], 4);
    for proxy in 0..4 {
        controller.proxy_joined(at(1.0), proxy, 0, 10.0, false);
    }
    let before = controller.channel.backlog.recorded_lines;
    let heavier = EndpointUpdate { weight: 3.0, ..ready("b") };
    controller.endpoints_updated(at(1.01), &[heavier]);
    let lines = controller.host.weight_count() as f64;
    assert!(controller.channel.backlog.recorded_lines - before >= 4.0 * lines);
    controller.timer_fired(at(3.0), Timer::Evaluation);
    assert_eq!(controller.host.weight(0, "b"), Some(3.0));
}

#[test]
fn lines_for_a_proxy_that_left_are_no_longer_queued() {
    let mut controller = running_controller(config(), &["a"], 2);
    controller.channel.backlog.record(at(2.0), 1, 400.0, 0.0);
    let queued = controller.channel.backlog.queued_lines(at(2.0));
    controller.proxy_left(at(2.0), 1);
    assert!(controller.channel.backlog.queued_lines(at(2.0)) <= queued - 400.0);
}
