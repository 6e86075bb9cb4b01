//! The controller's only source of randomness: Marsaglia's multiply-with-carry generator, seeded by the host.

/// A pseudo-random number generator; the same seed always gives the same numbers.
///
/// ```
/// use otterwinch::seeded_rng::SeededRng;
/// let (mut one, mut two) = (SeededRng::new(7), SeededRng::new(7));
/// assert_eq!(one.next_f64(), two.next_f64());
/// ```
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator for a seed.
    pub fn new(seed: u64) -> Self {
        // The constant keeps the state from being 0, from which the generator yields only zeros.
        SeededRng((seed ^ (seed >> 32)) & 0xffff_ffff | 0x0000_3039_0000_0000)
    }

    /// The next number, uniformly distributed from 0 (inclusive) to 1 (exclusive).
    pub fn next_f64(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
