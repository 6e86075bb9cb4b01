//! The rules' way out: writes what they order down as the relay reads it, keeps their wake-ups, and remembers
//! what stands outside so that rules that broke can be opened anew.

use crate::config::Names;
use otterwinch::host::{
    EndpointId, EndpointState, EndpointUpdate, Host, RequestClassSet, RetryPolicy, Timer,
};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{CommandValidator, InvalidCommand};
use serde_json::{json, Value};
use slog::{warn, Logger};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// One command in the relay's form, and what the rules have to know if it can't be used.
pub struct Command {
    pub text: String,
    pub about: CommandKind,
}

pub enum CommandKind {
    Bind(u32),
    Line(u32, EndpointId),
    Level(u32),
    Withdrawal,
    Mark,
}

pub struct RelayHost {
    checks: CommandValidator,
    names: Rc<Names>,
    log: Logger,
    pub follow: Rc<Notify>,
    pub commands: VecDeque<Command>,
    pub ordered: u64,
    pub again: bool,
    /// The present moment, from which wake-ups count.
    pub now: Moment,
    wakes: BinaryHeap<Reverse<(Moment, u64, Timer)>>,
    woken: u64,
    /// Whatever was listed and is not forgotten, as it was listed last.
    listed: BTreeMap<EndpointId, EndpointUpdate>,
    /// Servers that joined proxies are barred from by our command.
    withdrawn: BTreeSet<EndpointId>,
    /// Zone and usual rate of each proxy that is joined.
    pub joined: BTreeMap<u32, (u32, f64)>,
}

impl RelayHost {
    pub fn new(checks: CommandValidator, names: Rc<Names>, now: Moment, log: Logger) -> Self {
        RelayHost {
            checks,
            names,
            log,
            follow: Rc::new(Notify::new()),
            commands: VecDeque::new(),
            ordered: 0,
            again: false,
            now,
            wakes: BinaryHeap::new(),
            woken: 0,
            listed: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            joined: BTreeMap::new(),
        }
    }

    pub fn learn(&mut self, listings: &[EndpointUpdate], whole: bool) {
        self.checks.add_endpoints(listings.iter().map(|l| &l.id));
        if whole {
            self.listed.values_mut().for_each(|listing| listing.state = EndpointState::Removed);
        }
        self.listed.extend(listings.iter().map(|listing| (listing.id.clone(), listing.clone())));
    }

    /// What was listed last of some servers, as far as they are listed.
    pub fn last_listed(&self, ids: impl Iterator<Item = EndpointId>) -> Vec<EndpointUpdate> {
        ids.filter_map(|id| self.listed.get(&id))
            .filter(|l| l.state != EndpointState::Removed)
            .cloned()
            .collect()
    }

    /// Whether a server is listed, or was lately.
    pub fn lists(&self, id: &str) -> bool {
        self.listed.contains_key(id)
    }

    /// How many servers are listed now.
    pub fn servers(&self) -> usize {
        self.listed.values().filter(|l| l.state != EndpointState::Removed).count()
    }

    /// What is listed now, and what is not although the relay's tables or its bars may still name it.
    pub fn stands(&self) -> (Vec<EndpointUpdate>, Vec<EndpointUpdate>) {
        let gone = |l: &&EndpointUpdate| l.state == EndpointState::Removed;
        let listed = self.listed.values().filter(|l| !gone(l)).cloned().collect();
        let barred = self.listed.values().filter(|l| gone(l) || self.withdrawn.contains(&l.id));
        (listed, barred.map(|l| EndpointUpdate { state: EndpointState::Removed, ..l.clone() }).collect())
    }

    pub fn joined(&mut self, proxy: u32, zone: u32, rate: f64) {
        self.checks.set_joined(proxy, true);
        self.joined.insert(proxy, (zone, rate));
    }

    pub fn left(&mut self, proxy: u32) {
        self.checks.set_joined(proxy, false);
        self.joined.remove(&proxy);
    }

    /// For rules opened anew: what stands outside stays, what the old ones wanted is dropped.
    pub fn cleared(&mut self) {
        self.commands.clear();
        self.wakes.clear();
        self.again = false;
    }

    pub fn next_wake(&self) -> Option<Moment> {
        self.wakes.peek().map(|wake| wake.0 .0)
    }

    /// The timer that is due.
    pub fn due(&mut self, now: Moment) -> Option<Timer> {
        self.next_wake().filter(|at| *at <= now)?;
        self.wakes.pop().map(|wake| wake.0 .2)
    }

    fn say(&mut self, checked: Result<(), InvalidCommand>, command: Value, about: CommandKind) {
        if let Err(fault) = checked {
            return warn!(self.log, "command against the relay's rules"; "why" => %fault);
        }
        self.ordered += 1;
        self.commands.push_back(Command { text: command.to_string(), about });
    }

    fn routes(&self, products: RequestClassSet) -> Vec<&str> {
        let all = self.names.products.iter().enumerate();
        all.filter(|(k, _)| products >> k & 1 == 1).map(|(_, name)| name.as_str()).collect()
    }
}

impl Host for RelayHost {
    fn set_endpoint_weight(&mut self, tbl: u32, server: &EndpointId, weight: f64) {
        let command = json!({"op": "put", "table": tbl, "endpoint": &**server, "w": weight});
        self.say(
            self.checks.check_weight(tbl, server, weight),
            command,
            CommandKind::Line(tbl, server.clone()),
        );
    }

    fn assign_table(&mut self, proxy: u32, tbl: u32) {
        let command = json!({"op": "attach", "node": proxy, "table": tbl});
        self.say(self.checks.check_assignment(proxy, tbl), command, CommandKind::Bind(proxy));
    }

    fn eject_endpoint(&mut self, server: &EndpointId) {
        self.withdrawn.insert(server.clone());
        let command = json!({"op": "eject", "endpoint": &**server});
        self.say(self.checks.check_ejection(server), command, CommandKind::Withdrawal);
    }

    fn restore_endpoint(&mut self, server: &EndpointId) {
        self.withdrawn.remove(server);
        let command = json!({"op": "uneject", "endpoint": &**server});
        self.say(self.checks.check_ejection(server), command, CommandKind::Withdrawal);
    }

    fn forget_endpoint(&mut self, server: &EndpointId) {
        self.checks.forget_endpoint(server);
        self.listed.remove(server);
        self.withdrawn.remove(server);
    }

    fn set_admission(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        let (routes, policy) = (self.routes(products), retry as u8);
        let command =
            json!({"op": "gate", "table": tbl, "routes": routes, "admit": admitted, "policy": policy});
        self.say(self.checks.check_admission(tbl, admitted), command, CommandKind::Level(tbl));
    }

    fn request_acknowledgement(&mut self, number: u32) {
        self.say(Ok(()), json!({"op": "fence", "nonce_out": number}), CommandKind::Mark);
    }

    fn resend_commands(&mut self) {
        self.again = true;
    }

    fn watch_endpoints(&mut self) {
        self.follow.notify_one();
    }

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.woken += 1;
        self.wakes.push(Reverse((self.now + after, self.woken, timer)));
    }
}
