//! Errors of HTTP calls to a peer, classified by whether the peer may have executed the request.

use std::error::Error;

/// The underlying error of a [`CallError`].
pub type Cause = Box<dyn Error + Send + Sync>;

/// Why a call to a peer failed.
///
/// `Display` prints only the kind of failure. The causes are available through [`Error::source`], and the log
/// prints all of them.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the request was not executed.
    #[error("not connected")]
    NotConnected(#[source] Cause),
    /// The request was sent at least in part and no response arrived. It may have been executed.
    #[error("sent, no answer")]
    NoAnswer(#[source] Cause),
    /// A response arrived that was truncated, too large or malformed. The request may have been executed.
    #[error("answer not usable")]
    UnusableAnswer(#[source] Cause),
    /// The peer rejected the request for now, for example because it is throttling. It was not executed.
    #[error("rejected")]
    Rejected(#[source] Cause),
    /// The request is invalid: the peer did not execute it and never will.
    #[error("invalid request")]
    Invalid(#[source] Cause),
}

impl CallError {
    /// Whether the peer may have executed the request although the call failed.
    pub fn may_have_been_executed(&self) -> bool {
        matches!(self, CallError::NoAnswer(_) | CallError::UnusableAnswer(_))
    }
}
