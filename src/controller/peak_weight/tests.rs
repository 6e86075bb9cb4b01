use super::PeakWeight;

fn peak_weight(recorded: [f64; 2]) -> PeakWeight {
    let mut weight = PeakWeight::default();
    recorded.into_iter().for_each(|current| weight.record(current));
    weight
}

#[test]
fn the_peak_approaches_a_smaller_weight_and_no_further() {
    let mut weight = peak_weight([8.0, 6.0]);
    assert_eq!((weight.peak(), weight.fraction_of_peak()), (8.0, 0.75));
    for _ in 0..1_000 {
        weight.decay();
    }
    assert_eq!((weight.peak(), weight.fraction_of_peak()), (6.0, 1.0));
}

/// However long a zone has been lost, the first of its endpoints to return must not count as all of them.
#[test]
fn the_peak_stays_while_there_is_no_weight() {
    let mut weight = peak_weight([8.0, 0.0]);
    for _ in 0..1_000 {
        weight.decay();
    }
    assert_eq!((weight.peak(), weight.fraction_of_peak()), (8.0, 0.0));
}
