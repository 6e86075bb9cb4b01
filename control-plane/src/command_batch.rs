//! Splits queued commands into calls to the relay.
//!
//! The relay forwards each call as a separate message, so a proxy that two calls reach gets two messages.
//! Proxies acknowledge a call only if it contains an acknowledgement request itself. Therefore commands that
//! reach the same proxies stay in one call where they fit, and an acknowledgement request at the end of the
//! queue is repeated at the end of each call. Without it, only the last call would be acknowledged.

use crate::command::Command;
use std::collections::VecDeque;

/// The relay does not read longer request bodies.
pub const MAX_BODY_BYTES: usize = 60_000;

const BODY_START: &str = r#"{"changes":["#;
const BODY_END: &str = "]}";
const SEPARATOR: &str = ",";

/// The commands of one call.
pub struct CommandBatch {
    /// The request body, as JSON.
    pub body: String,
    /// The number of commands that it takes from the front of the queue.
    pub queued_commands: usize,
    /// The number of the acknowledgement that the body requests, if it does.
    pub acknowledgement: Option<u32>,
    /// Whether the body ends with a copy of an acknowledgement request that itself stays in the queue.
    pub repeats_acknowledgement_request: bool,
}

impl CommandBatch {
    /// Builds the next batch from the first `max_commands` commands of a queue, of which there must be at
    /// least one.
    pub fn next(queue: &VecDeque<Command>, max_commands: usize) -> Self {
        let request = queue.back().filter(|command| command.is_acknowledgement_request());
        let reserved = request.map_or(0, |request| SEPARATOR.len() + request.json.len());
        let queued_commands = count_fitting_commands(queue, max_commands, MAX_BODY_BYTES - reserved);
        let repeated = request.filter(|_| queued_commands < queue.len());
        let commands_json: Vec<&str> =
            queue.iter().take(queued_commands).chain(repeated).map(|command| command.json.as_str()).collect();
        CommandBatch {
            body: [BODY_START, &commands_json.join(SEPARATOR), BODY_END].concat(),
            queued_commands,
            acknowledgement: request.and_then(Command::acknowledgement_number),
            repeats_acknowledgement_request: repeated.is_some(),
        }
    }

    /// The number of commands in the body, including a repeated acknowledgement request.
    pub fn sent_commands(&self) -> usize {
        self.queued_commands + usize::from(self.repeats_acknowledgement_request)
    }
}

/// The number of commands from the front of the queue that go into one body: as many as fit, up to
/// `max_commands`, but at least one. A group of commands that reach the same proxies is left for the next
/// batch if only part of it fits, unless it is the first group.
fn count_fitting_commands(queue: &VecDeque<Command>, max_commands: usize, max_bytes: usize) -> usize {
    let mut length = BODY_START.len() + BODY_END.len();
    let mut group_start = 0;
    for (position, command) in queue.iter().take(max_commands).enumerate() {
        if position > 0 {
            if !queue[position - 1].kind.reaches_same_proxies(&command.kind) {
                group_start = position;
            }
            length += SEPARATOR.len();
        }
        length += command.json.len();
        if position > 0 && length > max_bytes {
            return if group_start > 0 { group_start } else { position };
        }
    }
    max_commands.min(queue.len())
}

#[cfg(test)]
mod tests;
