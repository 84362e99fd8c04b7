//! Workers: arrival of jobs, the way of their events back to the dispatchers, and changes of the endpoint list.

use dispatch_core::api::{Endpoint, Event, Outcome, WorkerState};
use dispatch_core::hashing::worker_id;
use rand::Rng as _;
use rand_distr::Distribution as _;

use super::events::SimulationEvent;
use super::{DispatchAttempt, Simulation};
use crate::day::{micros, seconds, Micros};
use crate::metrics::JobRun;
use crate::worker::{AssignedJob, JobEvent, OverloadLimit, Phase, Worker};

impl Simulation<'_> {
    /// Adds a worker, and returns its index.
    pub(super) fn add_worker(&mut self, worker: Worker) -> u32 {
        let worker_index = self.workers.len() as u32;
        let id = worker_id(&format!("w-{worker_index}"));
        let warm_from = worker.started_at.map_or(0, |started_at| started_at + micros(worker.plan.warm_up));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.worker_indices.insert(id, worker_index);
        self.worker_ids.push(id);
        self.workers.push(worker);
        self.wake_schedules.push(0);
        self.ended_processes.push(0);
        self.connections.push(0);
        worker_index
    }

    /// Returns the endpoint of a worker that serves.
    pub(super) fn serving_endpoint(&self, worker_index: u32) -> Endpoint {
        self.endpoint_in_state(worker_index, WorkerState::Serving)
    }

    /// Returns the endpoint of a worker in a state.
    pub(super) fn endpoint_in_state(&self, worker_index: u32, state: WorkerState) -> Endpoint {
        let worker = &self.workers[worker_index as usize];
        Endpoint {
            worker: self.worker_ids[worker_index as usize],
            kind: worker.plan.kind as u32,
            zone: worker.plan.zone,
            cell: worker.plan.rack,
            started_at: worker.started_at.map_or(0.0, seconds),
            state,
        }
    }

    /// Publishes a change of the endpoint list once `delay` has passed, together with the other changes of the publish
    /// period.
    pub(super) fn publish(&mut self, endpoint: Endpoint, delay: Micros) {
        let period = self.day.discovery.publish_period.max(1);
        let at = (self.now + delay).div_ceil(period) * period;
        let publication = match self.publications_by_time.get(&at) {
            Some(publication) => *publication,
            None => {
                let publication = self.publications.len() as u32;
                self.publications.push(Vec::new());
                self.publications_by_time.insert(at, publication);
                self.schedule(at, SimulationEvent::PublishList(publication));
                publication
            }
        };
        self.publications[publication as usize].push(endpoint);
    }

    /// Passes the job of an attempt to the model of its worker. Publishes the end of the process if the job overloads
    /// it.
    pub(super) fn on_reach_worker(&mut self, attempt: u32) {
        let DispatchAttempt { worker: worker_index, process, dispatcher, submission, .. } =
            self.attempts[attempt as usize];
        if self.ended_processes[worker_index as usize] != process
            || self.workers[worker_index as usize].phase == Phase::Ended
        {
            let delay = self.network_delay(dispatcher, worker_index);
            let lost = JobEvent::Lost(attempt as usize);
            return self.schedule(self.now + delay, SimulationEvent::JobEventArrives(attempt, lost));
        }
        let job = &self.day.jobs[self.submissions[submission as usize].job as usize];
        let noise = match &self.work_noise[job.class as usize] {
            Some(noise) => noise.sample(&mut self.rng),
            None => 1.0,
        };
        let worker = &self.workers[worker_index as usize];
        let fails = self.rng.random_bool(worker.plan.error_rate);
        let list_entry =
            self.dispatchers[dispatcher as usize].agent_list.get(&self.worker_ids[worker_index as usize].0);
        let started_at = worker.started_at.map_or(0.0, seconds);
        let sender_knew_start = list_entry.is_some_and(|endpoint| endpoint.started_at >= started_at);
        let assigned = AssignedJob {
            attempt: attempt as usize,
            slots: job.slots,
            work: job.work * noise,
            expected_work: self.day.mean_work[job.class as usize] * f64::from(job.slots),
            fails,
            sender_knew_start,
        };
        let limit = OverloadLimit {
            multiple: self.experiment.rules.overload_multiple,
            window: micros(self.experiment.rules.overload_window),
        };
        let mut events = std::mem::take(&mut self.job_events);
        let overload = self.workers[worker_index as usize].offer(assigned, self.now, limit, &mut events);
        if let Some(overload) = overload {
            self.checker.record_slow_start_overload(overload.by_informed_senders);
            self.ended_processes[worker_index as usize] += 1;
            self.publish(
                self.endpoint_in_state(worker_index, WorkerState::Removed),
                self.day.discovery.death_notice,
            );
        }
        self.process_job_events(worker_index, events);
    }

    /// Records the events of a worker and sends them to the dispatchers of their attempts. Schedules the worker's next
    /// event, which replaces the one scheduled before.
    pub(super) fn process_job_events(&mut self, worker_index: u32, mut events: Vec<JobEvent>) {
        for event in events.drain(..) {
            let attempt = event.attempt() as u32;
            match event {
                JobEvent::Started(_) => {
                    let job = self.submissions[self.attempts[attempt as usize].submission as usize].job;
                    self.attempts[attempt as usize].run = Some(self.record.runs.len() as u32);
                    self.record.runs.push(JobRun {
                        job,
                        worker: worker_index,
                        started_at: self.now,
                        ended_at: Micros::MAX,
                    });
                }
                JobEvent::Done(_) | JobEvent::Failed(_) | JobEvent::Lost(_) => {
                    if let Some(run) = self.attempts[attempt as usize].run.take() {
                        self.record.runs[run as usize].ended_at = self.now;
                    }
                }
                _ => {}
            }
            let dispatcher = self.attempts[attempt as usize].dispatcher;
            let delay = self.network_delay(dispatcher, worker_index);
            self.schedule(self.now + delay, SimulationEvent::JobEventArrives(attempt, event));
        }
        self.job_events = events;
        self.wake_schedules[worker_index as usize] += 1;
        if let Some(next) = self.workers[worker_index as usize].next_event() {
            let schedule = self.wake_schedules[worker_index as usize];
            self.schedule(next, SimulationEvent::WakeWorker { worker: worker_index, schedule });
        }
    }

    /// Delivers an event of a worker to the dispatcher of the attempt, or ends the attempt if the event is final.
    pub(super) fn on_job_event(&mut self, attempt: u32, event: JobEvent) {
        let DispatchAttempt {
            dispatcher,
            incarnation,
            worker: worker_index,
            process,
            number,
            submission,
            in_flight,
            ..
        } = self.attempts[attempt as usize];
        if !in_flight || self.dispatchers[dispatcher as usize].incarnation != incarnation {
            return;
        }
        let request = Self::request_id(submission);
        let outcome = match event {
            JobEvent::Started(_) => {
                return self.deliver(dispatcher, Event::JobStarted { request, attempt: number })
            }
            JobEvent::Progress { completed_share: done, .. } => {
                return self.deliver(dispatcher, Event::Progress { request, attempt: number, done })
            }
            JobEvent::Done(_) => Outcome::Ok,
            JobEvent::Failed(_) => Outcome::Error,
            JobEvent::Rejected(_) => Outcome::Overloaded,
            JobEvent::Lost(_) => Outcome::Reset,
        };
        if outcome != Outcome::Reset && self.ended_processes[worker_index as usize] == process {
            self.dispatchers[dispatcher as usize]
                .idle_connections
                .entry(worker_index)
                .or_default()
                .push(self.now);
        }
        self.end_attempt(attempt, outcome);
    }

    /// Ends the process of a worker: its jobs are lost and its connections close.
    pub(super) fn kill_worker(&mut self, worker_index: u32) {
        self.ended_processes[worker_index as usize] += 1;
        self.connections[worker_index as usize] = 0;
        self.record.workers[worker_index as usize].3 = self.now;
        for host in &mut self.dispatchers {
            host.idle_connections.remove(&worker_index);
        }
        let mut events = std::mem::take(&mut self.job_events);
        self.workers[worker_index as usize].end(self.now, &mut events);
        self.process_job_events(worker_index, events);
    }
}
