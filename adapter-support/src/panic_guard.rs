//! Turns a panic of the controller into an error, so that it costs one instance and not the process.

use std::panic::{catch_unwind, AssertUnwindSafe};

/// A panic that was caught, with its message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct CaughtPanic {
    /// What the panic said; a general text where it carried none.
    pub message: String,
}

/// Runs a call and catches its panic.
///
/// ```
/// use otterwinch_adapter_support::catch_panic;
/// assert_eq!(catch_panic(|| panic!("no {}", "luck")).unwrap_err().message, "no luck");
/// assert_eq!(catch_panic(|| {}), Ok(()));
/// ```
pub fn catch_panic(call: impl FnOnce()) -> Result<(), CaughtPanic> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|payload| {
        let owned = payload.downcast_ref::<String>().map(String::as_str);
        let text = owned.or_else(|| payload.downcast_ref::<&str>().copied());
        CaughtPanic { message: text.unwrap_or("the controller panicked").to_owned() }
    })
}
