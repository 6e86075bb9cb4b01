//! What the endpoint list says of an endpoint, and since when.

use crate::host::EndpointState;
use crate::time::Moment;

/// The state of an endpoint in the endpoint list, with the times from which its drain grace may count.
///
/// ```
/// use otterwinch::{host::EndpointState, listed_state::ListedState, time::Moment};
/// let mut listed = ListedState::first_seen(Moment::from_us(1), EndpointState::Ready);
/// listed.update(Moment::from_us(5), EndpointState::Draining);
/// listed.update(Moment::from_us(9), EndpointState::Removed);
/// assert_eq!(listed.draining_since(), Some(Moment::from_us(5)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListedState {
    pub(crate) state: EndpointState,
    first_listed: Moment,
    pub(crate) last_ready: Moment,
    draining_since: Option<Moment>,
}

impl ListedState {
    /// The state of an endpoint that the list names for the first time.
    pub fn first_seen(now: Moment, state: EndpointState) -> Self {
        let mut listed = ListedState { first_listed: now, last_ready: now, ..ListedState::default() };
        listed.update(now, state);
        listed
    }

    /// Records what the list says now.
    pub fn update(&mut self, now: Moment, state: EndpointState) {
        if self.is_ready() {
            self.last_ready = now;
        }
        match state {
            EndpointState::Ready => self.draining_since = None,
            EndpointState::Draining => self.draining_since = self.draining_since.or(Some(now)),
            EndpointState::Removed => {}
        }
        self.state = state;
    }

    /// What the list says of it.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// Whether the list names it as ready.
    pub fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether the list names it.
    pub fn is_listed(&self) -> bool {
        self.state != EndpointState::Removed
    }

    /// When the list first named it.
    pub fn first_listed(&self) -> Moment {
        self.first_listed
    }

    /// When it was last known to be ready; its first appearance if it never was.
    pub fn last_ready(&self) -> Moment {
        self.last_ready
    }

    /// When it was first listed as draining since it was last ready, if it was: also if it has been removed
    /// from the list since.
    pub fn draining_since(&self) -> Option<Moment> {
        self.draining_since
    }
}
