//! Random choices for requests. Each is a hash of the seed, the request, the attempt and the purpose of the
//! choice, so that it doesn't depend on how many other choices were made before it.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The purpose of a sample. The values are part of the hash input: changing one changes the simulation
/// results.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    Proxy = 1,
    AttemptTimeout = 2,
    RetryWait = 3,
    Admission = 4,
    Endpoint = 5,
    RetryEndpoint = 6,
    InjectedFailure = 7,
}

/// The source of random samples for one client attempt at a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptSampler {
    pub seed: u64,
    /// The request's position in the load, starting at 1.
    pub sequence: u64,
    /// The number of the client's attempt at this request, starting at 1.
    pub attempt_number: u32,
}

impl AttemptSampler {
    /// Returns the sample for a purpose, from 0 (included) to 1 (excluded).
    pub(crate) fn sample(&self, purpose: Purpose) -> f64 {
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.attempt_number.to_le_bytes());
        bytes[12] = purpose as u8;
        (xxh3_64_with_seed(&bytes, self.seed) >> 11) as f64 / (1u64 << 53) as f64
    }
}
