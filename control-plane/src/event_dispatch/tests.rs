use super::*;
use crate::deployment_names::DeploymentNames;
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use otterwinch_adapter_support::{controller_config, CommandValidator, SettingsReader};
use serde_json::json;
use slog::{o, Discard, Logger};
use std::rc::Rc;

const NOW: Moment = Moment::from_us(1_000_000);

fn controller() -> Controller<RelayHost> {
    let names = DeploymentNames { zones: vec![], request_classes: vec![], proxy_count: 0 };
    let log = Logger::root(Discard, o!());
    let host = RelayHost::new(CommandValidator::default(), Rc::new(names), NOW, log);
    let settings = json!({"zones": ["north"], "classes": [{"name": "quote", "promiseUs": 1_000_000}]});
    Controller::start(host, controller_config(&SettingsReader::new(&settings)), 7, NOW)
}

fn ready(id: &str) -> EndpointUpdate {
    EndpointUpdate { id: id.into(), weight: 1.0, state: EndpointState::Ready, ..EndpointUpdate::default() }
}

fn listed(controller: &mut Controller<RelayHost>) -> Vec<EndpointId> {
    controller.host_mut().fleet().listed_endpoints().into_iter().map(|endpoint| endpoint.id).collect()
}

#[test]
fn an_endpoint_with_an_invalid_entry_in_the_whole_list_stays_listed_and_a_missing_one_does_not() {
    let mut controller = controller();
    dispatch(
        &mut controller,
        NOW,
        Event::EndpointsUpdated { updates: vec![ready("a"), ready("b"), ready("c")] },
    );
    let list =
        Event::EndpointListReplaced { updates: vec![ready("b")], invalid: vec!["a".into(), "x".into()] };
    dispatch(&mut controller, NOW, list);
    assert_eq!(listed(&mut controller), ["a".into(), "b".into()]);
}

#[test]
fn a_proxy_that_the_snapshot_does_not_name_has_left() {
    let mut controller = controller();
    for proxy in [3, 4] {
        dispatch(
            &mut controller,
            NOW,
            Event::ProxyJoined { proxy, zone: 0, rate: 5.0, has_initial_table: true },
        );
    }
    dispatch(&mut controller, NOW, Event::ProxySnapshot { joined: [4, 5].into() });
    assert!(controller.host_mut().fleet().proxies().keys().eq([&4]));
}
