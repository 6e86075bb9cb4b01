//! A testbed of the built program on loopback sockets between a fake endpoint list and a fake relay, both written from
//! the published protocol. Every wait is for an event, under one generous timeout.

mod control_plane;
mod endpoint_list;
mod http;
mod relay;

pub use control_plane::{config, frame, program, read_frame, ConfigFile, ControlPlane};
pub use endpoint_list::{endpoint_entry, FakeEndpointList, ListResponse};
pub use relay::{FakeRelay, RelayBehavior};

use std::time::{Duration, Instant};

/// Of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until there is a result.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    while begun.elapsed() < TIMEOUT {
        if let Some(result) = poll() {
            return result;
        }
    }
    panic!("timed out waiting for {what}");
}

/// A running control plane and its peers.
pub struct Testbed {
    pub list: FakeEndpointList,
    pub relay: FakeRelay,
    pub control_plane: ControlPlane,
}

impl Testbed {
    /// A control plane that has read a list of these active endpoints.
    pub fn start(endpoints: &[&str]) -> Testbed {
        let list = FakeEndpointList::start(endpoints);
        let relay = FakeRelay::start();
        let control_plane = ControlPlane::start(&list, &relay);
        // A proxy that joins before any endpoint is known is put on one of the initial tables.
        control_plane.wait_for_status(&format!(r#""servers":{},"#, endpoints.len()));
        Testbed { list, relay, control_plane }
    }

    /// A control plane whose proxy 7 is put on a table of the endpoints `a` and `b`.
    pub fn start_with_proxy() -> Testbed {
        let testbed = Testbed::start(&["a", "b"]);
        testbed.relay.join_proxy(7);
        testbed.relay.next_command("attach");
        testbed
    }
}
