//! Encodes what the process itself sends to the simulator, and the lines of every message. The commands of an instance
//! are encoded by its `WireHost`.

use serde_json::{json, Value};

/// An instance panicked and was stopped.
pub fn instance_failed(instance: u64, message: &str) -> Value {
    json!({"kind": "DIE", "who": instance, "msg": message})
}

/// The end of the reply to a batch.
pub fn batch_finished(serial: u64) -> Value {
    json!({"kind": "FINISHED", "serial": serial})
}

/// Appends a message as one line.
pub fn append_line(buffer: &mut Vec<u8>, message: &Value) {
    buffer.extend_from_slice(message.to_string().as_bytes());
    buffer.push(b'\n');
}
