//! Load profiles: load that is generated where none was captured.

mod generator;

pub use generator::LoadGenerator;

use crate::model::Fleet;

/// What load to generate for a fleet, validated.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// How long the load lasts.
    pub duration_seconds: f64,
    /// The mean rate of all request classes and zones, without bursts.
    pub requests_per_second: f64,
    /// How the rate changes slowly.
    pub curve: RateCurve,
    /// How it changes for a while. Bursts may overlap.
    pub bursts: Vec<Burst>,
    /// The idempotency keys of the requests; `None` where they have none.
    pub keys: Option<IdempotencyKeys>,
}

/// A sine on top of the rate, which begins at its mean and rises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateCurve {
    /// The amplitude, as a fraction of the rate.
    pub depth: f64,
    /// The time from crest to crest.
    pub period_seconds: f64,
}

impl RateCurve {
    /// The factor on the rate at a time in seconds.
    fn factor(&self, at: f64) -> f64 {
        1.0 + self.depth * (at / self.period_seconds * std::f64::consts::TAU).sin()
    }
}

/// The idempotency keys that requests carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKeys {
    /// How many there are.
    pub distinct: u32,
    /// The exponent of their Zipf distribution; 0 makes all alike.
    pub skew: f64,
}

/// A time in which some requests are more frequent or cost more.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Seconds since the load began.
    pub starts_at: f64,
    /// How long it lasts.
    pub duration_seconds: f64,
    /// The factor on the rate.
    pub rate_factor: f64,
    /// The only request class that it concerns; `None` for all.
    pub request_class: Option<usize>,
    /// The only zone whose clients it concerns; `None` for all.
    pub zone: Option<usize>,
    /// The fraction of its requests that cost more.
    pub costly_share: f64,
    /// The least and the greatest factor by which they cost more.
    pub costly_factor: (f64, f64),
}

impl Burst {
    fn concerns(&self, at: f64, request_class: usize, zone: usize) -> bool {
        let ends_at = self.starts_at + self.duration_seconds;
        (self.starts_at..ends_at).contains(&at)
            && self.request_class.is_none_or(|only| only == request_class)
            && self.zone.is_none_or(|only| only == zone)
    }
}

impl LoadProfile {
    /// The fraction of the mean rate that a request class and zone have at a time, without the curve.
    fn rate_share(&self, fleet: &Fleet, at: f64, request_class: usize, zone: usize) -> f64 {
        let bursts = self.bursts.iter().filter(|burst| burst.concerns(at, request_class, zone));
        let burst_factor: f64 = bursts.map(|burst| burst.rate_factor).product();
        fleet.request_classes[request_class].share * fleet.zones[zone].client_share * burst_factor
    }

    /// Requests a second at a time, without the curve.
    fn rate(&self, fleet: &Fleet, at: f64) -> f64 {
        let zones = 0..fleet.zones.len();
        let classes = 0..fleet.request_classes.len();
        let pairs = classes.flat_map(|class| zones.clone().map(move |zone| (class, zone)));
        let share: f64 = pairs.map(|(class, zone)| self.rate_share(fleet, at, class, zone)).sum();
        share * self.requests_per_second
    }
}
