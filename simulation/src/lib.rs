//! Discrete-event simulation of a described fleet under a load: clients, proxies, endpoints, the endpoint list, and
//! control-plane instances that run the real controller. There are no threads and no clock: the same plan and load give
//! the same result, to the bit.
//!
//! [`simulate`] is the entry point, [`SimulationPlan`] its input, [`SimulationResult`] its output. Inside, `engine.rs`
//! owns the state and the event loop and `setup.rs` the initial state; `client.rs`, `proxy.rs`, `endpoint_work.rs`,
//! `control_messages.rs` and `fault_injection.rs` say what the events of each party do. `endpoint.rs` models one
//! endpoint, `queue.rs` orders events, `slab.rs` stores requests and attempts. The emulator shares the route tables, the
//! proxy channel, the controller's host, the faults and the results.

mod client;
mod clock;
mod control_messages;
mod control_plane_instance;
mod controller_config;
mod endpoint;
mod endpoint_work;
mod engine;
mod event;
mod fault;
mod fault_injection;
mod plan;
mod proxy;
pub mod proxy_channel;
mod queue;
mod request_sampling;
pub mod results;
pub mod route_table;
mod setup;
pub mod simulated_host;
mod simulation_result;
mod slab;
mod usage;

pub use controller_config::controller_config;
pub use engine::simulate;
pub use fault::{Fault, ScheduledFault};
pub use plan::{LiftedLimits, SimulationPlan, TableSource};
pub use setup::endpoint_speeds;
pub use simulation_result::{EndpointResult, SimulationResult, StopReason};
