//! Encodes the messages to the simulator that are not commands, and writes all messages as lines. Each
//! instance's `WireHost` encodes its commands.

use serde_json::{json, Value};

/// The report that an instance panicked and was stopped.
pub fn instance_failed(instance: u64, message: &str) -> Value {
    json!({"kind": "DIE", "who": instance, "msg": message})
}

/// The message that ends the reply to a batch.
pub fn batch_finished(number: u64) -> Value {
    json!({"kind": "FINISHED", "serial": number})
}

/// Appends a message to the buffer as one line.
pub fn append_line(buffer: &mut Vec<u8>, message: &Value) {
    buffer.extend_from_slice(message.to_string().as_bytes());
    buffer.push(b'\n');
}
