use super::*;

#[test]
fn simultaneous_events_are_ordered_by_phase_and_then_by_scheduling() {
    let mut queue = EventQueue::default();
    queue.push(5, Phase::Commands, 'd');
    queue.push(5, Phase::Fleet, 'a');
    queue.push(5, Phase::ControlPlane, 'c');
    queue.push(5, Phase::Fleet, 'b');
    let order: String = std::iter::from_fn(|| queue.pop()).map(|(_, event)| event).collect();
    assert_eq!(order, "abcd");
}

#[test]
fn the_wheel_yields_events_in_the_same_order_as_a_heap() {
    // Schedules events in the current slot, in the wheel and beyond its range while time advances.
    let (mut queue, mut heap) = (EventQueue::default(), BinaryHeap::new());
    let (mut now, mut order, mut random) = (0u64, 0u64, 9u64);
    for event in 0..20_000u64 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let max_delay = [300, 5_000, 900_000, 40_000_000][(random >> 33) as usize % 4];
        let at = now + (random >> 20) % max_delay;
        order += 1;
        queue.push(at, Phase::Fleet, event);
        heap.push(Entry { at, order, event });
        if random >> 60 < 7 {
            let (got, expected) = (queue.pop(), heap.pop().map(|entry| (entry.at, entry.event)));
            assert_eq!(got, expected);
            now = got.map_or(now, |got| got.0);
        }
    }
    while let Some(expected) = heap.pop() {
        assert_eq!(queue.pop(), Some((expected.at, expected.event)));
    }
    assert!(queue.pop().is_none() && queue.is_empty());
}
