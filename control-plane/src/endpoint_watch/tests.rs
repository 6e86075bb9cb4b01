use super::*;
use crate::endpoint_list::InvalidEndpoint;
use otterwinch::host::EndpointUpdate;

fn list(version: u64, whole: bool) -> EndpointList {
    EndpointList { version, whole, updates: vec![EndpointUpdate::default()], invalid: vec![] }
}

fn invalid_entry(id: Option<&str>) -> InvalidEntry {
    let reason = InvalidEndpoint::UnknownState("asleep".into());
    InvalidEntry { position: 0, id: id.map(Into::into), reason }
}

#[test]
fn changes_go_on_from_the_polled_version_and_a_whole_list_from_any() {
    assert!(check_continues(&list(4, false), Some(4)).is_ok());
    assert!(check_continues(&list(3, false), Some(4)).is_err());
    assert!(check_continues(&list(4, false), None).is_err());
    for version in [None, Some(4)] {
        assert!(check_continues(&list(3, true), version).is_ok());
    }
}

#[test]
fn an_invalid_entry_hides_a_change_and_in_a_whole_list_only_if_it_names_no_endpoint() {
    for (whole, id, hidden) in
        [(false, Some("a"), true), (true, Some("a"), false), (false, None, true), (true, None, true)]
    {
        let list = EndpointList { invalid: vec![invalid_entry(id)], ..list(4, whole) };
        assert_eq!(misses_a_change(&list), hidden, "whole {whole}, {id:?}");
    }
    assert!(!misses_a_change(&list(4, false)));
}

#[test]
fn a_whole_list_with_an_entry_that_names_no_endpoint_replaces_nothing() {
    let event = |ids: &[Option<&str>]| {
        let invalid = ids.iter().map(|id| invalid_entry(*id)).collect();
        event_of(EndpointList { invalid, ..list(4, true) })
    };
    let Event::EndpointListReplaced { invalid, .. } = event(&[Some("a")]) else { panic!("replaced") };
    assert_eq!(invalid, ["a".into()]);
    assert!(matches!(event(&[Some("a"), None]), Event::EndpointsUpdated { .. }));
}
