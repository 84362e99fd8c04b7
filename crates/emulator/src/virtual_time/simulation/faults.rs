//! Faults: workers that hang, are replaced or crash, and dispatchers that are restarted.

use dispatch_core::api::{Idempotency, RequestId, WorkerState};

use super::events::SimulationEvent;
use super::{OpenRequest, Simulation};
use crate::day::{micros, Fault, Micros};
use crate::metrics::JobOutcome;
use crate::worker::{progress_interval, Phase, Worker};

impl Simulation<'_> {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::HangWorker(w, hung) => {
                let mut events = std::mem::take(&mut self.job_events);
                self.workers[w].set_hung(hung, self.now, &mut events);
                self.process_job_events(w as u32, events);
            }
            Fault::NoisyNeighbour(w, part) => {
                self.workers[w].set_stolen_share(part, self.now);
                self.process_job_events(w as u32, Vec::new());
            }
            Fault::ReplaceWorker(w, duration) => {
                if self.workers[w].phase == Phase::Serving {
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[w].drain(self.now, &mut events);
                    self.record.workers[w].3 = self.now;
                    self.process_job_events(w as u32, events);
                    self.publish(
                        self.list_entry_as(w as u32, WorkerState::Draining),
                        self.day.discovery.drain_notice,
                    );
                    let process = self.processes[w];
                    self.schedule(self.now + duration, SimulationEvent::WorkerEnds(w as u32, process));
                    // Its successor has another name.
                    let plan = self.workers[w].plan.clone();
                    let since = self.now + duration;
                    let mut successor = Worker::new(plan, Some(since), since, progress_interval());
                    successor.phase = Phase::Ended;
                    let next = self.add_worker(successor);
                    self.schedule(since, SimulationEvent::WorkerStarts(next));
                }
            }
            Fault::CrashWorker(w, duration) => {
                self.kill_worker(w as u32);
                self.schedule(self.now + duration, SimulationEvent::WorkerStarts(w as u32));
            }
            Fault::RestartDispatcher(host, duration) => self.restart_dispatcher(host as u32, duration),
        }
    }

    pub(super) fn on_worker_starts(&mut self, w: u32) {
        let plan = self.workers[w as usize].plan.clone();
        let warm = micros(plan.warm_up);
        self.workers[w as usize] = Worker::new(plan, Some(self.now), self.now, progress_interval());
        (self.record.workers[w as usize].2, self.record.workers[w as usize].3) =
            (self.now + warm, Micros::MAX);
        self.publish(self.list_entry(w), self.day.discovery.start_notice);
    }

    /// A dispatcher is killed, and comes back with nothing but its last list.
    pub(super) fn restart_dispatcher(&mut self, host: u32, duration: Micros) {
        let h = &mut self.dispatchers[host as usize];
        if h.router.take().is_none() {
            return;
        }
        h.incarnation += 1;
        for (w, idle) in std::mem::take(&mut h.idle_connections) {
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(idle.len() as u32);
        }
        let mut open: Vec<(RequestId, OpenRequest)> =
            std::mem::take(&mut h.open_requests).into_iter().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (id, open) in open {
            let n = (id.0 - 1) as u32;
            self.checker.waive_response(id.0);
            self.checker.close_request(id.0);
            for attempt in open.attempts {
                if std::mem::replace(&mut self.attempts[attempt as usize].in_flight, false) {
                    let w = self.attempts[attempt as usize].worker;
                    self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[w as usize].cancel(attempt as usize, self.now, &mut events);
                    self.process_job_events(w, events);
                }
            }
            if !open.answered {
                self.open_submissions -= 1;
                let job = &self.day.jobs[self.submissions[n as usize].job as usize];
                let class = &self.experiment.traffic.classes[job.class as usize];
                match class.idempotency {
                    Idempotency::Idempotent => self.retry_or(n, None, JobOutcome::Failed(self.now)),
                    _ => self.record_outcome(n, JobOutcome::Failed(self.now)),
                }
            }
        }
        self.schedule(self.now + duration.max(1), SimulationEvent::DispatcherStarts(host));
    }
}
