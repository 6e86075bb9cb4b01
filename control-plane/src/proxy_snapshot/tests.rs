use super::*;

#[test]
fn a_snapshot_is_complete_once_and_holds_who_was_named_and_has_not_left() {
    let mut snapshot = ProxySnapshot::default();
    for proxy in [3, 4, 5] {
        snapshot.proxy_present(proxy);
    }
    snapshot.proxy_left(4);
    assert_eq!(snapshot.complete(), Some([3, 5].into()));
    snapshot.proxy_present(6);
    assert_eq!(snapshot.complete(), None);
}

#[test]
fn a_snapshot_that_was_given_up_is_never_complete() {
    let mut snapshot = ProxySnapshot::default();
    snapshot.proxy_present(3);
    snapshot.give_up();
    snapshot.proxy_present(4);
    assert_eq!(snapshot.complete(), None);
}
