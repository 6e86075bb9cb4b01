//! The control logic: handles events and issues commands.
//!
//! The embedding program calls one method of [`Controller`] per event and passes the current time. The
//! controller issues the resulting commands during that call, through the [`Host`] it was created with. It
//! performs no I/O, reads no clock and takes all randomness from a seeded generator, so the same sequence of
//! events always produces the same commands. Commands issued at the same time are sent together.
//!
//! Commands reach the proxies through the *channel*, the shared queue of messages to all proxies. A *line* is
//! the unit of its cost: one command sent to one proxy. Message overheads are stated in lines too.
//!
//! Each module is responsible for one concern and owns its state and constants. `candidate`, `outlier_state`
//! and `routing_snapshot` decide nothing: they define what routing, slow start and outlier detection work on.
//!
//! | module | decides |
//! | --- | --- |
//! | `endpoints` | the state of each known endpoint |
//! | `forgetting` | when an endpoint that was removed long ago is forgotten |
//! | `proxies` | the state of each known proxy |
//! | `outliers` | which endpoints have their weight reduced because of errors or high latency |
//! | `fleet_load` | whether the fleet is degraded or overloaded |
//! | `admission` | how much of each request class is admitted |
//! | `placement` | which route tables a proxy belongs to |
//! | `slow_start` | the weights of endpoints that are warming up |
//! | `routing` | which endpoints a route table should hold |
//! | `cold_tables` | when a table whose endpoints are all cold stays empty |
//! | `peak_weight` | how much weight usually carries the load |
//! | `retention` | which weights a table keeps for a while although none is desired |
//! | `changes` | which differences from the published tables are worth sending |
//! | `pending_changes` | the changes of all tables at one point in time |
//! | `publication` | when changes are sent, and in which order |
//! | `blocked_proxies` | which changes wait for a proxy that may not be sent a message |
//! | `urgency` | by when a command must be sent |
//! | `urgent_batch` | which urgent changes go first |
//! | `ejection` | when endpoints that are no longer ready are ejected from proxies with stale tables |
//! | `assignment` | when a proxy is assigned to its route tables |
//! | `channel` | how many lines may be queued in the channel |
//! | `push_limit` | how many messages each proxy may be sent |
//! | `delivery` | how lost commands and lost acknowledgements are handled |
//! | `sharding` | which endpoint serves each shard |
//! | `timers` | which timers are pending |

mod admission;
mod assignment;
mod blocked_proxies;
mod candidate;
mod changes;
mod channel;
mod cold_tables;
mod delivery;
#[cfg(test)]
mod drain_grace_tests;
mod ejection;
mod endpoints;
mod fleet_load;
mod forgetting;
mod outlier_state;
mod outliers;
mod peak_weight;
mod pending_changes;
mod placement;
mod proxies;
mod publication;
mod push_limit;
#[cfg(test)]
mod relay_model;
mod retention;
mod routing;
mod routing_snapshot;
mod sharding;
mod slow_start;
#[cfg(test)]
mod test_support;
mod timers;
mod urgency;
mod urgent_batch;

use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointUpdate, Host, Timer};
use crate::listed_state::ListedState;
use crate::seeded_rng::SeededRng;
use crate::time::{Moment, Span};
use admission::Admission;
use candidate::Candidate;
use channel::{Channel, ChannelLimits};
use delivery::DeliveryState;
use endpoints::EndpointRegistry;
use fleet_load::FleetLoad;
use outliers::Outcomes;
use proxies::ProxyRegistry;
use publication::PublicationState;
use routing::RouteTables;
use sharding::ShardMap;
use slow_start::FleetCondition;
use timers::PendingTimers;

/// The interval between evaluations of load, outliers and admission.
const EVALUATION_INTERVAL: Span = Span::from_us(1_000_000);
/// The delay before deferred commands are considered again.
const RECHECK_DELAY: Span = Span::from_us(50_000);

/// Handles the events of a fleet of endpoints and its proxies, and issues commands through a [`Host`].
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
    delivery: DeliveryState,
}

impl<H: Host> Controller<H> {
    /// Creates a controller without endpoints or proxies and schedules its first evaluation. Starts to
    /// watch the endpoint list if the deployment requires polling.
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
            delivery: DeliveryState::default(),
            config,
        }
    }

    /// Returns the host, so that the embedding program can use it between events.
    pub fn host_mut(&mut self) -> &mut H {
        &mut self.host
    }

    /// Takes over endpoints that are not ready from a former controller, before any other event. Their drain
    /// graces have been running since the times in the listed states.
    pub fn restore_unready_endpoints(&mut self, endpoints: Vec<(EndpointId, ListedState)>) {
        for (id, listed) in endpoints {
            self.endpoints.restore(id, listed);
        }
    }

    /// Handles a complete endpoint list: known endpoints that are missing from it count as removed.
    pub fn endpoint_list_replaced(&mut self, now: Moment, complete_list: &[EndpointUpdate]) {
        self.endpoints.remove_unlisted(now, complete_list);
        self.endpoints_updated(now, complete_list);
    }

    /// Handles added or changed entries of the endpoint list.
    pub fn endpoints_updated(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        self.endpoints.apply_updates(now, updates);
        self.issue_commands(now);
    }

    /// Handles a failed read or an ended watch of the endpoint list: keeps the known endpoints and schedules
    /// another attempt to watch the list.
    pub fn endpoint_watch_failed(&mut self, now: Moment) {
        let delay = self.endpoints.watch_retry_delay(now, &mut self.rng);
        self.host.schedule_timer(delay, Timer::WatchRetry);
    }

    /// Handles a proxy that joined. `rate` is its usual load in requests per second. `has_initial_table`
    /// means that it still uses the endpoints it selected at random when it started.
    pub fn proxy_joined(&mut self, now: Moment, proxy: u32, zone: u32, rate: f64, has_initial_table: bool) {
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let placements = placement::placements(proxy, zone, &self.config, &self.endpoints, &limits);
        self.proxies.join(now, proxy, zone, rate, has_initial_table, &placements);
        for placement in &placements {
            self.tables.create_if_missing(placement);
        }
        // Until it is assigned, the proxy uses a table that this controller did not publish and that may
        // contain endpoints that are no longer ready.
        self.endpoints.reset_ejected_everywhere(now);
        self.schedule_recheck();
    }

    /// Handles a proxy that left or whose stream broke.
    pub fn proxy_left(&mut self, now: Moment, proxy: u32) {
        self.proxies.leave(proxy);
        self.channel.backlog.proxy_left(now, proxy);
    }

    /// Handles the part of a load report that covers one endpoint: the number of attempts, the number that
    /// failed without an answer, the mean latency of the answered ones and the interval of the report.
    pub fn outcomes_reported(
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

    /// Handles the part of a load report that covers one request class: the number of requests that clients
    /// made.
    pub fn demand_reported(&mut self, class: u32, requests: f64) {
        self.fleet_load.record_demand(class as usize, requests);
    }

    /// Handles a proxy's acknowledgement of the commands with this number.
    pub fn commands_acknowledged(&mut self, now: Moment, number: u32, proxy: u32) {
        self.channel.backlog.acknowledged(now, number, proxy);
    }

    /// Handles a timer that was scheduled through [`Host::schedule_timer`] and fired.
    pub fn timer_fired(&mut self, now: Moment, timer: Timer) {
        self.timers.mark_fired(timer);
        match timer {
            Timer::WatchRetry => self.host.watch_endpoints(),
            Timer::Resend => self.resend(now),
            Timer::Evaluation => {
                self.evaluate(now);
                self.issue_commands(now);
            }
            Timer::AssignmentRetry | Timer::Recheck => self.issue_commands(now),
        }
    }

    /// Handles a failed delivery of commands that were not accepted yet. `may_have_arrived` means that they
    /// may have arrived nevertheless. Until all are accepted, only commands with a deadline are issued.
    pub fn commands_lost(&mut self, now: Moment, may_have_arrived: bool) {
        self.schedule_resend(now, may_have_arrived);
    }

    /// Handles the confirmation that all commands issued so far were accepted.
    pub fn commands_accepted(&mut self, now: Moment) {
        if self.record_accepted() {
            self.issue_commands(now);
        }
    }

    /// Handles a rejected table assignment: the proxy is assigned to its tables again as if it had just
    /// joined.
    pub fn assignment_rejected(&mut self, now: Moment, proxy: u32) {
        self.proxies.unassign(now, proxy);
        self.schedule_recheck();
    }

    /// Handles a rejected endpoint weight: it counts as unpublished, so it is sent again with the next
    /// changes if the table should still hold the endpoint. A rejected removal is not sent again.
    pub fn weight_rejected(&mut self, table: u32, id: &EndpointId) {
        self.tables.remove_weight(table, id);
        self.schedule_recheck();
    }

    /// Makes this controller responsible for publishing a shard.
    pub fn shard_assigned(&mut self, shard: u32) {
        self.shards.assign(shard);
    }

    /// Records an already published weight of a shard that this controller publishes; sends nothing.
    pub fn shard_weight_restored(&mut self, shard: u32, id: &EndpointId, weight: f64) {
        self.shards.restore_weight(shard, id, weight);
    }

    /// Stops publishing a shard from this controller.
    pub fn shard_revoked(&mut self, shard: u32) {
        self.shards.revoke(shard);
    }

    /// Updates outliers and admission from the load reports, decays old measurements and forgets endpoints
    /// that were removed long ago. Runs once per [`EVALUATION_INTERVAL`].
    fn evaluate(&mut self, now: Moment) {
        self.fleet_load.extend_window(EVALUATION_INTERVAL);
        self.detect_outliers(now);
        self.shed_load(now);
        self.endpoints.decay();
        self.tables.decay();
        self.fleet_load.decay();
        self.forget_removed_endpoints(now);
        self.host.schedule_timer(EVALUATION_INTERVAL, Timer::Evaluation);
    }

    fn detect_outliers(&mut self, now: Moment) {
        self.fleet_load.median_score = outliers::detect_outliers(&mut self.endpoints, now);
    }

    /// Adapts the admission levels to the load: lowers them under overload and raises them again afterwards.
    fn shed_load(&mut self, now: Moment) {
        let joined_request_rate = self.proxies.joined_request_rate();
        self.admission.shed_load(now, &mut self.fleet_load, joined_request_rate, &self.config);
    }

    /// The ready endpoints with their current capacity, ordered by id.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        routing_snapshot::candidates(now, &self.config, &self.endpoints)
    }

    fn fleet_condition(&self) -> FleetCondition {
        FleetCondition::new(&self.config, &self.endpoints, &self.fleet_load)
    }

    /// Issues all commands that are due and that fit into the channel.
    fn issue_commands(&mut self, now: Moment) {
        if self.delivery.is_resend_pending {
            self.issue_commands_with_deadline(now);
            return;
        }
        if self.config.shards > 0 {
            self.publish_shards(now);
            return;
        }
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let is_queue_short = self.channel.is_queue_short(now, &limits);
        let ordinary_due = self.publication.is_due(now) && !self.assignments_take_priority();
        let changes_deferred = self.publish_changes(now, &limits, ordinary_due, is_queue_short);
        let ejections_deferred = self.eject_from_stale_tables(now, &limits, is_queue_short);
        if changes_deferred || ejections_deferred {
            self.schedule_recheck();
        } else {
            self.assign_waiting(now, &limits);
        }
        self.recover_acknowledgements(now, &limits);
        self.request_acknowledgement(now, &limits);
    }

    /// Issues only commands with a deadline: they must not wait until earlier commands are accepted.
    fn issue_commands_with_deadline(&mut self, now: Moment) {
        if self.config.shards > 0 {
            return;
        }
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let is_queue_short = self.channel.is_queue_short(now, &limits);
        let changes_deferred = self.publish_changes_with_deadline(now, &limits, is_queue_short);
        let ejections_deferred = self.eject_from_stale_tables(now, &limits, is_queue_short);
        if changes_deferred || ejections_deferred {
            self.schedule_recheck();
        }
        self.request_acknowledgement(now, &limits);
    }

    /// Schedules a recheck unless one is already pending.
    fn schedule_recheck(&mut self) {
        if self.timers.mark_scheduled(Timer::Recheck) {
            self.host.schedule_timer(RECHECK_DELAY, Timer::Recheck);
        }
    }
}
