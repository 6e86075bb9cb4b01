//! Test helpers that access the private state of the controller.

use crate::config::ControllerConfig;
use crate::test_support::{config, running_controller, TestController};

/// Returns a running controller with 30 assigned proxies and the endpoints "10" up to but excluding `end`.
/// With a large `end`, the changes of all endpoints don't fit into the channel at once.
pub(super) fn running_large_fleet(message_overhead_lines: f64, end: u32) -> TestController {
    let ids: Vec<String> = (10..end).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let config = ControllerConfig { max_pushes: 0, message_overhead_lines, ..config() };
    let mut controller = running_controller(config, &ids, 30);
    for proxy in controller.proxies.joined.values_mut() {
        proxy.assignments[0].is_assigned = true;
        proxy.assignments[0].receives_updates = true;
    }
    controller
}
