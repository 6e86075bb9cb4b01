//! Outlier detection: reduces the weight of endpoints whose attempts are late or fail more often than those
//! of their peers. The reduction has levels, and an endpoint recovers one level at a time. In this module, to
//! eject an endpoint means to reduce its weight; elsewhere it means to exclude it from all proxies.
//!
//! [`Controller`](super::Controller) records outcomes as load reports arrive and runs the detection once per
//! evaluation. No endpoint loses all of its weight, and the reduction is limited to a fraction of the fleet's
//! weight. The outlier score of an endpoint is the mean of [`BAND_SCORES`] over its attempts. While the
//! median endpoint has a high score no endpoint is ejected, since that would only shift the overload to the
//! others.

use super::endpoints::{Endpoint, EndpointRegistry};
use super::fleet_load::{MEDIAN_SCORE, MIN_ATTEMPTS, REPORT_DELAY};
use super::outlier_state::OUTCOME_BANDS;
use super::EVALUATION_INTERVAL;
use crate::config::ControllerConfig;
use crate::histogram::Histogram;
use crate::host::EndpointId;
use crate::time::{Moment, Span};

/// The boundaries between the bands of answered attempts, as fractions of the latency objective.
const LATENCY_BAND_BOUNDARIES: [f64; OUTCOME_BANDS - 2] = [0.4, 0.6, 1.0];
/// The band for attempts that failed without an answer.
const FAILED_BAND: usize = OUTCOME_BANDS - 1;
/// The outlier score of an attempt, by band.
const BAND_SCORES: [f64; OUTCOME_BANDS] = [0.0, 0.0, 0.3, 1.0, 1.0];

/// The fraction of its weight that an endpoint keeps, by ejection level.
const WEIGHT_FRACTIONS: [f64; 6] = [1.0, 0.75, 0.55, 0.35, 0.15, 0.04];
const MAX_EJECTION_LEVEL: usize = WEIGHT_FRACTIONS.len() - 1;
/// Levels added for an endpoint at or above [`SEVERE_OUTLIER_SCORE`]; other outliers move up by one level.
const SEVERE_OUTLIER_LEVELS: usize = 3;
/// The outlier score from which an endpoint is a severe outlier.
const SEVERE_OUTLIER_SCORE: f64 = 0.7;

/// The minimum number of attempts for scoring an endpoint, as a multiple of the mean number per endpoint;
/// [`MIN_ATTEMPTS`] is enough if that is fewer.
const MIN_ATTEMPTS_MEAN_RATIO: f64 = 1.3;
/// The number of failed attempts that is enough for scoring an endpoint, however few attempts it has in all.
const MIN_FAILED_ATTEMPTS: f64 = 2.0;

/// An endpoint whose score exceeds that of the fleet by more than this is an outlier.
const OUTLIER_MARGIN: f64 = 0.15;
/// An endpoint whose score exceeds that of the fleet by no more than this may recover.
const RECOVERY_MARGIN: f64 = 0.08;
/// The time that an endpoint stays at a level before it may recover, to be multiplied by its ejection count.
const EJECTION_TIME: Span = Span::from_us(4_000_000);
/// The maximum ejection count.
const MAX_EJECTION_COUNT: u32 = 3;
/// The maximum total weight reduction, as a fraction of the ready weight.
const MAX_EJECTED_FRACTION: f64 = 0.35;

/// The outcomes of attempts at an endpoint, from a load report.
pub(super) struct Outcomes {
    pub(super) answered: f64,
    pub(super) failed: f64,
    /// The mean latency of the answered attempts.
    pub(super) latency: Span,
    /// The interval covered by the report.
    pub(super) interval: Span,
}

/// Records the outcomes of attempts at an endpoint.
pub(super) fn record_outcomes(
    endpoint: &mut Endpoint,
    now: Moment,
    outcomes: &Outcomes,
    config: &ControllerConfig,
) {
    if outcomes.answered > 0.0 {
        endpoint.last_answered = Some(now);
    } else if outcomes.failed > 0.0 {
        endpoint.last_unanswered = Some(now);
    }
    // Reports arrive late and cover attempts that started earlier. Reports that arrive soon after a change of
    // the level therefore reflect the previous weight; they are skipped unless the weight is full again.
    let since_change = now - endpoint.outlier.level_changed_at;
    if endpoint.outlier.ejection_level > 0 && since_change < REPORT_DELAY + outcomes.interval {
        return;
    }
    let objective = shortest_latency_objective(config);
    let band =
        LATENCY_BAND_BOUNDARIES.iter().filter(|fraction| outcomes.latency >= objective * **fraction).count();
    endpoint.outlier.outcomes.add(FAILED_BAND, outcomes.failed);
    endpoint.outlier.outcomes.add(band, outcomes.answered);
}

/// The latency objective that all attempts are compared with: the strictest one, because reports don't state
/// the request class of an attempt.
fn shortest_latency_objective(config: &ControllerConfig) -> Span {
    let objectives = config.request_classes.iter().map(|class| class.latency_objective);
    objectives.min().unwrap_or_default()
}

/// The weight of an endpoint after the reduction by outlier detection.
pub(super) fn effective_weight(endpoint: &Endpoint) -> f64 {
    endpoint.weight * WEIGHT_FRACTIONS[endpoint.outlier.ejection_level]
}

/// Ejects outliers, and raises the weight of endpoints that have recovered. Returns the median outlier score
/// of the endpoints with enough attempts.
pub(super) fn detect_outliers(endpoints: &mut EndpointRegistry, now: Moment) -> f64 {
    let fleet = fleet_outcomes(endpoints);
    let fleet_score = outlier_score(&fleet).unwrap_or(0.0);
    let mean_attempts = fleet.total() / endpoints.ready().count().max(1) as f64;
    let min_attempts = MIN_ATTEMPTS.min(MIN_ATTEMPTS_MEAN_RATIO * mean_attempts);
    let scores = scores_worst_first(endpoints, min_attempts);
    let median = median_score(endpoints, &scores, min_attempts);
    if median <= MEDIAN_SCORE.enter {
        eject_outliers(endpoints, &scores, fleet_score + OUTLIER_MARGIN, now);
    }
    recover(endpoints, fleet_score + RECOVERY_MARGIN, now);
    median
}

struct EndpointScore {
    id: EndpointId,
    score: f64,
}

fn fleet_outcomes(endpoints: &EndpointRegistry) -> Histogram<OUTCOME_BANDS> {
    let mut fleet = Histogram::default();
    for (_, endpoint) in endpoints.ready() {
        fleet.merge(&endpoint.outlier.outcomes);
    }
    fleet
}

fn outlier_score(outcomes: &Histogram<OUTCOME_BANDS>) -> Option<f64> {
    outcomes.weighted_mean(BAND_SCORES)
}

fn scores_worst_first(endpoints: &EndpointRegistry, min_attempts: f64) -> Vec<EndpointScore> {
    let mut scores = Vec::new();
    for (id, endpoint) in endpoints.ready() {
        let outcomes = &endpoint.outlier.outcomes;
        if outcomes.total() >= min_attempts || outcomes.last_bin() >= MIN_FAILED_ATTEMPTS {
            let score = outlier_score(outcomes).unwrap_or(0.0);
            scores.push(EndpointScore { id: id.clone(), score });
        }
    }
    scores.sort_by(|a, b| b.score.total_cmp(&a.score));
    scores
}

fn median_score(endpoints: &EndpointRegistry, scores: &[EndpointScore], min_attempts: f64) -> f64 {
    let has_enough_attempts = |scored: &&EndpointScore| {
        endpoints.get(&scored.id).is_some_and(|endpoint| endpoint.outlier.outcomes.total() >= min_attempts)
    };
    let sampled: Vec<f64> = scores.iter().filter(has_enough_attempts).map(|scored| scored.score).collect();
    sampled.get(sampled.len() / 2).copied().unwrap_or(0.0)
}

fn eject_outliers(
    endpoints: &mut EndpointRegistry,
    scores: &[EndpointScore],
    score_threshold: f64,
    now: Moment,
) {
    let weight_fraction = |endpoint: &Endpoint| WEIGHT_FRACTIONS[endpoint.outlier.ejection_level];
    let mut ejected: f64 =
        endpoints.ready().map(|(_, endpoint)| endpoint.weight * (1.0 - weight_fraction(endpoint))).sum();
    let max_ejected = endpoints.ready_weight() * MAX_EJECTED_FRACTION;
    for EndpointScore { id, score } in scores {
        if *score <= score_threshold {
            continue;
        }
        let endpoint = endpoints.get_mut(id).expect("scored endpoints are registered");
        let levels = if *score >= SEVERE_OUTLIER_SCORE { SEVERE_OUTLIER_LEVELS } else { 1 };
        let level = (endpoint.outlier.ejection_level + levels).min(MAX_EJECTION_LEVEL);
        ejected += endpoint.weight * (weight_fraction(endpoint) - WEIGHT_FRACTIONS[level]);
        if ejected > max_ejected {
            break;
        }
        if level > endpoint.outlier.ejection_level {
            endpoint.outlier.ejection_count = (endpoint.outlier.ejection_count + 1).min(MAX_EJECTION_COUNT);
            endpoint.outlier.set_level(level, now);
        }
    }
}

fn recover(endpoints: &mut EndpointRegistry, score_threshold: f64, now: Moment) {
    for (_, endpoint) in endpoints.iter_mut() {
        if !endpoint.is_ready() || endpoint.outlier.ejection_level == 0 {
            continue;
        }
        // Half an evaluation interval is added, so that the ejection time ends midway between two evaluations
        // and slightly early or late timers don't change at which evaluation the endpoint recovers. Otherwise
        // a late timer could prolong the ejection by a whole interval.
        let ejection_time =
            EJECTION_TIME * f64::from(endpoint.outlier.ejection_count) + EVALUATION_INTERVAL * 0.5;
        // An endpoint without outcomes may recover: its score, `None`, compares as less than the threshold.
        let may_recover = outlier_score(&endpoint.outlier.outcomes) <= Some(score_threshold);
        if may_recover && now - endpoint.outlier.level_changed_at > ejection_time {
            endpoint.outlier.set_level(endpoint.outlier.ejection_level - 1, now);
            if endpoint.outlier.ejection_level == 0 {
                endpoint.outlier.ejection_count = 0;
            }
        }
    }
}

#[cfg(test)]
mod tests;
