//! Seeded randomness: a stream of random numbers for each purpose, so that one more number for one purpose changes no
//! other, and two runs that differ in their decisions meet the same arrivals, work and failures.

use crate::model::Work;
use rand::RngExt;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// The random numbers of a purpose. `number` distinguishes the streams of one purpose, such as those of endpoints. The
/// numbers hang on the name of the purpose: renaming one changes the results of a seed.
///
/// ```
/// use otterwinch_fleet::sampling::random_stream;
/// use rand::RngExt;
/// let draw = |purpose| random_stream(7, purpose, 0).random::<u64>();
/// assert_eq!(draw("work"), draw("work"));
/// assert_ne!(draw("work"), draw("arrivals"));
/// ```
pub fn random_stream(seed: u64, purpose: &str, number: u64) -> Pcg64Mcg {
    let mut name = purpose.as_bytes().to_vec();
    name.extend_from_slice(&number.to_le_bytes());
    Pcg64Mcg::from_seed(xxh3_128_with_seed(&name, seed).to_le_bytes())
}

/// Draws the work of one request. It takes three numbers in any case, so that the work of one request doesn't change
/// that of others.
pub fn sample_work(work: &Work, random: &mut Pcg64Mcg) -> f64 {
    let base_sample = random.random::<f64>();
    let costly_sample = random.random::<f64>();
    let factor_sample = random.random::<f64>();
    let factor = if costly_sample < work.costly_share {
        work.min_costly_factor + (work.max_costly_factor - work.min_costly_factor) * factor_sample
    } else {
        1.0
    };
    (work.min + (work.max - work.min) * base_sample) * factor
}
