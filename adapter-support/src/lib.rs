//! What every host of the controller does alike, whatever protocol it speaks: it takes fields out of JSON objects,
//! reads the settings into a `ControllerConfig`, validates commands before they go out, and catches a panic of the
//! controller.

mod command_validator;
mod json_fields;
mod panic_guard;
mod settings;

pub use command_validator::{CommandValidator, InvalidCommand};
pub use json_fields::{JsonFieldError, JsonFields};
pub use panic_guard::{catch_panic, CaughtPanic};
pub use settings::{controller_config, SettingsReader};
