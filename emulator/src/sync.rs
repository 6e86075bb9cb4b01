//! Locking.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. Panics if a task panicked while it held the lock, since the state may then be inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task panics while it holds the lock")
}
