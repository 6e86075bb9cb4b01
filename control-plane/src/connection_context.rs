//! What all connections to the listener share.

use crate::connection_log::ConnectionLog;
use crate::deployment_names::DeploymentNames;
use crate::event::EventSender;
use axum::Router;
use slog::Logger;
use std::rc::Rc;

/// State that all connections share.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Names that are valid in load reports.
    pub names: Rc<DeploymentNames>,
    /// Passes the load reports on to the control loop.
    pub events: EventSender,
    /// The status pages for HTTP clients.
    pub status_pages: Router,
    /// The log.
    pub log: Logger,
    /// The rate limits of log lines about connections.
    pub connection_log: Rc<ConnectionLog>,
}
