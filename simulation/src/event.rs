//! The events of a simulation.

use crate::slab::Handle;
use otterwinch::host::Timer;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    Answered,
    /// The endpoint failed it after it had begun.
    Failed,
    /// The endpoint rejected it or refused the connection: it is proven not to have run.
    NeverRan,
    /// The connection broke: whether it ran isn't known.
    ConnectionBroken,
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A client's attempt reaches its proxy.
    AttemptAtProxy { request: Handle, attempt_number: u32 },
    /// A proxy's attempt reaches its endpoint.
    AttemptAtEndpoint { attempt: u32 },
    /// A core has done the work of an attempt.
    WorkDone { attempt: Handle },
    /// The outcome of an attempt is back at its proxy.
    OutcomeAtProxy { attempt: u32, outcome: AttemptOutcome },
    /// A client gives up its attempt.
    AttemptTimeout { request: Handle, attempt_number: u32 },
    /// A client retries.
    Retry { request: Handle },
    /// An endpoint notices that the connection of an attempt was closed.
    ConnectionClosed { attempt: Handle },
    /// A scheduled fault is due.
    InjectFault { index: u32 },
    /// Usage is recorded and idle connections are closed.
    Maintenance,
    /// A timer of a controller fires.
    TimerFired { instance: u32, timer: Timer },
    /// The report interval of an instance ends.
    ReportDue { instance: u32 },
    /// The earliest report in transit reaches its instance.
    ReportArrives { instance: u32 },
    /// A change of the endpoint list reaches an instance.
    EndpointsUpdated { instance: u32, update: u32 },
    /// The commands that an instance has issued at this time are sent.
    SendCommands { instance: u32 },
    /// The earliest message in transit from an instance reaches its proxy.
    MessageAtProxy { instance: u32 },
    /// A proxy's acknowledgement reaches its instance.
    Acknowledged { instance: u32, number: u32, proxy: u32, stream: u32 },
}
