//! What is measured: a few coarse bins, halved now and then so that old evidence fades.

/// ```
/// use otterwinch::histogram::Histogram;
/// let mut seen = Histogram::<3>::default();
/// seen.add(2, 4.0);
/// seen.add(0, 4.0);
/// seen.halve();
/// assert_eq!(seen.total(), 4.0);
/// assert_eq!(seen.mean_of([0.0, 0.5, 1.0]), Some(0.5));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Histogram<const N: usize> {
    bins: [f64; N],
}

impl<const N: usize> Default for Histogram<N> {
    fn default() -> Self {
        Histogram { bins: [0.0; N] }
    }
}

impl<const N: usize> Histogram<N> {
    pub fn add(&mut self, bin: usize, count: f64) {
        self.bins[bin.min(N - 1)] += count;
    }

    pub fn merge(&mut self, other: &Self) {
        self.bins.iter_mut().zip(other.bins).for_each(|(bin, more)| *bin += more);
    }

    pub fn halve(&mut self) {
        self.bins.iter_mut().for_each(|bin| *bin /= 2.0);
    }

    /// What lies in the last bin.
    pub fn worst(&self) -> f64 {
        self.bins[N - 1]
    }

    pub fn total(&self) -> f64 {
        self.bins.iter().sum()
    }

    /// The mean of a figure that each bin stands for; nothing where nothing was counted.
    pub fn mean_of(&self, figures: [f64; N]) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.bins.iter().zip(figures).map(|(bin, f)| bin * f).sum::<f64>() / total)
    }
}
