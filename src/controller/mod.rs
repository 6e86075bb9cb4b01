//! All decisions of a controller.
//!
//! The host calls one method of [`Controller`] for each event, with the present moment; the controller acts
//! at once through the [`Host`] that it was given at its start. It does no I/O, reads no clock and draws
//! random numbers from its seed alone, so the same events always give the same commands. The commands of one
//! moment travel together.
//!
//! Each module owns one concern, its state and its tuned values:
//!
//! | module | decides |
//! | --- | --- |
//! | `endpoints` | what is known about each endpoint, and when it is forgotten |
//! | `proxies` | what is known about each proxy |
//! | `outliers` | which endpoints lose a part of their weight since they fare badly |
//! | `fleet_load` | whether the fleet struggles |
//! | `admission` | how much of each request class is admitted |
//! | `slow_start` | the weights of endpoints that are warming up |
//! | `routing` | which endpoints a route table should hold |
//! | `changes` | which differences from the published tables are worth sending |
//! | `publication` | when changes are sent, and in which order |
//! | `ejection` | when proxies with stale tables learn that an endpoint left |
//! | `assignment` | when a proxy is put on its table |
//! | `channel` | how much may be queued in the channel |
//! | `delivery` | what happens when commands or acknowledgements are lost |
//! | `sharding` | which endpoint serves a shard |
//! | `timers` | which timers are on their way |

mod admission;
mod assignment;
mod candidate;
mod changes;
mod channel;
mod delivery;
mod ejection;
mod endpoints;
mod fleet_load;
mod outliers;
mod proxies;
mod publication;
mod routing;
mod sharding;
mod slow_start;
#[cfg(test)]
mod test_support;
mod timers;

use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointUpdate, Host, Timer};
use crate::seeded_rng::SeededRng;
use crate::time::{Moment, Span};
use admission::Admission;
use candidate::Candidate;
use channel::{Channel, ChannelLimits};
use delivery::DeliveryState;
use ejection::EjectionState;
use endpoints::EndpointRegistry;
use fleet_load::FleetLoad;
use outliers::Outcomes;
use proxies::ProxyRegistry;
use publication::PublicationState;
use routing::RouteTables;
use sharding::ShardMap;
use slow_start::FleetCondition;
use timers::PendingTimers;

/// The interval at which load, outliers and admission are evaluated.
const EVALUATION_INTERVAL: Span = Span::from_us(1_000_000);
/// The delay before another look at what had to wait.
const RECHECK_DELAY: Span = Span::from_us(50_000);

/// The controller: takes the events of a fleet and its proxies, and issues commands through its host.
pub struct Controller<H: Host> {
    host: H,
    config: ControllerConfig,
    rng: SeededRng,
    timers: PendingTimers,
    endpoints: EndpointRegistry,
    proxies: ProxyRegistry,
    tables: RouteTables,
    shards: ShardMap,
    fleet_load: FleetLoad,
    admission: Admission,
    channel: Channel,
    publication: PublicationState,
    ejection: EjectionState,
    delivery: DeliveryState,
}

impl<H: Host> Controller<H> {
    /// Starts a controller that knows no endpoint and no proxy, and asks for the endpoint list where it must
    /// be polled.
    pub fn start(mut host: H, config: ControllerConfig, seed: u64, now: Moment) -> Self {
        if config.polls_endpoint_list {
            host.watch_endpoints();
        }
        host.schedule_timer(EVALUATION_INTERVAL, Timer::Evaluation);
        let mut rng = SeededRng::new(seed);
        let ring_seed = (rng.next_f64() * f64::from(u32::MAX)) as u32;
        Controller {
            host,
            rng,
            timers: PendingTimers::default(),
            endpoints: EndpointRegistry::default(),
            proxies: ProxyRegistry::default(),
            tables: RouteTables::new(ring_seed),
            shards: ShardMap::default(),
            fleet_load: FleetLoad::new(config.request_classes.len()),
            admission: Admission::new(&config),
            channel: Channel::new(&config),
            publication: PublicationState::new(now),
            ejection: EjectionState::default(),
            delivery: DeliveryState::default(),
            config,
        }
    }

    /// The host, for what its owner does with it between events.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// The endpoint list arrived as a whole: what it doesn't name was removed.
    pub fn endpoint_list_replaced(&mut self, now: Moment, complete_list: &[EndpointUpdate]) {
        self.endpoints.remove_unlisted(now, complete_list);
        self.endpoints_updated(now, complete_list);
    }

    /// Some entries of the endpoint list were added or changed.
    pub fn endpoints_updated(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        self.endpoints.apply_updates(now, updates);
        self.issue_commands(now);
    }

    /// The endpoint list could not be read, or its watch ended: what is known stays, and the list is watched
    /// again.
    pub fn endpoint_watch_failed(&mut self, now: Moment) {
        let delay = self.endpoints.watch_retry_delay(now, &mut self.rng);
        self.host.schedule_timer(delay, Timer::WatchRetry);
    }

    /// A proxy joined. `rate` is its usual load in requests a second, and `has_initial_table` says that it
    /// holds the endpoints that it drew at its start.
    pub fn proxy_joined(&mut self, now: Moment, proxy: u32, zone: u32, rate: f64, has_initial_table: bool) {
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let placement = routing::table_for(proxy, zone, &self.config, &self.endpoints, &limits);
        self.proxies.join(now, proxy, zone, rate, has_initial_table, placement.number);
        self.tables.ensure(&placement);
        // Until it is assigned it holds tables that are not ours, with endpoints that may have left.
        self.endpoints.reset_ejected_everywhere();
        self.recheck_soon();
    }

    /// A proxy left, or its stream broke.
    pub fn proxy_left(&mut self, now: Moment, proxy: u32) {
        self.proxies.leave(proxy);
        self.channel.backlog.proxy_left(now, proxy);
    }

    /// A load report covers attempts at an endpoint: how many there were and failed without an answer, the
    /// latency of those answered, and the interval that the report covers.
    pub fn endpoint_outcomes(
        &mut self,
        now: Moment,
        id: &str,
        attempts: f64,
        failed: f64,
        latency: Span,
        interval: Span,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let answered = (attempts - failed).max(0.0);
        self.fleet_load.record_outcomes(attempts, answered);
        let outcomes = Outcomes { answered, failed, latency, interval };
        outliers::record_outcomes(endpoint, now, &outcomes, &self.config);
    }

    /// A load report covers requests of a class, as clients asked for them.
    pub fn demand(&mut self, class: u32, requests: f64) {
        self.fleet_load.record_demand(class as usize, requests);
    }

    /// A proxy acknowledged the commands with this number.
    pub fn acknowledged(&mut self, now: Moment, number: u32, proxy: u32) {
        self.channel.backlog.acknowledged(now, number, proxy);
    }

    /// A timer fired that was scheduled with the host.
    pub fn timer_fired(&mut self, now: Moment, timer: Timer) {
        self.timers.fired(timer);
        match timer {
            Timer::WatchRetry => self.host.watch_endpoints(),
            Timer::Resend => self.host.resend_commands(),
            Timer::Evaluation => {
                self.evaluate(now);
                self.issue_commands(now);
            }
            Timer::AssignmentRetry | Timer::Recheck => self.issue_commands(now),
        }
    }

    /// The latest commands were lost, or, with `may_have_arrived`, nobody knows whether they were.
    pub fn commands_lost(&mut self, now: Moment, may_have_arrived: bool) {
        self.schedule_resend(now, may_have_arrived);
    }

    /// The latest commands were accepted.
    pub fn commands_accepted(&mut self, now: Moment) {
        if std::mem::take(&mut self.delivery.is_resend_pending) {
            self.issue_commands(now);
        }
    }

    /// A table assignment was rejected: it is made again as if the proxy joined now.
    pub fn assignment_rejected(&mut self, now: Moment, proxy: u32) {
        self.proxies.unassign(now, proxy);
        self.recheck_soon();
    }

    /// An endpoint weight was rejected: it doesn't stand and comes with the next changes.
    pub fn weight_rejected(&mut self, table: u32, id: &EndpointId) {
        self.tables.remove_weight(table, id);
        self.recheck_soon();
    }

    /// A shard is published from here from now on.
    pub fn shard_assigned(&mut self, shard: u32) {
        self.shards.assign(shard);
    }

    /// A shard that is published from here has this weight already.
    pub fn shard_weight_restored(&mut self, shard: u32, id: &EndpointId, weight: f64) {
        self.shards.restore_weight(shard, id, weight);
    }

    /// A shard is no longer published from here.
    pub fn shard_revoked(&mut self, shard: u32) {
        self.shards.revoke(shard);
    }

    /// Draws conclusions from the load reports since the last evaluation.
    fn evaluate(&mut self, now: Moment) {
        self.fleet_load.extend_window(EVALUATION_INTERVAL);
        self.detect_outliers(now);
        self.shed_load(now);
        self.endpoints.decay();
        self.fleet_load.decay();
        self.forget_removed_endpoints(now);
        self.host.schedule_timer(EVALUATION_INTERVAL, Timer::Evaluation);
    }

    fn detect_outliers(&mut self, now: Moment) {
        self.fleet_load.median_score = outliers::detect_outliers(&mut self.endpoints, now);
    }

    fn shed_load(&mut self, now: Moment) {
        let joined_rate = self.proxies.joined_rate();
        self.admission.shed_load(now, &mut self.fleet_load, joined_rate, &self.config);
    }

    /// Lifts the ejection of endpoints that were removed long ago, so that their ids may return as new ones.
    /// Without this, each proxy that joins would get the ejections of all endpoints that ever were.
    fn forget_removed_endpoints(&mut self, now: Moment) {
        if self.delivery.is_resend_pending {
            return;
        }
        for (id, endpoint) in self.endpoints.forget_removed(now, |id| self.tables.hold(id)) {
            if endpoint.ejected {
                self.host.restore_endpoint(&id);
            }
            self.host.forget_endpoint(&id);
        }
    }

    /// The ready endpoints with what they can carry now, by id.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        routing::candidates(now, &self.config, &self.endpoints)
    }

    fn fleet_condition(&self) -> FleetCondition {
        FleetCondition::new(&self.config, &self.endpoints, &self.fleet_load)
    }

    /// Issues all commands of a moment.
    fn issue_commands(&mut self, now: Moment) {
        if self.delivery.is_resend_pending {
            self.note_pending_ejections(now);
            return;
        }
        if self.config.shards > 0 {
            self.publish_shards(now);
            return;
        }
        self.delivery.last_commands = now;
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let is_queue_short = self.channel.is_queue_short(now, &limits);
        let ordinary_due = self.publication.is_due(now) && !self.assignments_go_first();
        let changes_wait = self.publish_changes(now, &limits, ordinary_due, is_queue_short);
        let ejections_wait = self.eject_from_stale_tables(now, &limits, is_queue_short);
        if changes_wait || ejections_wait {
            self.recheck_soon();
        } else {
            self.assign_waiting(now, &limits);
        }
        self.recover_acknowledgements(now, &limits);
        self.request_acknowledgement(now, &limits);
    }

    /// Schedules another look, unless one is on its way.
    fn recheck_soon(&mut self) {
        if self.timers.start(Timer::Recheck) {
            self.host.schedule_timer(RECHECK_DELAY, Timer::Recheck);
        }
    }
}
