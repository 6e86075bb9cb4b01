//! Code shared by the programs that embed the controller, independent of their protocols: it reads the
//! fields of JSON objects, reads the settings into a `ControllerConfig`, validates commands before they are
//! sent, and catches panics of the controller.

mod command_validator;
mod json_fields;
mod panic_guard;
mod quote;
mod settings;

pub use command_validator::{CommandValidator, InvalidCommand};
pub use json_fields::{JsonFieldError, JsonFields};
pub use panic_guard::{catch_panic, CaughtPanic};
pub use quote::quoted;
pub use settings::{controller_config, SettingsReader};
