//! A test bed that runs the built program on loopback sockets with a fake endpoint list and a fake relay.
//! Both fakes are implemented from the published protocol. Every wait is for an event and has the same long
//! timeout.

mod control_plane;
mod endpoint_list;
mod http;
mod relay;

pub use control_plane::{
    config_with_peers, encode_frame, program_command, read_frame, ConfigFile, ControlPlane,
};
pub use endpoint_list::{endpoint_entry, FakeEndpointList, ListResponse};
pub use relay::{FakeRelay, RelayBehavior};

use std::time::{Duration, Instant};

/// The timeout of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Calls `poll` until it returns a result, without pausing between the calls.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    while started.elapsed() < TIMEOUT {
        if let Some(result) = poll() {
            return result;
        }
    }
    panic!("timed out waiting for {what}");
}

/// A running control plane with its endpoint list and its relay.
pub struct Testbed {
    pub list: FakeEndpointList,
    pub relay: FakeRelay,
    pub control_plane: ControlPlane,
}

impl Testbed {
    /// Starts a control plane and waits until it has read a list of these active endpoints.
    pub fn start(endpoints: &[&str]) -> Testbed {
        let list = FakeEndpointList::start(endpoints);
        let relay = FakeRelay::start();
        let control_plane = ControlPlane::start(&list, &relay);
        // A proxy that joins before any endpoint is known would be assigned one of the initial tables.
        control_plane.wait_for_status(&format!(r#""servers":{},"#, endpoints.len()));
        Testbed { list, relay, control_plane }
    }

    /// Starts a control plane with the endpoints `a` and `b`, and waits until it has assigned a table to
    /// proxy 7.
    pub fn start_with_proxy() -> Testbed {
        let testbed = Testbed::start(&["a", "b"]);
        testbed.relay.join_proxy(7);
        testbed.relay.next_command("attach");
        testbed
    }
}
