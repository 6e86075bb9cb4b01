//! A bound on the work that a task does before the other tasks get their turn.
//!
//! All tasks share one thread. A task that finds more input each time it looks, as the peer sends at full
//! speed, does not wait and so never lets the others run by itself.

use tokio::task::yield_now;

/// The bytes of messages that a task handles in one turn.
const BYTES_PER_TURN: usize = 16 << 10;
/// The cost of a message in addition to its bytes, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

/// What a task may still handle in its present turn.
pub struct TurnBudget {
    remaining_bytes: usize,
}

impl Default for TurnBudget {
    fn default() -> Self {
        TurnBudget { remaining_bytes: BYTES_PER_TURN }
    }
}

impl TurnBudget {
    /// Counts a message of this length. Lets the other tasks run if the budget is used up.
    pub async fn spend(&mut self, message_bytes: usize) {
        let cost = message_bytes + MESSAGE_OVERHEAD_BYTES;
        if cost < self.remaining_bytes {
            self.remaining_bytes -= cost;
            return;
        }
        yield_now().await;
        self.remaining_bytes = BYTES_PER_TURN;
    }
}

#[cfg(test)]
mod tests;
