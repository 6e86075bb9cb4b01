use super::*;

#[test]
fn a_snapshot_completes_once_and_holds_the_listed_proxies_that_have_not_left() {
    let mut snapshot = ProxySnapshot::new(8);
    for proxy in [3, 4, 5] {
        snapshot.insert(proxy);
    }
    snapshot.remove(4);
    assert_eq!(snapshot.complete(), Some([3, 5].into()));
    snapshot.insert(6);
    assert_eq!(snapshot.complete(), None);
}

#[test]
fn an_invalidated_snapshot_never_completes() {
    let mut snapshot = ProxySnapshot::new(8);
    snapshot.insert(3);
    snapshot.invalidate();
    snapshot.insert(4);
    assert_eq!(snapshot.complete(), None);
}

#[test]
fn proxies_that_do_not_exist_take_no_memory() {
    let mut snapshot = ProxySnapshot::new(8);
    for proxy in 0..1_000 {
        snapshot.insert(proxy);
    }
    assert_eq!(snapshot.complete().map(|joined| joined.len()), Some(8));
}
