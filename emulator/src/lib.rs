//! Emulation of a described fleet: endpoints, proxies, the endpoint list, the relay, collectors and clients, around the
//! real control plane. The parties speak HTTP/1.1 and the published protocol on loopback sockets in real time, or over
//! in-memory streams on a paused clock, so that what is measured in real time is tested in a fraction of it.
//!
//! [`Testbed`] is the entry point: it starts a fleet from its description and plays a load and faults on it.
//!
//! | module | owns |
//! | --- | --- |
//! | `testbed` | the parties of a fleet, fault injection, the results |
//! | `network` | the connections between the parties |
//! | `clients`, `proxy`, `endpoint` | one party of the request path each |
//! | `endpoint_list`, `relay`, `collector` | one party of the control plane's protocol each |
//! | `proxy_channel` | the messages from a control-plane instance to its proxies |
//! | `load_report` | what the proxies report to a control-plane instance |
//! | `in_process_control_plane` | a control-plane instance in this process |
//! | `control_plane_config` | the configuration of an instance in a process of its own |

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
