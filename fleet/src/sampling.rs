//! Seeded random number streams, one for each purpose. Drawing an additional number for one purpose doesn't
//! affect the others, so runs in which the controller decides differently still get the same arrivals, work
//! and failures.

use crate::model::Work;
use rand::RngExt;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Creates the random number stream of a purpose. `index` distinguishes the streams of one purpose, such as
/// those of different endpoints. The name of the purpose is part of the seed: renaming a purpose changes the
/// results.
///
/// ```
/// use otterwinch_fleet::sampling::random_stream;
/// use rand::RngExt;
/// let draw = |purpose| random_stream(7, purpose, 0).random::<u64>();
/// assert_eq!(draw("work"), draw("work"));
/// assert_ne!(draw("work"), draw("arrivals"));
/// ```
pub fn random_stream(seed: u64, purpose: &str, index: u64) -> Pcg64Mcg {
    let mut name = purpose.as_bytes().to_vec();
    name.extend_from_slice(&index.to_le_bytes());
    Pcg64Mcg::from_seed(xxh3_128_with_seed(&name, seed).to_le_bytes())
}

/// Samples the work of one request. It always draws three numbers, so that the outcome for one request
/// doesn't affect the samples of later ones.
pub fn sample_work(work: &Work, rng: &mut Pcg64Mcg) -> f64 {
    let base_sample = rng.random::<f64>();
    let costly_sample = rng.random::<f64>();
    let factor_sample = rng.random::<f64>();
    let factor = if costly_sample < work.costly_share {
        work.min_costly_factor + (work.max_costly_factor - work.min_costly_factor) * factor_sample
    } else {
        1.0
    };
    (work.min + (work.max - work.min) * base_sample) * factor
}
