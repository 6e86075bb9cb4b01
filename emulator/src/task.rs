//! Tasks that end with their owner.

use crate::sync::lock;
use std::future::Future;
use std::sync::Mutex;
use tokio::task::JoinHandle;

/// A task that is aborted when this is dropped.
pub(crate) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    /// Starts the task.
    pub(crate) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        AbortOnDrop(tokio::spawn(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The task of a server that can crash and be started again.
pub(crate) struct ServerTask(Mutex<Option<AbortOnDrop>>);

impl ServerTask {
    /// Starts the server.
    pub(crate) fn spawn(server: impl Future<Output = ()> + Send + 'static) -> Self {
        ServerTask(Mutex::new(Some(AbortOnDrop::spawn(server))))
    }

    /// Stops it at once: its connections break, and new ones are refused.
    pub(crate) fn abort(&self) {
        lock(&self.0).take();
    }

    /// Starts it again after [`ServerTask::abort`].
    pub(crate) fn restart(&self, server: impl Future<Output = ()> + Send + 'static) {
        *lock(&self.0) = Some(AbortOnDrop::spawn(server));
    }
}
