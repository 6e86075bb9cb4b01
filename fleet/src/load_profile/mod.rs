//! Load profiles, from which load is generated where none was captured.

mod generator;

pub use generator::LoadGenerator;

use crate::model::Fleet;

/// A validated description of the load to generate for a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// The duration of the load.
    pub duration_seconds: f64,
    /// The mean rate over all request classes and zones, without bursts.
    pub requests_per_second: f64,
    /// A slow, periodic change of the rate.
    pub curve: RateCurve,
    /// Temporary changes of the rate or of the work. Bursts may overlap.
    pub bursts: Vec<Burst>,
    /// The idempotency keys of the requests; `None` if they carry none.
    pub keys: Option<IdempotencyKeys>,
}

/// A sine wave that modulates the rate. It starts at the mean and rises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateCurve {
    /// The amplitude, as a fraction of the rate.
    pub amplitude: f64,
    /// The period of the sine wave.
    pub period_seconds: f64,
}

impl RateCurve {
    /// The factor on the rate at a time in seconds.
    fn factor(&self, at: f64) -> f64 {
        1.0 + self.amplitude * (at / self.period_seconds * std::f64::consts::TAU).sin()
    }
}

/// The idempotency keys that requests carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKeys {
    /// The number of distinct keys.
    pub distinct: u32,
    /// The exponent of their Zipf distribution; 0 makes all keys equally frequent.
    pub skew: f64,
}

/// A period in which the rate of some requests changes, or their work increases.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// The start, in seconds since the start of the load.
    pub starts_at: f64,
    /// The duration.
    pub duration_seconds: f64,
    /// The factor on the rate.
    pub rate_factor: f64,
    /// The only request class that it affects; `None` for all.
    pub request_class: Option<usize>,
    /// The only client zone that it affects; `None` for all.
    pub zone: Option<usize>,
    /// The fraction of the affected requests whose work is multiplied by a factor.
    pub costly_share: f64,
    /// The least and the greatest factor on the work. The factor is sampled uniformly.
    pub costly_factor: (f64, f64),
}

impl Burst {
    fn applies_to(&self, at: f64, request_class: usize, zone: usize) -> bool {
        let ends_at = self.starts_at + self.duration_seconds;
        (self.starts_at..ends_at).contains(&at)
            && self.request_class.is_none_or(|only| only == request_class)
            && self.zone.is_none_or(|only| only == zone)
    }
}

impl LoadProfile {
    /// The rate of a request class and zone at a time, as a fraction of the mean rate of the profile; without
    /// the curve.
    fn rate_share(&self, fleet: &Fleet, at: f64, request_class: usize, zone: usize) -> f64 {
        let bursts = self.bursts.iter().filter(|burst| burst.applies_to(at, request_class, zone));
        let burst_factor: f64 = bursts.map(|burst| burst.rate_factor).product();
        fleet.request_classes[request_class].share * fleet.zones[zone].client_share * burst_factor
    }

    /// The rate at a time over all request classes and zones, in requests per second; without the curve.
    fn rate_without_curve(&self, fleet: &Fleet, at: f64) -> f64 {
        let zones = 0..fleet.zones.len();
        let classes = 0..fleet.request_classes.len();
        let pairs = classes.flat_map(|class| zones.clone().map(move |zone| (class, zone)));
        let share: f64 = pairs.map(|(class, zone)| self.rate_share(fleet, at, class, zone)).sum();
        share * self.requests_per_second
    }
}
