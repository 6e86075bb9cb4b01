//! A model of the relay and its proxies for tests: what each proxy may use, by the commands that a controller
//! issued, and which drain graces are over.

use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointState, EndpointUpdate, RequestClassSet};
use crate::test_support::Command;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// The number of request classes.
pub(super) const CLASSES: usize = 2;

/// Something that happens in a course, apart from the commands of the controller.
pub(super) enum Input {
    List { is_whole: bool, updates: Vec<EndpointUpdate> },
    Joined { proxy: u32, brought: BTreeSet<EndpointId> },
    Left { proxy: u32 },
}

pub(super) struct TimedInput {
    pub(super) at: Moment,
    pub(super) input: Input,
}

/// What a joined proxy may use.
struct ProxyModel {
    joined: Moment,
    /// The table that it is assigned to, by request class.
    tables: [Option<u32>; CLASSES],
    /// The endpoints that it may use for classes without an assigned table.
    brought: BTreeSet<EndpointId>,
    ejected: BTreeSet<EndpointId>,
}

/// What the relay and the proxies have, and since when drain graces have been running.
pub(super) struct RelayModel {
    config: ControllerConfig,
    tables: BTreeMap<u32, BTreeSet<EndpointId>>,
    ejected: BTreeSet<EndpointId>,
    proxies: BTreeMap<u32, ProxyModel>,
    grace_since: BTreeMap<EndpointId, Moment>,
    listed: BTreeSet<EndpointId>,
}

impl RelayModel {
    pub(super) fn new(config: &ControllerConfig) -> Self {
        RelayModel {
            config: config.clone(),
            tables: BTreeMap::new(),
            ejected: BTreeSet::new(),
            proxies: BTreeMap::new(),
            grace_since: BTreeMap::new(),
            listed: BTreeSet::new(),
        }
    }

    pub(super) fn apply_input(&mut self, now: Moment, input: &Input) {
        match input {
            Input::List { is_whole, updates } => self.apply_list(now, *is_whole, updates),
            Input::Joined { proxy, brought } => {
                let joined = ProxyModel {
                    joined: now,
                    tables: [None; CLASSES],
                    brought: brought.clone(),
                    ejected: BTreeSet::new(),
                };
                self.proxies.insert(*proxy, joined);
            }
            Input::Left { proxy } => _ = self.proxies.remove(proxy),
        }
    }

    fn apply_list(&mut self, now: Moment, is_whole: bool, updates: &[EndpointUpdate]) {
        if is_whole {
            let named: BTreeSet<&EndpointId> = updates.iter().map(|update| &update.id).collect();
            let missing: Vec<EndpointId> =
                self.listed.iter().filter(|id| !named.contains(id)).cloned().collect();
            for id in missing {
                self.apply_state(now, &id, EndpointState::Removed);
            }
        }
        for update in updates {
            self.apply_state(now, &update.id, update.state);
        }
    }

    fn apply_state(&mut self, now: Moment, id: &EndpointId, state: EndpointState) {
        match state {
            EndpointState::Ready => _ = self.grace_since.remove(id),
            EndpointState::Removed if self.config.drain_grace_excludes_removed => {}
            EndpointState::Draining | EndpointState::Removed => {
                self.grace_since.entry(id.clone()).or_insert(now);
            }
        }
        if state == EndpointState::Removed {
            self.listed.remove(id);
        } else {
            self.listed.insert(id.clone());
        }
    }

    pub(super) fn apply_command(&mut self, command: &Command) {
        match command {
            Command::SetWeight { table, endpoint, weight } if *weight > 0.0 => {
                self.tables.entry(*table).or_default().insert(endpoint.clone());
            }
            Command::SetWeight { table, endpoint, .. } => {
                self.tables.entry(*table).or_default().remove(endpoint);
            }
            Command::AssignTable { proxy, table, classes } => self.assign(*proxy, *table, *classes),
            Command::Eject(id) => {
                self.ejected.insert(id.clone());
                self.proxies.values_mut().for_each(|proxy| _ = proxy.ejected.insert(id.clone()));
            }
            Command::Restore(id) => {
                self.ejected.remove(id);
                self.proxies.values_mut().for_each(|proxy| _ = proxy.ejected.remove(id));
            }
            _ => {}
        }
    }

    fn assign(&mut self, proxy: u32, table: u32, classes: RequestClassSet) {
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        for class in (0..CLASSES).filter(|class| classes.contains(*class)) {
            proxy.tables[class] = Some(table);
        }
        proxy.ejected.extend(self.ejected.iter().cloned());
    }

    /// The proxies that have had an endpoint until now though the time to send its removal is over.
    pub(super) fn violations(&self, now: Moment) -> Vec<String> {
        let time_to_send = self.config.time_to_send();
        let mut violations = Vec::new();
        for (number, proxy) in &self.proxies {
            for (id, since) in &self.grace_since {
                let since = (*since).max(proxy.joined);
                if now - since > time_to_send && self.may_use(proxy, id) {
                    violations.push(format!("proxy {number} has {id} {:?} after {since:?}", now - since));
                }
            }
        }
        violations
    }

    fn may_use(&self, proxy: &ProxyModel, id: &EndpointId) -> bool {
        let holds = |table: &Option<u32>| match table {
            Some(table) => self.tables.get(table).is_some_and(|weights| weights.contains(id)),
            None => proxy.brought.contains(id),
        };
        !proxy.ejected.contains(id) && proxy.tables.iter().any(holds)
    }
}
