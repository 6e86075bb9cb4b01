use super::*;
use crate::endpoint_list::InvalidEntryReason;
use otterwinch::host::EndpointUpdate;

fn list(version: u64, whole: bool) -> EndpointList {
    EndpointList { version, whole, updates: vec![EndpointUpdate::default()], invalid: vec![] }
}

fn invalid_entry(id: Option<&str>) -> InvalidEntry {
    let reason = InvalidEntryReason::UnknownState("asleep".into());
    InvalidEntry { position: 0, id: id.map(Into::into), reason }
}

#[test]
fn changes_must_follow_the_polled_version_and_a_whole_list_need_not() {
    assert!(check_version(&list(4, false), Some(4)).is_ok());
    assert!(check_version(&list(3, false), Some(4)).is_err());
    assert!(check_version(&list(4, false), None).is_err());
    for version in [None, Some(4)] {
        assert!(check_version(&list(3, true), version).is_ok());
    }
}

#[test]
fn an_invalid_entry_may_hide_a_change_except_in_a_whole_list_that_names_its_endpoint() {
    for (whole, id, hidden) in
        [(false, Some("a"), true), (true, Some("a"), false), (false, None, true), (true, None, true)]
    {
        let list = EndpointList { invalid: vec![invalid_entry(id)], ..list(4, whole) };
        assert_eq!(may_have_missed_change(&list), hidden, "whole {whole}, {id:?}");
    }
    assert!(!may_have_missed_change(&list(4, false)));
}

#[test]
fn a_whole_list_with_an_unidentified_entry_does_not_replace_the_known_one() {
    let event = |ids: &[Option<&str>]| {
        let invalid = ids.iter().map(|id| invalid_entry(*id)).collect();
        into_event(EndpointList { invalid, ..list(4, true) })
    };
    let Event::EndpointListReplaced { invalid, .. } = event(&[Some("a")]) else { panic!("replaced") };
    assert_eq!(invalid, ["a".into()]);
    assert!(matches!(event(&[Some("a"), None]), Event::EndpointsUpdated { .. }));
}
