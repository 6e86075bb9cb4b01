//! Stand-ins for the review: one small deployment, driven through a named course of events.

mod json;
mod net;
mod scenarios;
mod slices;
mod world;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(root), Some(record)) = (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standin SCENARIO ROOT RECORD [SEED]");
        exit(2);
    };
    let seed = arguments.next().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    net::end_after(std::time::Duration::from_secs(115));
    exit(scenarios::run(&name, &PathBuf::from(root), &PathBuf::from(record), seed, trouble));
}
