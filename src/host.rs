//! The interface between the controller and the program that embeds it, whatever protocol carries its
//! commands.

use crate::time::{Moment, Span};
use std::rc::Rc;

/// The identifier of an endpoint, as the endpoint list gives it.
pub type EndpointId = Rc<str>;

/// A set of request classes: bit k stands for the class at position k of the configuration.
pub type RequestClassSet = u64;

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed and usable.
    Ready,
    /// Listed, and shutting down gracefully: it may be used until the drain grace ends.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// Which endpoint the entry describes.
    pub id: EndpointId,
    /// The position of its zone in the configuration.
    pub zone: u32,
    /// Its relative capacity; 1 where the list states none.
    pub weight: f64,
    /// Its state at the time of the update.
    pub state: EndpointState,
    /// Its latest start; `None` where that is long past.
    pub started: Option<Moment>,
}

/// When a proxy tries another endpoint. The protocols number these from 0 in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// No further attempt.
    Never,
    /// One further attempt, if the first is proven not to have run.
    IfNeverRan,
    /// One further attempt after any failure.
    Once,
    /// Two further attempts after any failure.
    Twice,
}

/// What a timer of the controller is for. Protocols that carry a number for a timer use [`Timer::label`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The periodic evaluation of load, outliers and admission.
    Evaluation = 1,
    /// The jittered heartbeat while an assignment is held back.
    AssignmentRetry = 2,
    /// The next attempt to watch the endpoint list.
    WatchRetry = 3,
    /// Another look soon, for what found no room or had to wait.
    Recheck = 4,
    /// The time to resend commands that were lost.
    Resend = 5,
}

impl Timer {
    /// The number that stands for this timer in a protocol.
    pub fn label(self) -> u64 {
        self as u64
    }

    /// The timer that a protocol's number stands for.
    pub fn from_label(label: u64) -> Option<Self> {
        let all =
            [Timer::Evaluation, Timer::AssignmentRetry, Timer::WatchRetry, Timer::Recheck, Timer::Resend];
        all.into_iter().find(|timer| timer.label() == label)
    }
}

/// What the controller needs of the program that embeds it.
///
/// Commands take effect in the order of the calls; those of one moment travel together as one message to each
/// proxy.
pub trait Host {
    /// Sets the weight of an endpoint in a route table; weight 0 removes it.
    fn set_endpoint_weight(&mut self, table: u32, endpoint: &EndpointId, weight: f64);
    /// Puts a joined proxy on a route table, for all request classes.
    fn assign_table(&mut self, proxy: u32, table: u32);
    /// Bars all joined proxies from an endpoint, whatever tables they hold.
    fn eject_endpoint(&mut self, endpoint: &EndpointId);
    /// Lifts the ejection of an endpoint.
    fn restore_endpoint(&mut self, endpoint: &EndpointId);
    /// An endpoint was removed long ago: no command names it any more unless the list does so again.
    fn forget_endpoint(&mut self, endpoint: &EndpointId);
    /// Sets the part of the requests of some classes that a table admits, and when its proxies retry.
    fn set_admission(&mut self, table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy);
    /// Asks each proxy that this moment's commands reach to acknowledge them with this number.
    fn request_acknowledgement(&mut self, number: u32);
    /// Sends the commands once more that were reported to
    /// [`Controller::commands_lost`](crate::controller::Controller::commands_lost).
    fn resend_commands(&mut self);
    /// Subscribes to the endpoint list.
    fn watch_endpoints(&mut self);
    /// Calls [`Controller::timer_fired`](crate::controller::Controller::timer_fired) with this timer after a
    /// span.
    fn schedule_timer(&mut self, after: Span, timer: Timer);
}
