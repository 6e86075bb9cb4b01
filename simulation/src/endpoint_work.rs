//! What happens to a proxy's attempt at its endpoint: it is connected, queued, worked on and answered, or it is rejected,
//! fails, hangs or is cancelled.

use crate::clock::Time;
use crate::endpoint::Offer;
use crate::engine::Engine;
use crate::event::{AttemptOutcome, Event};
use crate::request_sampling::Purpose;
use crate::slab::Handle;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// On its way to the endpoint.
    InTransit,
    Queued,
    Running,
    /// The endpoint holds it and does nothing.
    Hanging,
    /// Its outcome is on its way to the proxy.
    Answered,
}

impl Engine<'_> {
    /// An attempt reaches its endpoint.
    pub(crate) fn attempt_at_endpoint(&mut self, slot: u32) {
        if let Some(outcome) = self.connection_failure(slot) {
            return self.respond(slot, outcome);
        }
        let attempt = &mut self.attempts[slot];
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        if attempt.abandoned {
            endpoint.open_connections -= 1;
            return self.attempts.release(slot);
        }
        if endpoint.hangs {
            attempt.stage = Stage::Hanging;
            return;
        }
        if self.fails_by_injection(slot) {
            return self.respond(slot, AttemptOutcome::Failed);
        }
        self.offer_work(slot);
    }

    /// Connects an attempt; returns how it ends if it can't be connected.
    fn connection_failure(&mut self, slot: u32) -> Option<AttemptOutcome> {
        let attempt = &mut self.attempts[slot];
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        if !attempt.opens_connection {
            let broken = attempt.endpoint_incarnation != endpoint.incarnation;
            return broken.then_some(AttemptOutcome::ConnectionBroken);
        }
        if !endpoint.accept_connection() {
            return Some(AttemptOutcome::NotExecuted);
        }
        attempt.connected = true;
        attempt.endpoint_incarnation = endpoint.incarnation;
        attempt.work += endpoint.connection_work;
        None
    }

    fn fails_by_injection(&self, slot: u32) -> bool {
        let attempt = &self.attempts[slot];
        let failure_rate = self.endpoints[attempt.endpoint as usize].failure_rate;
        let sampler = self.sampler(attempt.request.slot);
        failure_rate > 0.0 && sampler.sample(Purpose::InjectedFailure) < failure_rate
    }

    fn offer_work(&mut self, slot: u32) {
        let attempt = &mut self.attempts[slot];
        let number = attempt.endpoint;
        match self.endpoints[number as usize].offer(self.now, slot, attempt.work) {
            Offer::Started(done) => self.run_until(slot, done),
            Offer::Queued => attempt.stage = Stage::Queued,
            Offer::Rejected => self.respond(slot, AttemptOutcome::NotExecuted),
            Offer::Collapsed => {
                self.respond(slot, AttemptOutcome::ConnectionBroken);
                self.crash_endpoint(number);
            }
        }
    }

    fn run_until(&mut self, slot: u32, done: Time) {
        self.attempts[slot].stage = Stage::Running;
        let attempt = self.attempts.handle(slot);
        self.schedule(done, Event::WorkDone { attempt });
    }

    /// A core has done the work of an attempt, unless the attempt was cancelled or its endpoint crashed meanwhile.
    pub(crate) fn work_done(&mut self, handle: Handle) {
        let slot = handle.slot;
        let attempt = &self.attempts[slot];
        if !self.attempts.is_current(handle) || attempt.stage != Stage::Running {
            return;
        }
        let endpoint = attempt.endpoint;
        if attempt.abandoned {
            // Its connection was closed already.
            self.attempts.release(slot);
        } else {
            self.respond(slot, AttemptOutcome::Answered);
        }
        self.free_core(endpoint);
    }

    /// Frees a core of an endpoint, and starts the next attempt that is queued for one.
    fn free_core(&mut self, number: u32) {
        let endpoint = &mut self.endpoints[number as usize];
        if let Some(next) = endpoint.finish_work(self.now) {
            let done = endpoint.start_work(self.now, self.attempts[next].work);
            self.run_until(next, done);
        }
    }

    /// Sends the outcome of an attempt to its proxy: the endpoint's answer, or the error of its connection.
    pub(crate) fn respond(&mut self, slot: u32, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[slot];
        attempt.stage = Stage::Answered;
        let (proxy, endpoint) = (attempt.proxy, attempt.endpoint);
        let arrives = self.now + self.latency(proxy, endpoint);
        self.schedule(arrives, Event::OutcomeAtProxy { attempt: slot, outcome });
    }

    /// The endpoint notices that the connection of an attempt was closed, and cancels it.
    pub(crate) fn connection_closed(&mut self, handle: Handle) {
        let slot = handle.slot;
        let attempt = &self.attempts[slot];
        let number = attempt.endpoint;
        let endpoint = &mut self.endpoints[number as usize];
        let lost_in_crash = attempt.connected && attempt.endpoint_incarnation != endpoint.incarnation;
        if !self.attempts.is_current(handle) || lost_in_crash {
            return;
        }
        match attempt.stage {
            // The connection is closed when the attempt reaches its endpoint, or its outcome the proxy.
            Stage::InTransit | Stage::Answered => {}
            Stage::Queued => {
                endpoint.drop_queued(slot);
                endpoint.open_connections -= 1;
                self.attempts.release(slot);
            }
            Stage::Hanging => {
                endpoint.open_connections -= 1;
                self.attempts.release(slot);
            }
            Stage::Running => {
                endpoint.open_connections -= 1;
                if !endpoint.finishes_abandoned {
                    self.attempts.release(slot);
                    self.free_core(number);
                }
            }
        }
    }
}
