//! Attempts: a request on its way from a dispatcher to a worker, until its end is known.

use dispatch_core::api::{Event, Outcome, RequestId, Seconds, WorkerId, WorkerState};
use rand::Rng as _;

use super::events::SimulationEvent;
use super::{DispatchAttempt, Simulation};
use crate::checker::{Location, ObservedAttempt};
use crate::day::{micros, Micros};
use crate::metrics::JobOutcome;
use crate::worker::Phase;

impl Simulation<'_> {
    pub(super) fn send(&mut self, host: u32, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(&w) = self.worker_index.get(&worker) else { return };
        let try_no = (request.0 - 1) as u32;
        let n = self.attempts.len() as u32;
        let h = &mut self.dispatchers[host as usize];
        let Some(open) = h.open_requests.get_mut(&request) else { return };
        let number = open.attempts.len() as u32;
        open.attempts.push(n);
        let late = open.answered || self.now >= self.submissions[try_no as usize].deadline;
        self.attempts.push(DispatchAttempt {
            host,
            incarnation: h.incarnation,
            submission: try_no,
            number,
            worker: w,
            process: self.processes[w as usize],
            in_flight: true,
            checker_send: None,
            run: None,
        });
        if late {
            return self.end_attempt(n, Outcome::NotSent);
        }
        if let Some(timeout) = timeout {
            self.schedule(self.now + micros(timeout), SimulationEvent::AttemptDeadline(n));
        }
        let kept = self.dispatchers[host as usize].idle_connections.get_mut(&w).and_then(|idle| {
            let before = idle.len();
            idle.retain(|used| used + self.day.network.idle > self.now);
            let gone = (before - idle.len()) as u32;
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(gone);
            idle.pop()
        });
        if kept.is_some() {
            return self.on_connection_ready(n);
        }
        self.record.new_connections += 1;
        let net = &self.day.network;
        let way = self.network_delay(host, w);
        let up = self.workers[w as usize].phase != Phase::Ended;
        if !up || self.connections[w as usize] >= self.workers[w as usize].plan.max_connections {
            return self.schedule(self.now + 2 * way, SimulationEvent::ConnectFailed(n));
        }
        self.connections[w as usize] += 1;
        let shake = (2.0 * way as f64 * net.handshake_rtts) as Micros + micros(net.handshake);
        self.schedule(self.now + shake, SimulationEvent::ConnectionReady(n));
    }

    /// One way between a dispatcher and a worker, for this message.
    pub(super) fn network_delay(&mut self, host: u32, worker: u32) -> Micros {
        let net = &self.day.network;
        let near = self.dispatchers[host as usize].zone == self.workers[worker as usize].plan.zone;
        let way = if near { net.same_zone } else { net.cross_zone };
        micros(way * (1.0 + net.jitter * self.rng.random_range(0.0..1.0))).max(1)
    }

    /// The connection stands: the request is written, unless the worker was listed to drain meanwhile.
    pub(super) fn on_connection_ready(&mut self, n: u32) {
        let (host, w, try_no, out) = {
            let a = &self.attempts[n as usize];
            (
                a.host,
                a.worker,
                a.submission,
                a.in_flight && self.dispatchers[a.host as usize].incarnation == a.incarnation,
            )
        };
        if !out {
            return;
        }
        let serving = self.dispatchers[host as usize]
            .agent_list
            .get(&self.worker_ids[w as usize].0)
            .is_some_and(|m| m.state == WorkerState::Serving);
        if !serving {
            return self.end_attempt(n, Outcome::NotSent);
        }
        let plan = &self.workers[w as usize].plan;
        let location = Location { zone: plan.zone, rack: plan.rack };
        let send = self.checker.record_attempt(ObservedAttempt {
            incarnation: self.incarnation_id(host),
            request: Self::request_id(try_no).0,
            worker: self.worker_ids[w as usize].0,
            location,
            sent_at: self.now,
        });
        self.attempts[n as usize].checker_send = Some(send);
        self.record.sends += 1;
        let job = self.submissions[try_no as usize].job as usize;
        self.record.first_sent[job] = self.record.first_sent[job].or(Some(self.now));
        self.record.cross_zone_sends += u64::from(location.zone != self.dispatchers[host as usize].zone);
        let way = self.network_delay(host, w);
        self.schedule(self.now + way, SimulationEvent::ReachWorker(n));
    }

    /// Stops waiting for an attempt that is out.
    pub(super) fn abandon_attempt(&mut self, n: u32, outcome: Outcome) {
        let (out, w) = (self.attempts[n as usize].in_flight, self.attempts[n as usize].worker);
        if !out {
            return;
        }
        let mut events = std::mem::take(&mut self.job_events);
        if self.workers[w as usize].cancel(n as usize, self.now, &mut events) {
            // It never began, though nobody tells the dispatcher.
            self.attempts[n as usize].run = None;
        }
        self.process_job_events(w, events);
        self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
        self.end_attempt(n, outcome);
    }

    /// An attempt ends for its dispatcher.
    pub(super) fn end_attempt(&mut self, n: u32, outcome: Outcome) {
        let (host, incarnation, number, try_no, send) = {
            let a = &mut self.attempts[n as usize];
            if !std::mem::replace(&mut a.in_flight, false) {
                return;
            }
            (a.host, a.incarnation, a.number, a.submission, a.checker_send)
        };
        if self.dispatchers[host as usize].incarnation != incarnation {
            return;
        }
        let id = Self::request_id(try_no);
        if let (Some(send), true) = (send, outcome.never_ran()) {
            self.checker.record_never_ran(id.0, send);
        }
        if let Some(open) = self.dispatchers[host as usize].open_requests.get_mut(&id) {
            open.never_ran &= outcome.never_ran();
        }
        if outcome == Outcome::Ok && self.is_open(try_no) {
            self.checker.record_response(id.0, false, self.now);
            self.record_outcome(try_no, JobOutcome::Served(self.now));
            self.mark_answered(try_no);
        }
        let complete = !self.is_open(try_no);
        self.deliver(
            host,
            Event::AttemptEnded { request: id, attempt: number, outcome, complete, load: None },
        );
        self.close_if_complete(host, id);
    }
}
