//! How soon a command must be sent.
//!
//! Every weight change and ejection carries its own [`Urgency`]. `changes` and `ejection` determine it, and
//! `urgent_batch`, `channel` and `push_limit` decide by it what goes first and what has to wait.

use super::endpoints::Endpoint;
use crate::config::ControllerConfig;
use crate::time::Moment;

/// How soon a command must be sent. A more urgent value is less than a less urgent one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Not later than at this time, so that the proxies apply it within the drain grace.
    Deadline(Moment),
    /// As soon as the limits permit, but without a deadline.
    Prompt,
    /// Once the limits leave enough for more urgent commands.
    Ordinary,
}

impl Urgency {
    /// The urgency of a command that the proxies must apply within the drain grace after `since`.
    pub(super) fn within_grace(since: Moment, config: &ControllerConfig) -> Self {
        Urgency::Deadline(since + config.time_to_send())
    }

    /// The urgency of removing or ejecting an endpoint that is not ready.
    pub(super) fn of_unready(endpoint: &Endpoint, config: &ControllerConfig) -> Self {
        Urgency::of_grace(endpoint.grace_since(config), config)
    }

    /// The urgency of removing or ejecting an endpoint whose drain grace has been running since then, if it
    /// applies to the endpoint. Without a grace there is no deadline: the command must not use up the
    /// messages that those with one need.
    pub(super) fn of_grace(since: Option<Moment>, config: &ControllerConfig) -> Self {
        since.map_or(Urgency::Prompt, |since| Urgency::within_grace(since, config))
    }

    /// When the command must have been sent, if it has a deadline.
    pub(super) fn deadline(self) -> Option<Moment> {
        match self {
            Urgency::Deadline(deadline) => Some(deadline),
            Urgency::Prompt | Urgency::Ordinary => None,
        }
    }

    /// Whether it is [`Urgency::Ordinary`].
    pub(super) fn is_ordinary(self) -> bool {
        self == Urgency::Ordinary
    }
}
