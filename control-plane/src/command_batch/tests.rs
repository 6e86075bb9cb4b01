use super::*;
use crate::command::CommandKind;
use otterwinch::host::RequestClassSet;
use serde_json::Value;

fn command(kind: CommandKind) -> Command {
    command_with_json(format!("\"{}\"", "x".repeat(20_000)), kind)
}

fn command_with_json(json: String, kind: CommandKind) -> Command {
    Command { json, kind, deadline: None, requested_acknowledgements: VecDeque::new() }
}

/// The number of queued commands in the first batch, and whether it repeats the acknowledgement request.
fn first_batch(kinds: impl IntoIterator<Item = CommandKind>) -> (usize, bool) {
    let queue: VecDeque<Command> = kinds.into_iter().map(command).collect();
    let batch = CommandBatch::next(&queue, queue.len());
    assert!(batch.body.len() <= MAX_BODY_BYTES);
    let sent: Value = serde_json::from_str(&batch.body).unwrap();
    assert_eq!(sent["changes"].as_array().unwrap().len(), batch.sent_commands());
    (batch.queued_commands, batch.repeats_acknowledgement_request)
}

fn assignment(proxy: u32) -> CommandKind {
    CommandKind::Assignment { proxy, classes: RequestClassSet::ALL }
}

fn admission() -> CommandKind {
    CommandKind::Admission { table: 7 }
}

#[test]
fn a_batch_that_would_be_too_long_is_split_between_commands() {
    assert_eq!(first_batch((0..4).map(assignment)), (2, false));
}

#[test]
fn a_batch_is_split_between_tables_where_possible() {
    assert_eq!(first_batch([assignment(1), admission(), admission()]), (1, false));
    assert_eq!(first_batch([admission(), admission(), admission()]), (2, false));
}

/// A proxy with a table for each of two class groups is to get both in one message.
#[test]
fn the_assignments_of_a_proxy_stay_in_one_batch_where_possible() {
    assert_eq!(first_batch([assignment(1), assignment(2), assignment(2)]), (1, false));
}

#[test]
fn each_batch_repeats_the_acknowledgement_request() {
    let kinds =
        [assignment(1), assignment(2), assignment(3), CommandKind::AcknowledgementRequest { number: 9 }];
    assert_eq!(first_batch(kinds), (1, true));
}

#[test]
fn a_body_is_filled_up_to_the_limit_and_no_further() {
    let longest = MAX_BODY_BYTES - BODY_START.len() - BODY_END.len() - SEPARATOR.len() - 20_002;
    for (length, commands) in [(longest, 2), (longest + 1, 1)] {
        let second = command_with_json("1".repeat(length), assignment(2));
        let batch = CommandBatch::next(&VecDeque::from([command(assignment(1)), second]), 2);
        assert_eq!(batch.queued_commands, commands);
    }
}
