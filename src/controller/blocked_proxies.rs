//! Proxies that may not be sent a message now, and the changes that wait for them.
//!
//! `publication` asks here before it batches urgent changes. A proxy may be blocked because it was sent as
//! many messages as the limit permits, or because one more would leave no room for later drains.

use super::changes::TableChanges;
use super::channel::ChannelLimits;
use super::urgency::Urgency;
use super::Controller;
use crate::host::Host;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

impl<H: Host> Controller<H> {
    /// If a proxy with urgent changes may not be sent a message now, removes all tables with urgent changes
    /// that can wait for it, so that each proxy gets the changes of its tables together. Returns whether
    /// there are any.
    pub(super) fn remove_blocked(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        pending: &mut Vec<TableChanges>,
    ) -> bool {
        if !limits.limits_messages() {
            return false;
        }
        let all = pending.len();
        loop {
            let blocked = self.blocked_proxies(now, limits, pending);
            if blocked.is_empty() {
                return pending.len() < all;
            }
            // Without the changes of the removed tables, messages to other proxies may be less urgent.
            pending.retain(|table| {
                table.urgency().is_none_or(|urgency| limits.have_been_held(now, urgency))
                    && !table.receivers.iter().any(|proxy| blocked.contains(proxy))
            });
        }
    }

    /// The proxies with urgent changes that may not be sent a message now.
    fn blocked_proxies(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        pending: &[TableChanges],
    ) -> BTreeSet<u32> {
        let mut urgencies = BTreeMap::<u32, Urgency>::new();
        for table in pending {
            let Some(urgency) = table.urgency() else { continue };
            for proxy in &table.receivers {
                let most_urgent = urgencies.entry(*proxy).or_insert(urgency);
                *most_urgent = urgency.min(*most_urgent);
            }
        }
        urgencies.retain(|proxy, urgency| !self.channel.may_push(now, *urgency, *proxy, limits));
        urgencies.into_keys().collect()
    }
}
