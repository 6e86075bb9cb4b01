//! What every host of the rules does alike, whatever protocol it speaks: takes fields out of JSON, reads the
//! settings into a `ControllerConfig`, checks commands before they go out, and catches a panic of the rules.

mod caught;
mod checks;
mod fields;
mod figures;

pub use caught::caught;
pub use checks::Checks;
pub use fields::Fields;
pub use figures::{controller_config, Figures};
