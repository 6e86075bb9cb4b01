//! An event-driven play of a described fleet under a load: clients, forwarders, nodes, the list, and supervisors that run
//! the real rules through their `Host`. No thread and no clock; the same plan and load give the same bytes.
//!
//! [`play`] is the one entry. `engine.rs` holds what there is and which event comes next, `life.rs` the life of a txn,
//! `word.rs` what supervisors hear and order, `mishap.rs` what befalls a fleet. `queue.rs` orders events, `node.rs` is a
//! node, `table.rs` what forwarders hold, `control.rs` a supervisor, `tally.rs` what it came to.

pub mod control;
mod controller_config;
mod engine;
mod happening;
mod life;
mod mishap;
mod node;
pub mod queue;
pub mod table;
pub mod tally;
mod word;

pub use controller_config::controller_config;
pub use engine::{play, speeds, NodeOutcome, Outcome, Plan, Steering, Without};
pub use happening::{At, Happening};
