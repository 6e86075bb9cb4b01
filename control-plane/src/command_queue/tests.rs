use super::*;
use otterwinch::host::{EndpointId, RetryPolicy};
use otterwinch::time::Moment;

fn queue_of<const N: usize>(commands: [Command; N]) -> CommandQueue {
    let mut queue = CommandQueue::default();
    queue.enqueue(commands.into());
    queue
}

fn json_of(commands: &VecDeque<Command>) -> Vec<&str> {
    commands.iter().map(|command| command.json.as_str()).collect()
}

fn assert_waiting<const N: usize>(queue: &CommandQueue, expected: [Command; N]) {
    assert_eq!(json_of(&queue.waiting), json_of(&expected.into()));
}

fn assignment(proxy: u32) -> Command {
    Command::assign_table(proxy, 0)
}

fn weight(endpoint: &str, weight: f64) -> Command {
    Command::set_weight(0, &EndpointId::from(endpoint), weight)
}

fn removal(endpoint: &str, deadline_us: i64) -> Command {
    weight(endpoint, 0.0).with_deadline(Some(Moment::from_us(deadline_us)))
}

/// Makes a call, which fails.
fn fail_next_call(queue: &mut CommandQueue) -> CommandBatch {
    let batch = queue.next_batch().unwrap();
    queue.fail(batch.queued_commands);
    batch
}

#[test]
fn a_new_acknowledgement_request_replaces_that_of_the_call_that_failed() {
    let mut queue = queue_of([assignment(3), Command::request_acknowledgement(1)]);
    fail_next_call(&mut queue);
    queue.requeue_failed();
    queue.enqueue([Command::request_acknowledgement(2)].into());
    assert_waiting(&queue, [assignment(3), Command::request_acknowledgement(2)]);
}

#[test]
fn an_acknowledgement_request_replaces_an_earlier_one_also_before_the_failed_commands_are_queued_again() {
    let mut queue = queue_of([assignment(3), Command::request_acknowledgement(1)]);
    fail_next_call(&mut queue);
    queue.enqueue([Command::request_acknowledgement(2)].into());
    queue.requeue_failed();
    assert_waiting(&queue, [assignment(3), Command::request_acknowledgement(2)]);
}

#[test]
fn commands_without_an_acknowledgement_request_keep_the_pending_one() {
    let mut queue = queue_of([Command::request_acknowledgement(1)]);
    queue.enqueue([assignment(3)].into());
    assert_waiting(&queue, [Command::request_acknowledgement(1), assignment(3)]);
}

#[test]
fn commands_with_a_deadline_go_first_in_the_order_of_their_deadlines() {
    let mut queue = queue_of([assignment(3), removal("a", 2)]);
    queue.enqueue([assignment(4), removal("b", 1)].into());
    assert_waiting(&queue, [removal("b", 1), removal("a", 2), assignment(3), assignment(4)]);
}

/// Guards against a removal that overtakes an earlier weight of its endpoint, which would then take effect
/// last.
#[test]
fn a_command_replaces_earlier_ones_about_the_same_object() {
    let endpoint = EndpointId::from("a");
    let eject = || Command::eject(&endpoint).with_deadline(Some(Moment::from_us(9)));
    let mut queue =
        queue_of([Command::restore(&endpoint), weight("a", 2.0), weight("b", 2.0), assignment(3)]);
    fail_next_call(&mut queue);
    queue.enqueue([removal("a", 9), eject(), assignment(3)].into());
    queue.requeue_failed();
    assert_waiting(&queue, [removal("a", 9), eject(), weight("b", 2.0), assignment(3)]);
}

/// Guards against a drain that waits until the commands of a failed call may be sent again.
#[test]
fn only_commands_with_a_deadline_are_sent_while_those_of_a_failed_call_wait() {
    let mut queue = queue_of([assignment(3)]);
    fail_next_call(&mut queue);
    queue.enqueue([assignment(4)].into());
    assert!(!queue.has_sendable() && queue.next_batch().is_none());
    queue.enqueue([removal("a", 9)].into());
    assert_eq!(queue.next_batch().map(|batch| batch.queued_commands), Some(1));
    queue.accept(1);
    assert!(!queue.has_sendable());
    queue.requeue_failed();
    assert_waiting(&queue, [assignment(3), assignment(4)]);
}

/// What failed and has a deadline is at least as urgent as what is issued later.
#[test]
fn failed_commands_with_a_deadline_are_sent_with_later_ones() {
    let mut queue = queue_of([assignment(3), removal("a", 8)]);
    fail_next_call(&mut queue);
    queue.enqueue([removal("b", 9)].into());
    assert_waiting(&queue, [removal("a", 8), removal("b", 9)]);
    assert_eq!(json_of(&queue.failed), json_of(&[assignment(3)].into()));
}

#[test]
fn assignments_of_proxies_that_left_are_dropped_also_from_a_failed_call() {
    let level = || Command::set_admission(0, &["quote"], 0.5, RetryPolicy::Never);
    let mut queue = queue_of([assignment(3), assignment(4)]);
    fail_next_call(&mut queue);
    queue.enqueue([assignment(5), level()].into());
    queue.retain_assignments(|proxy| proxy == 4);
    queue.requeue_failed();
    assert_waiting(&queue, [assignment(4), level()]);
}

/// Guards against commands that are sent again and again although the proxies have acknowledged them.
#[test]
fn commands_that_were_acknowledged_are_not_sent_again() {
    let mut queue = queue_of([assignment(3), Command::request_acknowledgement(1)]);
    fail_next_call(&mut queue);
    queue.enqueue([removal("a", 9)].into());
    assert!(!queue.acknowledged(7));
    assert!(queue.acknowledged(1));
    assert_waiting(&queue, [removal("a", 9)]);
    assert!(queue.failed.is_empty());
}

/// The channel may be so slow that the commands were sent again before the acknowledgement arrives.
#[test]
fn an_acknowledgement_of_an_earlier_copy_confirms_the_commands() {
    let mut queue = queue_of([assignment(3), Command::request_acknowledgement(1)]);
    for number in 2..4 {
        fail_next_call(&mut queue);
        queue.requeue_failed();
        queue.enqueue([Command::request_acknowledgement(number)].into());
    }
    assert!(queue.acknowledged(1));
    assert_eq!(queue.len(), 0);
}

/// If two calls request the same acknowledgement, it does not show which of them was carried out.
#[test]
fn an_acknowledgement_that_two_calls_requested_confirms_neither() {
    let long_weight = |endpoint: &str| weight(&endpoint.repeat(40_000), 2.0);
    let mut queue = queue_of([long_weight("a"), long_weight("b"), Command::request_acknowledgement(1)]);
    for _ in 0..2 {
        assert_eq!(fail_next_call(&mut queue).acknowledgement, Some(1));
        queue.requeue_failed();
    }
    assert!(!queue.acknowledged(1));
}
