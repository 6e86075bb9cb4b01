//! The controller's only source of randomness: Marsaglia's multiply-with-carry generator, seeded by the host.

/// A random number generator that draws the same numbers from the same seed.
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
        // The constant keeps the state from being all zeros, where the generator would stay for ever.
        SeededRng((seed ^ (seed >> 32)) & 0xffff_ffff | 0x0000_3039_0000_0000)
    }

    /// The next number, evenly distributed over 0 (included) to 1 (excluded).
    pub fn next_f64(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
