//! Generates the requests of a load profile.

use super::LoadProfile;
use crate::load::ScheduledRequest;
use crate::model::Fleet;
use crate::sampling::{random_stream, sample_work};
use otterwinch_traffic_capture::RequestRecord;
use rand::RngExt;
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

/// Generates requests in the order of their arrival. The same seed generates the same requests.
///
/// Arrivals are a non-homogeneous Poisson process, sampled by thinning: candidates are sampled at the maximum
/// rate, and each is kept with a probability of the current rate divided by the maximum.
pub struct LoadGenerator {
    fleet: Fleet,
    profile: LoadProfile,
    /// The time of the latest arrival, in seconds.
    at: f64,
    /// The rate at which candidates are sampled: the highest rate at the start and at the start of any burst,
    /// times the peak of the curve.
    max_rate: f64,
    key_distribution: Option<Zipf<f64>>,
    arrival_rng: Pcg64Mcg,
    class_and_zone_rng: Pcg64Mcg,
    work_rng: Pcg64Mcg,
    key_rng: Pcg64Mcg,
}

impl LoadGenerator {
    /// A generator of the load that a profile describes for a fleet.
    pub fn new(fleet: &Fleet, profile: &LoadProfile, seed: u64) -> Self {
        let change_times = profile.bursts.iter().map(|burst| burst.starts_at).chain([0.0]);
        let max_rate = change_times.map(|at| profile.rate_without_curve(fleet, at)).fold(0.0, f64::max);
        let key_distribution =
            profile.keys.and_then(|keys| Zipf::new(f64::from(keys.distinct), keys.skew).ok());
        LoadGenerator {
            fleet: fleet.clone(),
            profile: profile.clone(),
            at: 0.0,
            max_rate: max_rate * (1.0 + profile.curve.amplitude),
            key_distribution,
            arrival_rng: random_stream(seed, "arrivals", 0),
            class_and_zone_rng: random_stream(seed, "places", 0),
            work_rng: random_stream(seed, "work", 0),
            key_rng: random_stream(seed, "keys", 0),
        }
    }

    /// The same requests in the form that simulations and emulations accept.
    pub fn requests(self) -> impl Iterator<Item = ScheduledRequest> {
        self.map(|record| ScheduledRequest {
            at: record.at_us as f64 / 1e6,
            request_class: record.request_class as usize,
            zone: record.zone as usize,
            work: record.work_us.unwrap_or(0) as f64 / 1e6,
            idempotency_key: record.idempotency_key,
        })
    }

    /// Advances to the next arrival and returns the rate at that time, without the curve; `None` at the end
    /// of the load.
    fn next_arrival(&mut self) -> Option<f64> {
        if self.max_rate <= 0.0 {
            return None;
        }
        let interarrival_time = Exp::new(self.max_rate).expect("the rate is above 0");
        loop {
            self.at += interarrival_time.sample(&mut self.arrival_rng);
            if self.at >= self.profile.duration_seconds {
                return None;
            }
            let rate = self.profile.rate_without_curve(&self.fleet, self.at);
            let rate_with_curve = rate * self.profile.curve.factor(self.at);
            if self.arrival_rng.random::<f64>() * self.max_rate < rate_with_curve {
                return Some(rate);
            }
        }
    }

    /// Samples the request class and the zone of a request that arrives now, in proportion to their shares of
    /// the rate.
    fn sample_class_and_zone(&mut self, rate: f64) -> (usize, usize) {
        let mut remaining = self.class_and_zone_rng.random::<f64>() * rate;
        let mut last_candidate = (0, 0);
        for request_class in 0..self.fleet.request_classes.len() {
            for zone in 0..self.fleet.zones.len() {
                let share = self.profile.rate_share(&self.fleet, self.at, request_class, zone);
                remaining -= share * self.profile.requests_per_second;
                if share <= 0.0 {
                    continue;
                }
                last_candidate = (request_class, zone);
                if remaining < 0.0 {
                    return last_candidate;
                }
            }
        }
        // Rounding errors may leave a remainder after the last share.
        last_candidate
    }

    /// Samples the work of a request that arrives now, in seconds.
    fn sample_work(&mut self, request_class: usize, zone: usize) -> f64 {
        let mut work = sample_work(&self.fleet.request_classes[request_class].work, &mut self.work_rng);
        for burst in &self.profile.bursts {
            if !burst.applies_to(self.at, request_class, zone) {
                continue;
            }
            let costly_sample = self.work_rng.random::<f64>();
            let factor_sample = self.work_rng.random::<f64>();
            if costly_sample < burst.costly_share {
                let (least, greatest) = burst.costly_factor;
                work *= least + (greatest - least) * factor_sample;
            }
        }
        work
    }
}

impl Iterator for LoadGenerator {
    type Item = RequestRecord;

    fn next(&mut self) -> Option<RequestRecord> {
        let rate = self.next_arrival()?;
        let (request_class, zone) = self.sample_class_and_zone(rate);
        let work = self.sample_work(request_class, zone);
        let key = self.key_distribution.as_ref().map(|keys| keys.sample(&mut self.key_rng) as u64);
        Some(RequestRecord {
            at_us: (self.at * 1e6) as i64,
            request_class: request_class as u32,
            zone: zone as u32,
            work_us: Some((work * 1e6).round() as u64),
            idempotency_key: key,
            attempt: 0,
        })
    }
}
