//! Stand-ins for all that a supervisor works with: nodes, forwarders, list, relay, collectors and clients. They speak
//! HTTP/1.1 and the published protocol on loopback, or the same over streams in memory under a paused clock, so that
//! what is measured in real time is tested in a fraction of it.
//!
//! [`Rig`] starts a whole fleet from its description and plays a load. `net.rs` is where they meet; `node.rs`,
//! `forwarder.rs`, `list.rs`, `relay.rs` and `clients.rs` are one party each; `plane.rs` is the channel between a
//! supervisor and forwarders, `word.rs` what a supervisor process is told, `inside.rs` a supervisor in this process.

pub mod clients;
pub mod forwarder;
mod inside;
pub mod list;
pub mod net;
pub mod node;
pub mod plane;
pub mod relay;
mod rig;
pub mod word;

pub use net::Net;
#[cfg(any(test, feature = "paused"))]
pub use rig::in_memory;
pub use rig::{Played, Rig, Steering};
