//! Cuts queued commands into calls to the relay.
//!
//! The relay passes each call on as a message of its own, so a proxy that two calls reach gets two messages, and only a
//! call's own request makes the proxies acknowledge it. Therefore commands that reach the same proxies stay in one call
//! where they fit, and an acknowledgement request at the end of the queue is repeated at the end of each call: without
//! it nobody would acknowledge any call but the last.

use crate::command::Command;
use std::collections::VecDeque;

/// The relay reads no longer body.
pub const MAX_BODY_BYTES: usize = 60_000;

const BODY_START: &str = r#"{"changes":["#;
const BODY_END: &str = "]}";
const SEPARATOR: &str = ",";

/// The body of one call.
pub struct CommandBatch {
    /// The JSON text.
    pub body: String,
    /// How many commands from the front of the queue it holds.
    pub commands: usize,
    /// Whether an acknowledgement request follows them that stays in the queue.
    pub repeats_acknowledgement_request: bool,
}

impl CommandBatch {
    /// The next batch of a queue that is not empty.
    pub fn next(queue: &VecDeque<Command>) -> Self {
        let request = queue.back().filter(|command| command.is_acknowledgement_request());
        let reserved = request.map_or(0, |request| SEPARATOR.len() + request.text.len());
        let commands = commands_that_fit(queue, MAX_BODY_BYTES - reserved);
        let repeated = request.filter(|_| commands < queue.len());
        let texts: Vec<&str> =
            queue.iter().take(commands).chain(repeated).map(|command| command.text.as_str()).collect();
        CommandBatch {
            body: [BODY_START, &texts.join(SEPARATOR), BODY_END].concat(),
            commands,
            repeats_acknowledgement_request: repeated.is_some(),
        }
    }

    /// How many commands the relay is sent with this batch.
    pub fn sent_commands(&self) -> usize {
        self.commands + usize::from(self.repeats_acknowledgement_request)
    }
}

/// How many commands from the front of the queue go into one body: as many as fit, less those at the end whose group
/// would be torn apart; at least one.
fn commands_that_fit(queue: &VecDeque<Command>, max_bytes: usize) -> usize {
    let mut length = BODY_START.len() + BODY_END.len();
    let mut group_start = 0;
    for (position, command) in queue.iter().enumerate() {
        if position > 0 {
            if !queue[position - 1].kind.reaches_same_proxies(&command.kind) {
                group_start = position;
            }
            length += SEPARATOR.len();
        }
        length += command.text.len();
        if position > 0 && length > max_bytes {
            return if group_start > 0 { group_start } else { position };
        }
    }
    queue.len()
}

#[cfg(test)]
mod tests;
