//! SeededRng from a seed: Marsaglia's multiply-with-carry, so that the same seed gives the same day.

/// ```
/// use otterwinch::seeded_rng::SeededRng;
/// let (mut one, mut two) = (SeededRng::new(7), SeededRng::new(7));
/// assert_eq!(one.unit(), two.unit());
/// ```
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        // An all-zero state would stay zero for ever, whatever the seed's halves are.
        SeededRng((seed ^ (seed >> 32)) & 0xffff_ffff | 0x0000_3039_0000_0000)
    }

    /// Evenly spread over 0 (included) to 1 (excluded).
    pub fn unit(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
