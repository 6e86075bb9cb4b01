//! A helper for locking mutexes.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. Panics if it is poisoned: a task panicked while it held the lock, so the data may be
/// inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no task panics while it holds the lock")
}
