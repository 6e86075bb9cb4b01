//! The interface between the controller and the program that embeds it, independent of the protocol that
//! carries the commands.

use crate::time::{Moment, Span};
use std::rc::Rc;

/// The identifier of an endpoint in the endpoint list.
pub type EndpointId = Rc<str>;

/// A set of request classes, which are identified by their positions in the configuration.
///
/// ```
/// use otterwinch::host::RequestClassSet;
/// let classes: RequestClassSet = [0, 3].into_iter().collect();
/// assert!(classes.contains(3) && !classes.contains(1));
/// assert_eq!(classes.bits(), 0b1001);
/// assert!(RequestClassSet::ALL.contains(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClassSet(u64);

impl RequestClassSet {
    /// The most classes that a set can tell apart; their positions are below this.
    pub const CAPACITY: usize = u64::BITS as usize;
    /// All classes, however many are configured.
    pub const ALL: Self = RequestClassSet(u64::MAX);

    /// Whether the set has the class at this position.
    pub fn contains(self, position: usize) -> bool {
        position < Self::CAPACITY && self.0 >> position & 1 == 1
    }

    /// The set as an integer: bit k stands for the class at position k.
    pub fn bits(self) -> u64 {
        self.0
    }
}

impl FromIterator<usize> for RequestClassSet {
    /// The set of the classes at these positions, which must be below [`RequestClassSet::CAPACITY`].
    fn from_iter<T: IntoIterator<Item = usize>>(positions: T) -> Self {
        RequestClassSet(positions.into_iter().fold(0, |bits, position| bits | 1 << position))
    }
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed and usable.
    Ready,
    /// Listed and shutting down gracefully: it may be used until the drain grace ends.
    Draining,
    /// No longer listed.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdate {
    /// The endpoint that the entry describes.
    pub id: EndpointId,
    /// The zone, by its position in the configuration.
    pub zone: u32,
    /// The relative capacity; 1 if the list states none.
    pub weight: f64,
    /// The state at the time of the update.
    pub state: EndpointState,
    /// When the endpoint last started; `None` if that is unknown or was long ago: it then counts as warm.
    pub started: Option<Moment>,
}

/// When a proxy retries a request at another endpoint. The protocols number these from 0 in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// No retry.
    Never,
    /// One retry, only if the first attempt is known not to have been executed.
    IfNotExecuted,
    /// One retry after any failure.
    Once,
    /// Up to two retries after any failure.
    Twice,
}

/// The timers of the controller. Protocols that identify a timer by a number use [`Timer::label`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The periodic evaluation of load, outliers and admission.
    Evaluation = 1,
    /// The jittered retry of assignments that wait for a usable route table.
    AssignmentRetry = 2,
    /// The next attempt to watch the endpoint list.
    WatchRetry = 3,
    /// A short delay, after which the controller tries again to issue commands that were deferred.
    Recheck = 4,
    /// The resending of lost commands.
    Resend = 5,
}

impl Timer {
    /// The number that identifies this timer in the protocols.
    pub fn label(self) -> u64 {
        self as u64
    }

    /// The timer that a number of a protocol identifies.
    pub fn from_label(label: u64) -> Option<Self> {
        let all =
            [Timer::Evaluation, Timer::AssignmentRetry, Timer::WatchRetry, Timer::Recheck, Timer::Resend];
        all.into_iter().find(|timer| timer.label() == label)
    }
}

/// The operations that the controller requires of the program that embeds it.
///
/// Commands take effect in the order of the calls; those issued at the same time go to each proxy as one
/// message.
pub trait Host {
    /// Sets the weight of an endpoint in a route table; weight 0 removes it. A command with a `deadline` must
    /// have been sent by then, so a host that queues commands sends it before those without one.
    fn set_endpoint_weight(
        &mut self,
        table: u32,
        endpoint: &EndpointId,
        weight: f64,
        deadline: Option<Moment>,
    );
    /// Assigns a route table to a joined proxy for some request classes, in place of the table that it has
    /// for them.
    fn assign_table(&mut self, proxy: u32, table: u32, classes: RequestClassSet);
    /// Stops all joined proxies from using an endpoint, whichever tables they are assigned. `deadline` as for
    /// a weight.
    fn eject_endpoint(&mut self, endpoint: &EndpointId, deadline: Option<Moment>);
    /// Lifts the ejection of an endpoint.
    fn restore_endpoint(&mut self, endpoint: &EndpointId);
    /// Allows the host to discard what it keeps about an endpoint that was removed long ago: no command names
    /// it unless it is listed again.
    fn forget_endpoint(&mut self, endpoint: &EndpointId);
    /// Sets the admission level of some request classes in a table, and the retry policy of its proxies. The
    /// unit of `admitted` is that of the configured [`AdmissionMode`](crate::config::AdmissionMode).
    fn set_admission(&mut self, table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy);
    /// Asks each proxy that receives commands issued at this time to acknowledge them with this number.
    fn request_acknowledgement(&mut self, number: u32);
    /// Resends the commands that were reported to
    /// [`Controller::commands_lost`](crate::controller::Controller::commands_lost).
    fn resend_commands(&mut self);
    /// Starts to watch the endpoint list.
    fn watch_endpoints(&mut self);
    /// Calls [`Controller::timer_fired`](crate::controller::Controller::timer_fired) with this timer after a
    /// delay.
    fn schedule_timer(&mut self, after: Span, timer: Timer);
}
