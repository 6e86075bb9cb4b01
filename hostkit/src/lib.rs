//! What every host of the rules does alike, whatever protocol it speaks: takes fields out of JSON, reads the
//! settings into a `Charter`, and checks orders before they go out.

mod checks;
mod fields;
mod figures;

pub use checks::Checks;
pub use fields::Fields;
pub use figures::{charter, Figures};
