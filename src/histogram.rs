//! A histogram with a fixed number of bins whose counts can be halved to age them.
//!
//! The controller keeps one for each endpoint: one bin per latency band, and the last for failed attempts.

/// Counts in `N` bins.
///
/// ```
/// use otterwinch::histogram::Histogram;
/// let mut histogram = Histogram::<3>::default();
/// histogram.add(2, 4.0);
/// histogram.add(0, 4.0);
/// histogram.halve();
/// assert_eq!(histogram.total(), 4.0);
/// assert_eq!(histogram.weighted_mean([0.0, 0.5, 1.0]), Some(0.5));
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
    /// Adds to a bin; a position past the end counts in the last bin.
    pub fn add(&mut self, bin: usize, count: f64) {
        self.bins[bin.min(N - 1)] += count;
    }

    /// Adds the counts of another histogram, bin by bin.
    pub fn merge(&mut self, other: &Self) {
        for (bin, more) in self.bins.iter_mut().zip(other.bins) {
            *bin += more;
        }
    }

    /// Halves every count, which gives old samples less weight than new ones.
    pub fn halve(&mut self) {
        for bin in &mut self.bins {
            *bin /= 2.0;
        }
    }

    /// The count in the last bin.
    pub fn last_bin(&self) -> f64 {
        self.bins[N - 1]
    }

    /// The sum of all counts.
    pub fn total(&self) -> f64 {
        self.bins.iter().sum()
    }

    /// The mean of one value for each bin, weighted by the counts; `None` while the histogram is empty.
    pub fn weighted_mean(&self, values: [f64; N]) -> Option<f64> {
        let total = self.total();
        if total <= 0.0 {
            return None;
        }
        let sum = self.bins.iter().zip(values).map(|(bin, value)| bin * value).sum::<f64>();
        Some(sum / total)
    }
}
