//! The example files that tests read.

use otterwinch_fleet::{parse_fleet, Fleet};

/// The text of an example.
pub fn example(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// The small example fleet.
pub fn small_fleet() -> Fleet {
    parse_fleet("small.fleet", &example("fleets/small.fleet")).unwrap()
}
