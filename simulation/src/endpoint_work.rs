//! The handling of attempts at endpoints: connecting, queueing, running and answering them, as well as
//! rejection, injected faults and cancellation.

use crate::clock::Time;
use crate::endpoint::OfferOutcome;
use crate::engine::Engine;
use crate::event::{AttemptOutcome, Event};
use crate::request_sampling::Purpose;
use crate::slab::Handle;

/// The progress of a proxy's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// It has not reached the endpoint yet.
    InTransit,
    Queued,
    Running,
    /// The endpoint has accepted it and will not answer, because of an injected fault.
    Hanging,
    /// Its outcome, whether an answer or an error, is in transit to the proxy.
    OutcomeSent,
}

impl Engine<'_> {
    /// Handles the arrival of an attempt at its endpoint.
    pub(crate) fn attempt_at_endpoint(&mut self, attempt_slot: u32) {
        if let Some(outcome) = self.connect_attempt(attempt_slot) {
            return self.send_outcome_to_proxy(attempt_slot, outcome);
        }
        let attempt = &mut self.attempts[attempt_slot];
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        if attempt.abandoned {
            // The client gave up or the proxy crashed while the attempt was in transit.
            endpoint.open_connections -= 1;
            return self.attempts.release(attempt_slot);
        }
        if endpoint.hangs {
            attempt.stage = AttemptStage::Hanging;
            return;
        }
        if self.has_injected_failure(attempt_slot) {
            return self.send_outcome_to_proxy(attempt_slot, AttemptOutcome::Failed);
        }
        self.offer_work(attempt_slot);
    }

    /// Opens the attempt's connection or checks the reused one. Returns the attempt's outcome if the new
    /// connection was not accepted or the reused one has broken.
    fn connect_attempt(&mut self, attempt_slot: u32) -> Option<AttemptOutcome> {
        let attempt = &mut self.attempts[attempt_slot];
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

    /// Returns whether an attempt fails because of an injected fault.
    fn has_injected_failure(&self, attempt_slot: u32) -> bool {
        let attempt = &self.attempts[attempt_slot];
        let failure_rate = self.endpoints[attempt.endpoint as usize].failure_rate;
        let sampler = self.sampler(attempt.request.slot);
        failure_rate > 0.0 && sampler.sample(Purpose::InjectedFailure) < failure_rate
    }

    /// Offers an attempt to its endpoint, which starts, queues or rejects it, or collapses.
    fn offer_work(&mut self, attempt_slot: u32) {
        let attempt = &mut self.attempts[attempt_slot];
        let endpoint_index = attempt.endpoint;
        match self.endpoints[endpoint_index as usize].offer(self.now, attempt_slot, attempt.work) {
            OfferOutcome::Started(done_at) => self.run_attempt_until(attempt_slot, done_at),
            OfferOutcome::Queued => attempt.stage = AttemptStage::Queued,
            OfferOutcome::Rejected => self.send_outcome_to_proxy(attempt_slot, AttemptOutcome::NotExecuted),
            OfferOutcome::Collapsed => {
                self.send_outcome_to_proxy(attempt_slot, AttemptOutcome::ConnectionBroken);
                self.crash_endpoint(endpoint_index);
            }
        }
    }

    /// Marks an attempt as running and schedules its completion.
    fn run_attempt_until(&mut self, attempt_slot: u32, done_at: Time) {
        self.attempts[attempt_slot].stage = AttemptStage::Running;
        let attempt = self.attempts.handle(attempt_slot);
        self.schedule(done_at, Event::WorkDone { attempt });
    }

    /// Completes the work on an attempt, unless it was cancelled or its endpoint crashed in the meantime.
    pub(crate) fn work_done(&mut self, handle: Handle) {
        let attempt_slot = handle.slot;
        let attempt = &self.attempts[attempt_slot];
        if !self.attempts.is_current(handle) || attempt.stage != AttemptStage::Running {
            return;
        }
        let endpoint = attempt.endpoint;
        if attempt.abandoned {
            // The proxy no longer waits for an answer. If the endpoint has not noticed yet that the
            // connection is closed, it stays counted as open: `connection_closed` ignores a released attempt.
            self.attempts.release(attempt_slot);
        } else {
            self.send_outcome_to_proxy(attempt_slot, AttemptOutcome::Answered);
        }
        self.free_core(endpoint);
    }

    /// Frees a core of an endpoint and starts the next queued attempt on it.
    fn free_core(&mut self, endpoint_index: u32) {
        let endpoint = &mut self.endpoints[endpoint_index as usize];
        if let Some(next) = endpoint.finish_work(self.now) {
            let done_at = endpoint.start_work(self.now, self.attempts[next].work);
            self.run_attempt_until(next, done_at);
        }
    }

    /// Sends the outcome of an attempt to its proxy: the endpoint's answer or error, or a connection error.
    pub(crate) fn send_outcome_to_proxy(&mut self, attempt_slot: u32, outcome: AttemptOutcome) {
        let attempt = &mut self.attempts[attempt_slot];
        attempt.stage = AttemptStage::OutcomeSent;
        let (proxy, endpoint) = (attempt.proxy, attempt.endpoint);
        let arrival = self.now + self.one_way_latency(proxy, endpoint);
        self.schedule(arrival, Event::OutcomeAtProxy { attempt: attempt_slot, outcome });
    }

    /// Cancels an attempt when its endpoint notices that the proxy has closed the connection. A running
    /// attempt continues if the endpoint `finishes_abandoned_requests`.
    pub(crate) fn connection_closed(&mut self, handle: Handle) {
        let attempt_slot = handle.slot;
        let attempt = &self.attempts[attempt_slot];
        let endpoint_index = attempt.endpoint;
        let endpoint = &mut self.endpoints[endpoint_index as usize];
        let lost_in_crash = attempt.connected && attempt.endpoint_incarnation != endpoint.incarnation;
        if !self.attempts.is_current(handle) || lost_in_crash {
            return;
        }
        match attempt.stage {
            // Handled when the attempt reaches the endpoint, or its outcome reaches the proxy.
            AttemptStage::InTransit | AttemptStage::OutcomeSent => {}
            AttemptStage::Queued => {
                endpoint.remove_queued(attempt_slot);
                endpoint.open_connections -= 1;
                self.attempts.release(attempt_slot);
            }
            AttemptStage::Hanging => {
                endpoint.open_connections -= 1;
                self.attempts.release(attempt_slot);
            }
            AttemptStage::Running => {
                endpoint.open_connections -= 1;
                if !endpoint.finishes_abandoned_requests {
                    self.attempts.release(attempt_slot);
                    self.free_core(endpoint_index);
                }
            }
        }
    }
}
