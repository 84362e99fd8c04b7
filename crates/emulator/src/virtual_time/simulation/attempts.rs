//! Attempts, from the dispatcher's decision to send them until the dispatcher knows their outcome.

use dispatch_core::api::{Event, Outcome, RequestId, Seconds, WorkerId, WorkerState};
use rand::Rng as _;

use super::events::SimulationEvent;
use super::{DispatchAttempt, Simulation};
use crate::checker::{Location, ObservedAttempt};
use crate::day::{micros, Micros};
use crate::metrics::JobOutcome;
use crate::worker::Phase;

impl Simulation<'_> {
    /// Starts an attempt: takes an idle connection to the worker, or opens a new one.
    pub(super) fn send(
        &mut self,
        dispatcher: u32,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Seconds>,
    ) {
        let Some(&worker_index) = self.worker_indices.get(&worker) else { return };
        let submission = (request.0 - 1) as u32;
        let attempt = self.attempts.len() as u32;
        let host = &mut self.dispatchers[dispatcher as usize];
        let Some(open) = host.open_requests.get_mut(&request) else { return };
        let number = open.attempts.len() as u32;
        open.attempts.push(attempt);
        let too_late = open.answered || self.now >= self.submissions[submission as usize].deadline;
        self.attempts.push(DispatchAttempt {
            dispatcher,
            incarnation: host.incarnation,
            submission,
            number,
            worker: worker_index,
            process: self.ended_processes[worker_index as usize],
            in_flight: true,
            checker_attempt: None,
            run: None,
        });
        if too_late {
            return self.end_attempt(attempt, Outcome::NotSent);
        }
        if let Some(timeout) = timeout {
            self.schedule(self.now + micros(timeout), SimulationEvent::AttemptTimeout(attempt));
        }
        let host = &mut self.dispatchers[dispatcher as usize];
        let reused = host.idle_connections.get_mut(&worker_index).and_then(|idle| {
            let count_before = idle.len();
            idle.retain(|last_used| last_used + self.day.network.idle > self.now);
            let expired = (count_before - idle.len()) as u32;
            self.connections[worker_index as usize] =
                self.connections[worker_index as usize].saturating_sub(expired);
            idle.pop()
        });
        if reused.is_some() {
            return self.on_connection_ready(attempt);
        }
        self.record.new_connections += 1;
        let network = &self.day.network;
        let delay = self.network_delay(dispatcher, worker_index);
        let has_process = self.workers[worker_index as usize].phase != Phase::Ended;
        if !has_process
            || self.connections[worker_index as usize]
                >= self.workers[worker_index as usize].plan.max_connections
        {
            return self.schedule(self.now + 2 * delay, SimulationEvent::ConnectFailed(attempt));
        }
        self.connections[worker_index as usize] += 1;
        let handshake_delay = (2.0 * delay as f64 * network.handshake_rtts) as Micros;
        let handshake_duration = handshake_delay + micros(network.handshake);
        self.schedule(self.now + handshake_duration, SimulationEvent::ConnectionReady(attempt));
    }

    /// Draws the one-way delay of a message between a dispatcher and a worker.
    pub(super) fn network_delay(&mut self, dispatcher: u32, worker: u32) -> Micros {
        let network = &self.day.network;
        let same_zone = self.dispatchers[dispatcher as usize].zone == self.workers[worker as usize].plan.zone;
        let delay = if same_zone { network.same_zone } else { network.cross_zone };
        micros(delay * (1.0 + network.jitter * self.rng.random_range(0.0..1.0))).max(1)
    }

    /// Writes the request on its connection, unless the dispatcher has been notified meanwhile that the worker drains.
    pub(super) fn on_connection_ready(&mut self, attempt: u32) {
        let DispatchAttempt { dispatcher, incarnation, submission, worker: worker_index, in_flight, .. } =
            self.attempts[attempt as usize];
        if !in_flight || self.dispatchers[dispatcher as usize].incarnation != incarnation {
            return;
        }
        let is_serving = self.dispatchers[dispatcher as usize]
            .agent_list
            .get(&self.worker_ids[worker_index as usize].0)
            .is_some_and(|endpoint| endpoint.state == WorkerState::Serving);
        if !is_serving {
            return self.end_attempt(attempt, Outcome::NotSent);
        }
        let plan = &self.workers[worker_index as usize].plan;
        let location = Location { zone: plan.zone, rack: plan.rack };
        let checker_attempt = self.checker.record_attempt(ObservedAttempt {
            incarnation: self.incarnation_id(dispatcher),
            request: Self::request_id(submission).0,
            worker: self.worker_ids[worker_index as usize].0,
            location,
            sent_at: self.now,
        });
        self.attempts[attempt as usize].checker_attempt = Some(checker_attempt);
        self.record.sends += 1;
        let job = self.submissions[submission as usize].job as usize;
        self.record.first_sent[job] = self.record.first_sent[job].or(Some(self.now));
        let dispatcher_zone = self.dispatchers[dispatcher as usize].zone;
        self.record.cross_zone_sends += u64::from(location.zone != dispatcher_zone);
        let delay = self.network_delay(dispatcher, worker_index);
        self.schedule(self.now + delay, SimulationEvent::ReachWorker(attempt));
    }

    /// Closes the connection of an attempt in flight, which cancels it at the worker, and ends it with an outcome.
    pub(super) fn abandon_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let DispatchAttempt { in_flight, worker: worker_index, .. } = self.attempts[attempt as usize];
        if !in_flight {
            return;
        }
        let mut events = std::mem::take(&mut self.job_events);
        if self.workers[worker_index as usize].cancel(attempt as usize, self.now, &mut events) {
            // The job never ran, but the dispatcher is not notified of that.
            self.attempts[attempt as usize].run = None;
        }
        self.process_job_events(worker_index, events);
        self.connections[worker_index as usize] = self.connections[worker_index as usize].saturating_sub(1);
        self.end_attempt(attempt, outcome);
    }

    /// Notifies the dispatcher of the outcome of an attempt in flight, and the client if the request was served.
    pub(super) fn end_attempt(&mut self, attempt: u32, outcome: Outcome) {
        let ended = &mut self.attempts[attempt as usize];
        if !std::mem::replace(&mut ended.in_flight, false) {
            return;
        }
        let DispatchAttempt { dispatcher, incarnation, number, submission, checker_attempt, .. } = *ended;
        if self.dispatchers[dispatcher as usize].incarnation != incarnation {
            return;
        }
        let id = Self::request_id(submission);
        if let (Some(checker_attempt), true) = (checker_attempt, outcome.never_ran()) {
            self.checker.record_never_ran(id.0, checker_attempt);
        }
        if let Some(open) = self.dispatchers[dispatcher as usize].open_requests.get_mut(&id) {
            open.never_ran &= outcome.never_ran();
        }
        if outcome == Outcome::Ok && self.is_open(submission) {
            self.checker.record_response(id.0, false, self.now);
            self.record_outcome(submission, JobOutcome::Served(self.now));
            self.mark_answered(submission);
        }
        let complete = !self.is_open(submission);
        self.deliver(
            dispatcher,
            Event::AttemptEnded { request: id, attempt: number, outcome, complete, load: None },
        );
        self.close_if_complete(dispatcher, id);
    }
}
