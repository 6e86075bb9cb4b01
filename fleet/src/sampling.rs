//! Chance for plans and plays: a stream of draws for each purpose, so that one more draw for one purpose changes no
//! other, and two plays that differ in their decisions meet the same arrivals, work and failures.

use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// The stream of a purpose; `k` numbers streams of one purpose, as a node's or a draw of many.
///
/// ```
/// use otterwinch_fleet::sampling::random_stream;
/// use rand::RngExt;
/// let draw = |purpose| random_stream(7, purpose, 0).random::<u64>();
/// assert_eq!(draw("work"), draw("work"));
/// assert_ne!(draw("work"), draw("arrivals"));
/// ```
pub fn random_stream(seed: u64, purpose: &str, k: u64) -> Pcg64Mcg {
    let mut name = purpose.as_bytes().to_vec();
    name.extend_from_slice(&k.to_le_bytes());
    Pcg64Mcg::from_seed(xxh3_128_with_seed(&name, seed).to_le_bytes())
}
