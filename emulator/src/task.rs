//! Tasks that are aborted when their owner is dropped.

use crate::sync::lock;
use std::future::Future;
use std::sync::Mutex;
use tokio::task::JoinHandle;

/// The handle of a task that is aborted when the handle is dropped.
pub(crate) struct AbortOnDrop(JoinHandle<()>);

impl AbortOnDrop {
    pub(crate) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        AbortOnDrop(tokio::spawn(task))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The task of an emulated server that can crash and restart.
pub(crate) struct ServerTask(Mutex<Option<AbortOnDrop>>);

impl ServerTask {
    pub(crate) fn spawn(server: impl Future<Output = ()> + Send + 'static) -> Self {
        ServerTask(Mutex::new(Some(AbortOnDrop::spawn(server))))
    }

    /// Stops the server at once: open connections break, and new ones are refused.
    pub(crate) fn abort(&self) {
        lock(&self.0).take();
    }

    /// Starts the server again after [`ServerTask::abort`].
    pub(crate) fn restart(&self, server: impl Future<Output = ()> + Send + 'static) {
        *lock(&self.0) = Some(AbortOnDrop::spawn(server));
    }
}
