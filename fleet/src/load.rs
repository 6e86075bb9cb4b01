//! The form of load that simulations and emulations accept.

/// A request and the time at which its client sends it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduledRequest {
    /// Seconds since the start of the load.
    pub at: f64,
    /// The index of its class in the fleet.
    pub request_class: usize,
    /// The index of its client's zone in the fleet.
    pub zone: usize,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    /// The idempotency key or a hash of it, equal for requests with the same key; `None` if there is none.
    pub idempotency_key: Option<u64>,
}
