use super::PushLimit;
use crate::config::ControllerConfig;
use crate::controller::urgency::Urgency;
use crate::seeded_rng::SeededRng;
use crate::test_support::{at, config};
use crate::time::{Moment, Span};

/// A limit of `max_pushes` messages in 10 s. The drain grace exceeds the maximum transit time by
/// `usable_grace_secs`.
fn push_limit(max_pushes: u32, usable_grace_secs: f64) -> PushLimit {
    let drain_grace = config().max_transit + Span::from_secs(usable_grace_secs);
    PushLimit::new(&ControllerConfig { max_pushes, drain_grace, ..config() })
}

/// The urgency of a removal that has been due since `since`.
fn with_grace_from(limit: &PushLimit, since: Moment) -> Urgency {
    Urgency::Deadline(since + limit.hold_time + limit.time_after_hold)
}

fn at_all(secs: impl IntoIterator<Item = f64>) -> Vec<Moment> {
    secs.into_iter().map(at).collect()
}

#[test]
fn an_urgent_message_may_follow_any_other_at_once_while_the_limit_is_far() {
    let limit = push_limit(12, 1.225);
    // Two thirds of the limit are used.
    let sent = at_all((0..8).map(|k| 1.2 * f64::from(k)));
    assert!(limit.allows(at(8.41), with_grace_from(&limit, at(8.41)), &sent));
    assert!(limit.allows(at(8.41), Urgency::Prompt, &sent));
}

#[test]
fn an_urgent_message_is_held_back_if_later_ones_would_exceed_the_limit() {
    let limit = push_limit(12, 1.225);
    let sent = at_all([1.0, 1.1, 1.2, 1.3]);
    assert!(!limit.allows(at(1.4), with_grace_from(&limit, at(1.4)), &sent));
    let is_held_for_long = limit.allows(at(1.4 + 0.92), with_grace_from(&limit, at(1.4)), &sent);
    assert!(is_held_for_long, "it is due for longer than the hold time");
}

/// If the limit is so small that holding messages back would break the grace anyway, nothing is held back.
#[test]
fn a_small_limit_is_used_up_without_delay() {
    let limit = push_limit(5, 1.225);
    let sent = at_all([1.0, 1.1, 1.2, 1.3]);
    let urgency = with_grace_from(&limit, at(1.4));
    assert!(limit.allows(at(1.4), urgency, &sent));
    assert!(!limit.allows(at(1.5), urgency, &at_all([1.0, 1.1, 1.2, 1.3, 1.4])));
}

#[test]
fn a_message_at_the_time_of_the_latest_one_joins_it() {
    let limit = push_limit(2, 1.225);
    let sent = at_all([1.0, 2.0]);
    for urgency in [with_grace_from(&limit, at(1.0)), Urgency::Prompt, Urgency::Ordinary] {
        assert!(limit.allows(at(2.0), urgency, &sent));
        assert!(!limit.allows(at(2.1), urgency, &sent));
    }
}

/// Sends messages at random times for 100 s, urgent ones as soon as they are allowed, and returns the longest
/// time that an urgent one was held back. Panics if the limit is exceeded.
fn longest_hold_secs(limit: &PushLimit, max_pushes: usize, seed: u64) -> f64 {
    const STEP_SECS: f64 = 0.01;
    let mut rng = SeededRng::new(seed);
    let (urgent_rate, ordinary_rate) = (8.0 * rng.next_f64(), 4.0 * rng.next_f64());
    let mut sent: Vec<Moment> = Vec::new();
    let mut due_since = None;
    let mut longest = 0.0_f64;
    for step in 0..10_000 {
        let now = at(f64::from(step) * STEP_SECS);
        sent.retain(|sent_at| now - *sent_at <= limit.window());
        if rng.next_f64() < urgent_rate * STEP_SECS {
            due_since.get_or_insert(now);
        }
        let is_ordinary_due = rng.next_f64() < ordinary_rate * STEP_SECS;
        let sends_urgent = due_since.filter(|since| limit.allows(now, with_grace_from(limit, *since), &sent));
        if let Some(since) = sends_urgent {
            longest = longest.max((now - since).as_secs());
            due_since = None;
        }
        if sends_urgent.is_some() || is_ordinary_due && limit.allows(now, Urgency::Ordinary, &sent) {
            sent.push(now);
        }
        assert!(sent.len() <= max_pushes, "seed {seed}");
    }
    longest
}

/// Whatever was sent before, a removal reaches its proxies within the grace: the hold time is a part of it.
#[test]
fn no_urgent_message_is_held_back_for_longer_than_the_hold_time() {
    for (max_pushes, usable_grace_secs) in [(12, 1.225), (12, 2.5), (24, 0.7), (30, 2.5)] {
        let limit = push_limit(max_pushes, usable_grace_secs);
        assert!(limit.hold_time > Span::ZERO && limit.hold_time.as_secs() < usable_grace_secs);
        for seed in 0..20 {
            let longest = longest_hold_secs(&limit, max_pushes as usize, seed);
            assert!(
                longest <= limit.hold_time.as_secs() + 0.01,
                "{longest} s with {max_pushes}, seed {seed}"
            );
        }
    }
}

/// Guards against a removal that is put off until after another message, with too little of the limit left
/// for the next drain.
#[test]
fn a_message_is_put_off_only_until_the_limit_sustains_it_after_another_one() {
    let limit = PushLimit::new(&config());
    let allows = |until: f64, sent: &[f64]| {
        let sent: Vec<Moment> = sent.iter().map(|secs| at(*secs)).collect();
        limit.allows_putting_off(at(10.0), at(until), &sent)
    };
    assert!(allows(11.0, &[]));
    assert!(allows(11.0, &[9.0, 10.0]));
    assert!(!allows(10.5, &[9.6, 9.8, 9.9]), "four messages go at once with the one in its place");
    assert!(allows(11.2, &[9.6, 9.8, 9.9]));
    assert!(!allows(11.2, &[1.5, 2.6, 3.7, 4.8, 5.9, 7.0, 8.1, 8.2, 8.3, 8.4, 9.5]), "one message is left");
}
