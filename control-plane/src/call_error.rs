//! Errors in communication with a peer, classified by whether the peer may have executed a request.

use std::error::Error;

/// The underlying error of a [`CallError`].
pub type Cause = Box<dyn Error + Send + Sync>;

/// Why communication with a peer failed.
///
/// `Display` prints only the kind of failure. The causes are available through [`Error::source`], and the log
/// prints all of them.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the request was not executed.
    #[error("not connected to the peer")]
    NotConnected(#[source] Cause),
    /// The request was sent at least in part and no response arrived. It may have been executed.
    #[error("peer did not respond")]
    NoResponse(#[source] Cause),
    /// The peer sent data that is truncated, too large or malformed. A request may have been executed.
    #[error("peer sent invalid data")]
    InvalidData(#[source] Cause),
    /// The peer rejected the request for now, for example because it is throttling. It was not executed.
    #[error("peer rejected the request")]
    Rejected(#[source] Cause),
    /// The request is invalid: the peer did not execute it and never will.
    #[error("peer reports an invalid request")]
    InvalidRequest(#[source] Cause),
}

impl CallError {
    /// Whether the peer may have executed the request although the call failed.
    pub fn may_have_been_executed(&self) -> bool {
        matches!(self, CallError::NoResponse(_) | CallError::InvalidData(_))
    }
}
