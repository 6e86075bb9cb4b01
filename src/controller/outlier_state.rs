//! What outlier detection keeps for each endpoint. The endpoint registry holds it, and `outliers` decides by
//! it.

use crate::histogram::Histogram;
use crate::time::Moment;

/// The number of bands into which attempts are sorted: answered ones by latency, and failed ones into the
/// last band.
pub(super) const OUTCOME_BANDS: usize = 5;

/// How attempts at an endpoint ended, and by how much its weight is reduced because of that.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Recent attempts by outcome band; the counts decay.
    pub(super) outcomes: Histogram<OUTCOME_BANDS>,
    /// The level of weight reduction by outlier detection: 0 means full weight, and each higher level a
    /// smaller fraction of it. Independent of [`Endpoint::ejected`](super::endpoints::Endpoint::ejected).
    pub(super) ejection_level: usize,
    /// How often outlier detection reduced the weight since the last full recovery, up to a maximum. The
    /// higher the count, the longer each level lasts before the endpoint may recover.
    pub(super) ejection_count: u32,
    /// When the ejection level last changed.
    pub(super) level_changed_at: Moment,
}

impl OutlierState {
    /// Changes the ejection level and discards the outcomes observed at the previous level.
    pub(super) fn set_level(&mut self, level: usize, now: Moment) {
        self.ejection_level = level;
        self.level_changed_at = now;
        self.outcomes = Histogram::default();
    }
}
