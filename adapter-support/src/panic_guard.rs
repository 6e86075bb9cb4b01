//! Turns a panic of the controller into an error, so that it stops one instance and not the whole process.

use std::panic::{catch_unwind, AssertUnwindSafe};

/// A panic that was caught.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct CaughtPanic {
    /// The message of the panic; a generic one if its payload is not a string.
    pub message: String,
}

/// Runs a call and returns its panic, if any, as an error.
///
/// ```
/// use otterwinch_adapter_support::catch_panic;
/// assert_eq!(catch_panic(|| panic!("no {}", "table")).unwrap_err().message, "no table");
/// assert_eq!(catch_panic(|| {}), Ok(()));
/// ```
pub fn catch_panic(call: impl FnOnce()) -> Result<(), CaughtPanic> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|payload| {
        let owned = payload.downcast_ref::<String>().map(String::as_str);
        let text = owned.or_else(|| payload.downcast_ref::<&str>().copied());
        CaughtPanic { message: text.unwrap_or("the controller panicked").to_owned() }
    })
}
