//! Fault injection: workers that hang, slow down, are replaced or crash, and dispatchers that restart.

use dispatch_core::api::{Idempotency, RequestId, WorkerState};

use super::events::SimulationEvent;
use super::{OpenRequest, Simulation};
use crate::day::{micros, Fault, Micros};
use crate::metrics::JobOutcome;
use crate::worker::{progress_interval, Phase, Worker};

impl Simulation<'_> {
    /// Injects a fault of the day.
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::HangWorker(worker_index, hung) => {
                let mut events = std::mem::take(&mut self.job_events);
                self.workers[worker_index].set_hung(hung, self.now, &mut events);
                self.process_job_events(worker_index as u32, events);
            }
            Fault::NoisyNeighbour(worker_index, share) => {
                self.workers[worker_index].set_stolen_share(share, self.now);
                self.process_job_events(worker_index as u32, Vec::new());
            }
            Fault::ReplaceWorker(worker_index, drain_duration) => {
                if self.workers[worker_index].phase == Phase::Serving {
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[worker_index].drain(self.now, &mut events);
                    self.record.workers[worker_index].3 = self.now;
                    self.process_job_events(worker_index as u32, events);
                    self.publish(
                        self.endpoint_in_state(worker_index as u32, WorkerState::Draining),
                        self.day.discovery.drain_notice,
                    );
                    let process = self.ended_processes[worker_index];
                    let end = SimulationEvent::WorkerEnds { worker: worker_index as u32, process };
                    self.schedule(self.now + drain_duration, end);
                    // The replacement has a worker id of its own.
                    let plan = self.workers[worker_index].plan.clone();
                    let starts_at = self.now + drain_duration;
                    let mut replacement = Worker::new(plan, Some(starts_at), starts_at, progress_interval());
                    replacement.phase = Phase::Ended;
                    let replacement = self.add_worker(replacement);
                    self.schedule(starts_at, SimulationEvent::WorkerStarts(replacement));
                }
            }
            Fault::CrashWorker(worker_index, downtime) => {
                self.kill_worker(worker_index as u32);
                self.schedule(self.now + downtime, SimulationEvent::WorkerStarts(worker_index as u32));
            }
            Fault::RestartDispatcher(dispatcher, downtime) => {
                self.restart_dispatcher(dispatcher as u32, downtime)
            }
        }
    }

    /// Starts a process of a worker, in slow start, and publishes it.
    pub(super) fn on_worker_starts(&mut self, worker_index: u32) {
        let plan = self.workers[worker_index as usize].plan.clone();
        let warm_up = micros(plan.warm_up);
        self.workers[worker_index as usize] =
            Worker::new(plan, Some(self.now), self.now, progress_interval());
        (self.record.workers[worker_index as usize].2, self.record.workers[worker_index as usize].3) =
            (self.now + warm_up, Micros::MAX);
        self.publish(self.serving_endpoint(worker_index), self.day.discovery.start_notice);
    }

    /// Kills a dispatcher and starts it again after `downtime`. Only its endpoint list survives; its open requests and
    /// connections end.
    pub(super) fn restart_dispatcher(&mut self, dispatcher: u32, downtime: Micros) {
        let host = &mut self.dispatchers[dispatcher as usize];
        if host.router.take().is_none() {
            return;
        }
        host.incarnation += 1;
        for (worker_index, idle) in std::mem::take(&mut host.idle_connections) {
            self.connections[worker_index as usize] =
                self.connections[worker_index as usize].saturating_sub(idle.len() as u32);
        }
        let mut open_requests: Vec<(RequestId, OpenRequest)> =
            std::mem::take(&mut host.open_requests).into_iter().collect();
        open_requests.sort_unstable_by_key(|(id, _)| *id);
        for (id, open) in open_requests {
            let submission = (id.0 - 1) as u32;
            self.checker.waive_response(id.0);
            self.checker.close_request(id.0);
            for attempt in open.attempts {
                if std::mem::replace(&mut self.attempts[attempt as usize].in_flight, false) {
                    let worker_index = self.attempts[attempt as usize].worker;
                    self.connections[worker_index as usize] =
                        self.connections[worker_index as usize].saturating_sub(1);
                    let mut events = std::mem::take(&mut self.job_events);
                    self.workers[worker_index as usize].cancel(attempt as usize, self.now, &mut events);
                    self.process_job_events(worker_index, events);
                }
            }
            if !open.answered {
                self.open_submissions -= 1;
                let job = &self.day.jobs[self.submissions[submission as usize].job as usize];
                let class = &self.experiment.traffic.classes[job.class as usize];
                match class.idempotency {
                    Idempotency::Idempotent => self.retry_or(submission, None, JobOutcome::Failed(self.now)),
                    _ => self.record_outcome(submission, JobOutcome::Failed(self.now)),
                }
            }
        }
        self.schedule(self.now + downtime.max(1), SimulationEvent::DispatcherStarts(dispatcher));
    }
}
