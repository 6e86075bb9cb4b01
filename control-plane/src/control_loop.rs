//! The task that owns the rules and the clock. One round, top to bottom: wait for something, drain all that
//! is ready, tell it to the rules with one moment, send what they ordered as one call, tell them its fate.

use crate::call_error::CallProgress;
use crate::command_delivery::{CommandDelivery, DeliveryOutcome};
use crate::config::Config;
use crate::relay_host::{CommandKind, RelayHost};
use otterwinch::controller::Controller;
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{catch_panic, CommandValidator};
use serde_json::json;
use slog::{error, info, warn, Logger};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const QUEUE: usize = 4096;
const SUMMARY_EVERY: Span = Span::from_us(10_000_000);
const PAGE_EVERY: Span = Span::from_us(1_000_000);

pub type Call = Box<dyn FnOnce(&mut Controller<RelayHost>, Moment)>;

/// What the tasks of the peers speak to. Where the planner is behind, they wait.
#[derive(Clone)]
pub struct EventSender {
    pub told: mpsc::Sender<Call>,
    pub seen: Rc<Metrics>,
}

/// What went amiss at our address and with the config, counted for the page.
#[derive(Default)]
pub struct Metrics {
    pub dropped: Counter,
    pub ended: Counter,
    pub turned_away: Counter,
    pub config_read: Counter,
    pub config_refused: Counter,
}

#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn more(&self) {
        self.0.set(self.0.get() + 1);
    }
}

impl EventSender {
    pub async fn tell(&self, told: impl FnOnce(&mut Controller<RelayHost>, Moment) + 'static) {
        // Only at the end of the process is nobody there to listen.
        let _ = self.told.send(Box::new(told)).await;
    }
}

/// Unix time that never steps: the system's clock once, then the steady one.
pub struct Clock {
    began: Instant,
    unix: Span,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { began: Instant::now(), unix: Span::from_us(unix.as_micros() as i64) }
    }

    pub fn now(&self) -> Moment {
        Moment::from_us(self.unix.as_us() + self.began.elapsed().as_micros() as i64)
    }
}

pub struct ControlLoop {
    controller: Controller<RelayHost>,
    config: Rc<Config>,
    clock: Clock,
    commands: CommandDelivery,
    /// A call came to nothing: what is in hand goes again when the rules say so, and nothing before it.
    lost: bool,
    /// The relay said of the last call that it is none.
    unfit: bool,
    told: mpsc::Receiver<Call>,
    seen: Rc<Metrics>,
    page: watch::Sender<String>,
    log: Logger,
    opened: u64,
    lost_calls: u64,
    paged: Moment,
    summed: Moment,
}

impl ControlLoop {
    pub fn open(
        config: Rc<Config>,
        commands: CommandDelivery,
        log: Logger,
    ) -> (Self, EventSender, watch::Receiver<String>) {
        let clock = Clock::start();
        let now = clock.now();
        let desk =
            RelayHost::new(CommandValidator::new(&config.controller), config.names.clone(), now, log.clone());
        let mut controller = Controller::start(desk, config.controller.clone(), config.seed, now);
        controller.host().learn(&config.known, true);
        controller.endpoint_list_replaced(now, &config.known);
        let (ear, told) = mpsc::channel(QUEUE);
        let seen = Rc::<Metrics>::default();
        let (page, shown) = watch::channel(String::from("{}"));
        let (lost, opened, lost_calls) = (false, 1, 0);
        let (paged, summed) = (now, now);
        let planner = ControlLoop {
            controller,
            config,
            clock,
            commands,
            lost,
            unfit: false,
            told,
            seen: seen.clone(),
            page,
            log,
            opened,
            lost_calls,
            paged,
            summed,
        };
        (planner, EventSender { told: ear, seen }, shown)
    }

    pub fn follow(&mut self) -> Rc<tokio::sync::Notify> {
        self.controller.host().follow.clone()
    }

    /// Goes on until the end. What was decided by then still goes out, and a call whose fate is open once more:
    /// proxies that have not gone elsewhere yet would use what has left.
    pub async fn run(mut self, end: CancellationToken) {
        while !end.is_cancelled() {
            let first = self.wait(&end).await;
            self.round(first).await;
        }
        self.controller.host().again = true;
        self.round(None).await;
    }

    async fn round(&mut self, first: Option<Call>) {
        let now = self.clock.now();
        self.controller.host().now = now;
        let mut next = first;
        for _ in 0..QUEUE {
            match next.or_else(|| self.told.try_recv().ok()) {
                Some(told) => self.guarded(now, told),
                None => break,
            }
            next = None;
        }
        while let Some(timer) = self.controller.host().due(now) {
            self.guarded(now, Box::new(move |controller, now| controller.timer_fired(now, timer)));
        }
        self.send().await;
        self.report();
    }

    /// The first that comes: something told, or nothing where a wake-up is due or the end has come.
    async fn wait(&mut self, end: &CancellationToken) -> Option<Call> {
        let now = self.clock.now();
        let at = self.controller.host().next_wake().unwrap_or(now + PAGE_EVERY);
        let left = Duration::from_micros((at - now).as_us().max(0) as u64);
        tokio::select! {
            biased;
            told = self.told.recv() => told,
            () = sleep(left) => None,
            () = end.cancelled() => None,
        }
    }

    /// Sends what this moment ordered. While a call's fate is open nothing overtakes it.
    async fn send(&mut self) {
        loop {
            let again = std::mem::take(&mut self.controller.host().again);
            if self.lost && !again {
                return;
            }
            let fresh = std::mem::take(&mut self.controller.host().commands);
            self.commands.take(fresh);
            if self.commands.in_hand.is_empty() && !self.lost {
                return;
            }
            let fate = self.commands.deliver().await;
            let now = self.clock.now();
            self.controller.host().now = now;
            let unfit = matches!(&fate, DeliveryOutcome::Lost(failed) if failed.came == CallProgress::Unfit);
            let unfit_again = std::mem::replace(&mut self.unfit, unfit) && unfit;
            match fate {
                DeliveryOutcome::Taken => {
                    if std::mem::take(&mut self.lost) {
                        info!(self.log, "relay takes commands again");
                    }
                    self.guarded(now, Box::new(|controller, now| controller.commands_accepted(now)));
                }
                DeliveryOutcome::Declined(command) => {
                    warn!(self.log, "command declined by the relay"; "command" => &command.text);
                    match command.about {
                        CommandKind::Bind(proxy) => {
                            self.guarded(
                                now,
                                Box::new(move |controller, now| controller.assignment_rejected(now, proxy)),
                            );
                        }
                        CommandKind::Line(tbl, id) => {
                            self.guarded(
                                now,
                                Box::new(move |controller, _| controller.weight_rejected(tbl, &id)),
                            );
                        }
                        CommandKind::Level(_) | CommandKind::Withdrawal | CommandKind::Mark => {}
                    }
                    self.controller.host().again = self.lost;
                }
                // A call that the relay can't read would stop all that follows, for ever. Said once it may be
                // the answer that is spoilt, and the call goes again as it was.
                DeliveryOutcome::Lost(failed) if unfit_again => {
                    error!(self.log, "the relay can't use our commands"; "why" => %failed);
                    self.open_anew(now);
                    return;
                }
                DeliveryOutcome::Lost(failed) => {
                    self.lost_calls += 1;
                    if !std::mem::replace(&mut self.lost, true) {
                        let commands = self.commands.in_hand.len();
                        warn!(self.log, "commands lost"; "why" => %failed, "commands" => commands);
                    }
                    let unsure = failed.unsure();
                    self.guarded(now, Box::new(move |controller, now| controller.commands_lost(now, unsure)));
                    return;
                }
            }
        }
    }

    /// Controller that break are opened anew from what stands outside, as after a start.
    fn guarded(&mut self, now: Moment, told: Call) {
        if let Err(cause) = catch_panic(|| told(&mut self.controller, now)) {
            error!(self.log, "the rules broke"; "cause" => %cause);
            self.open_anew(now);
        }
    }

    /// Opens the rules again on what stands outside, as after a start. They are first told as gone of whatever
    /// the relay may still hold from the old ones: else a line of a server that has left would stay (rule 3),
    /// and one that was barred would never be let back in.
    fn open_anew(&mut self, now: Moment) {
        error!(self.log, "the rules are opened anew");
        let new =
            RelayHost::new(CommandValidator::default(), self.config.names.clone(), now, self.log.clone());
        let mut desk = std::mem::replace(self.controller.host(), new);
        desk.cleared();
        self.commands.in_hand.clear();
        (self.lost, self.unfit, self.opened) = (false, false, self.opened + 1);
        let (listed, gone) = desk.stands();
        let joined = desk.joined.clone();
        let seed = self.config.seed.wrapping_add(self.opened);
        self.controller = Controller::start(desk, self.config.controller.clone(), seed, now);
        let tell = |controller: &mut Controller<RelayHost>| {
            controller.endpoints_updated(now, &gone);
            controller.endpoint_list_replaced(now, &listed);
            joined.iter().for_each(|(p, (zone, rate))| controller.proxy_joined(now, *p, *zone, *rate, false));
        };
        if catch_panic(|| tell(&mut self.controller)).is_err() {
            error!(self.log, "the rules broke again on what stands");
        }
    }

    fn report(&mut self) {
        let now = self.clock.now();
        if now - self.paged < PAGE_EVERY {
            return;
        }
        self.paged = now;
        let (calls, lost_calls, opened, lost) =
            (self.commands.calls, self.lost_calls, self.opened, self.lost);
        let desk = self.controller.host();
        let (servers, proxies, ordered) = (desk.servers(), desk.joined.len(), desk.ordered);
        let [dropped, ended, turned_away, config_read, config_refused] = [
            &self.seen.dropped,
            &self.seen.ended,
            &self.seen.turned_away,
            &self.seen.config_read,
            &self.seen.config_refused,
        ]
        .map(|count| count.0.get());
        let page = json!({"servers": servers, "proxies": proxies, "commands": ordered, "calls": calls,
            "calls_lost": lost_calls, "opened": opened, "relay_away": lost, "dropped": dropped,
            "ended": ended, "turned_away": turned_away, "config_read": config_read,
            "config_refused": config_refused});
        self.page.send_replace(page.to_string());
        if now - self.summed >= SUMMARY_EVERY {
            self.summed = now;
            info!(self.log, "summary"; "servers" => servers, "proxies" => proxies, "commands" => ordered,
                "calls" => calls, "calls_lost" => lost_calls, "opened" => opened, "dropped" => dropped,
                "ended" => ended, "turned_away" => turned_away);
        }
    }
}

#[cfg(test)]
mod tests;
