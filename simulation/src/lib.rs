//! Discrete-event simulation of a fleet under load: clients, proxies, endpoints, the endpoint list, and
//! control-plane instances that run the real controller. It is single-threaded and reads no clock, so that
//! the same plan and load give bit-identical results.
//!
//! [`simulate`] is the entry point, [`SimulationPlan`] its input and [`SimulationResult`] its output.
//! `engine.rs` holds the state and the event loop, and `setup.rs` builds the initial state. The event
//! handlers are in `client.rs`, `proxy.rs`, `endpoint_work.rs`, `control_messages.rs`, `fault_injection.rs`
//! and `usage.rs`. `endpoint.rs` models one endpoint, `queue.rs` orders the events, and `slab.rs` stores
//! requests and attempts. The emulator shares the endpoint speeds, the route tables, the model of the proxy
//! channel, the controller's host and configuration, and the types of the faults and the results.

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
