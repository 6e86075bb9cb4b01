//! The events of a simulation.

use crate::slab::Handle;
use otterwinch::host::Timer;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptOutcome {
    Answered,
    /// The endpoint started to execute the attempt, which then failed.
    Failed,
    /// The endpoint rejected the attempt or refused the connection, which proves that it was not executed.
    NotExecuted,
    /// The connection broke; it is unknown whether the attempt was executed.
    ConnectionBroken,
}

/// An event of the simulation, due at a point in simulated time.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// A client's attempt reaches its proxy.
    AttemptAtProxy { request: Handle, attempt_number: u32 },
    /// A proxy's attempt reaches its endpoint.
    AttemptAtEndpoint { attempt: u32 },
    /// A core has finished the work of an attempt.
    WorkDone { attempt: Handle },
    /// The outcome of an attempt reaches its proxy.
    OutcomeAtProxy { attempt: u32, outcome: AttemptOutcome },
    /// An attempt of a client times out.
    AttemptTimeout { request: Handle, attempt_number: u32 },
    /// A client sends a retry.
    Retry { request: Handle },
    /// An endpoint notices that the connection of an attempt was closed.
    ConnectionClosed { attempt: Handle },
    /// A scheduled fault is due.
    InjectFault { index: u32 },
    /// Usage is recorded, and connections that exceeded the idle timeout are closed.
    Maintenance,
    /// A timer of an instance's controller fires.
    TimerFired { instance: u32, timer: Timer },
    /// The report interval of an instance ends.
    ReportDue { instance: u32 },
    /// The earliest report in transit reaches its instance.
    ReportArrives { instance: u32 },
    /// A change of the endpoint list reaches an instance.
    EndpointsUpdated { instance: u32, update: u32 },
    /// The commands that an instance issued at this time are sent to its proxies.
    SendCommands { instance: u32 },
    /// The earliest message in transit from an instance reaches its proxy.
    MessageAtProxy { instance: u32 },
    /// A proxy's acknowledgement reaches its instance, with the number that the instance requested.
    Acknowledged { instance: u32, acknowledgement: u32, proxy: u32, stream: u32 },
}
