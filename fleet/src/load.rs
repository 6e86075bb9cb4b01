//! Load as simulations and emulations take it.

/// A request and the time at which its client sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduledRequest {
    /// Seconds since the load began.
    pub at: f64,
    /// The index of its class in the fleet.
    pub request_class: usize,
    /// The index of its client's zone in the fleet.
    pub zone: usize,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    /// A hash that all requests with the same reference share.
    pub idempotency_key: Option<u64>,
}
