//! Where a panic of the rules stops, and what it said.

use std::panic::{catch_unwind, AssertUnwindSafe};

/// ```
/// assert_eq!(otterwinch_adapter_support::caught(|| panic!("no {}", "luck")), Err("no luck".into()));
/// assert_eq!(otterwinch_adapter_support::caught(|| {}), Ok(()));
/// ```
pub fn caught(call: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(call)).map_err(|cause| {
        let text = cause.downcast_ref::<String>().map(String::as_str);
        text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("the decisions failed").to_owned()
    })
}
