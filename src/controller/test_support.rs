//! Test support that reaches into the controller's state.

use crate::config::ControllerConfig;
use crate::testing::{config, running_controller, TestController};

/// A controller of thirty assigned proxies and endpoints "10" to below `end`, more than the channel carries
/// at once.
pub(super) fn running_crowded(message_overhead_lines: f64, end: u32) -> TestController {
    let ids: Vec<String> = (10..end).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let config = ControllerConfig { max_pushes: 0, message_overhead_lines, ..config() };
    let mut controller = running_controller(config, &ids, 30);
    for proxy in controller.proxies.joined.values_mut() {
        proxy.is_assigned = true;
        proxy.receives_updates = true;
    }
    controller
}
