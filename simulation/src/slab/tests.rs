use super::*;

#[test]
fn a_handle_becomes_stale_when_its_value_is_released() {
    let mut slab = Slab::new();
    let slot = slab.insert('a');
    let handle = slab.handle(slot);
    assert!(slab.is_current(handle));
    slab.release(slot);
    assert!(!slab.is_current(handle));
    assert_eq!(slab.insert('b'), slot);
    assert!(!slab.is_current(handle));
    assert_eq!(slab[slot], 'b');
}

#[test]
fn the_last_released_slot_is_reused_first_and_free_slots_are_not_listed() {
    let mut slab = Slab::new();
    let slots: Vec<u32> = (0..4).map(|number| slab.insert(number)).collect();
    slab.release(slots[1]);
    slab.release(slots[2]);
    assert_eq!(slab.slots_where(|_| true), [slots[0], slots[3]]);
    assert_eq!([slab.insert(10), slab.insert(11)], [slots[2], slots[1]]);
    assert_eq!(slab.slots_where(|number| *number >= 10), [slots[1], slots[2]]);
}
