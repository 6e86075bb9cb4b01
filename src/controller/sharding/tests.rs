use crate::config::ControllerConfig;
use crate::host::{RequestClassSet, RetryPolicy, Timer};
use crate::test_support::{at, config, draining, eject, removed, running_controller, set_weight, Command};

#[test]
fn a_shard_whose_endpoint_is_no_longer_ready_gets_another() {
    let mut controller = running_controller(ControllerConfig { shards: 2, ..config() }, &["a", "b"], 0);
    controller.shard_assigned(1);
    controller.shard_weight_restored(1, &"a".into(), 1.0);
    controller.endpoints_updated(at(2.0), &[removed("a")]);
    let commands = [eject("a"), set_weight(1, "a", 0.0), set_weight(1, "b", 1.0)];
    assert_eq!(controller.host.commands, commands);
}

#[test]
fn a_shard_with_a_single_writer_stops_its_writes_before_it_moves() {
    let mut config = ControllerConfig { shards: 2, single_writer: true, ..config() };
    config.request_classes[1].writes = true;
    let mut controller = running_controller(config, &["a", "b"], 0);
    controller.shard_assigned(1);
    controller.shard_weight_restored(1, &"a".into(), 1.0);
    controller.endpoints_updated(at(2.0), &[draining("a")]);
    let writes = RequestClassSet::from_iter([1]);
    let stop_writes =
        Command::SetAdmission { table: 1, classes: writes, admitted: 0.0, retry: RetryPolicy::Never };
    assert_eq!(controller.host.commands, [eject("a"), stop_writes]);
}

/// Guards against ejections that are lifted 60 s after an endpoint was last ready, while a shard still names
/// it because no other endpoint can take over.
#[test]
fn an_endpoint_that_a_shard_names_is_not_forgotten() {
    let mut controller = running_controller(ControllerConfig { shards: 2, ..config() }, &["a"], 0);
    controller.shard_assigned(1);
    controller.shard_weight_restored(1, &"a".into(), 1.0);
    controller.endpoints_updated(at(2.0), &[draining("a")]);
    controller.endpoints_updated(at(3.0), &[removed("a")]);
    controller.timer_fired(at(63.0), Timer::Evaluation);
    assert_eq!(controller.host.ejections(), [eject("a")]);
}
