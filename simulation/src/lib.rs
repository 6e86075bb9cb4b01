//! An event-driven play of a described fleet under a load: clients, forwarders, nodes, the list, and supervisors that run
//! the real rules through their `Host`. No thread and no clock; the same plan and load give the same bytes.
//!
//! [`play`] is the one entry. `engine.rs` holds what there is and which event comes next, `request_lifecycle.rs` the life of a txn,
//! `control_messages.rs` what supervisors hear and order, `fault_injection.rs` what befalls a fleet. `queue.rs` orders events, `endpoint.rs` is a
//! node, `route_table.rs` what forwarders hold, `control_plane_instance.rs` a supervisor, `results.rs` what it came to.

mod control_messages;
pub mod control_plane_instance;
mod controller_config;
mod endpoint;
mod engine;
mod fault;
mod fault_injection;
pub mod proxy_channel;
pub mod queue;
mod request_lifecycle;
pub mod results;
pub mod route_table;
pub mod simulated_host;

pub use controller_config::controller_config;
pub use engine::{
    endpoint_speeds, simulate, EndpointResult, LiftedLimits, SimulationPlan, SimulationResult, TableSource,
};
pub use fault::{Fault, ScheduledFault};
