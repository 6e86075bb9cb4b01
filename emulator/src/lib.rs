//! Emulates a fleet from its description: endpoints, proxies, the endpoint list, the relay, collectors and
//! clients, with the real controller or control-plane program. They speak HTTP/1.1 and the published
//! protocol, either on loopback sockets in real time or over in-memory streams on a paused clock. On a paused
//! clock, tests run the same code in a fraction of the emulated time.
//!
//! [`Testbed`] is the entry point: it starts a fleet from its description, sends it a load and injects
//! faults.
//!
//! | module | contents |
//! | --- | --- |
//! | `testbed` | start of a fleet, fault injection, results |
//! | `network` | the connections between clients and servers |
//! | `clients`, `proxy`, `endpoint` | the clients, the proxies and the endpoints |
//! | `endpoint_list`, `relay`, `collector` | one peer of the control plane each |
//! | `proxy_channel` | the messages from a control-plane instance to its proxies |
//! | `load_report` | the load that the proxies report to a control-plane instance |
//! | `in_process_control_plane` | a control-plane instance in this process |
//! | `control_plane_config` | the configuration of an instance that runs as a separate process |

mod clients;
mod collector;
mod control_plane_config;
mod endpoint;
mod endpoint_list;
mod endpoint_status;
mod error;
mod frame;
mod http;
mod http_connector;
mod in_process_control_plane;
mod live_proxies;
mod load_report;
mod network;
mod proxy;
mod proxy_channel;
mod relay;
mod sync;
mod task;
mod testbed;
mod time;

pub use clients::{ClientResults, Progress};
pub use error::TestbedError;
pub use network::{MemoryNetwork, Network};
#[cfg(any(test, feature = "paused"))]
pub use testbed::run_on_paused_clock;
pub use testbed::{TableSource, Testbed, TestbedResult};
