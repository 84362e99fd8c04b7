//! Workers: jobs reach them, their events travel back, and the worker list tells of them.

use dispatch_core::api::{Endpoint, Event, Outcome, WorkerState};
use dispatch_core::hashing::worker_id;
use rand::Rng as _;
use rand_distr::Distribution as _;

use super::events::SimulationEvent;
use super::Simulation;
use crate::day::{micros, seconds, Micros};
use crate::metrics::JobRun;
use crate::worker::{AssignedJob, JobEvent, OverloadLimit, Phase, Worker};

impl Simulation<'_> {
    pub(super) fn add_worker(&mut self, worker: Worker) -> u32 {
        let w = self.workers.len() as u32;
        let id = worker_id(&format!("w-{w}"));
        let warm_from = worker.started_at.map_or(0, |since| since + micros(worker.plan.warm_up));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.worker_index.insert(id, w);
        self.worker_ids.push(id);
        self.workers.push(worker);
        self.wake_turns.push(0);
        self.processes.push(0);
        self.connections.push(0);
        w
    }

    pub(super) fn list_entry(&self, w: u32) -> Endpoint {
        self.list_entry_as(w, WorkerState::Serving)
    }

    pub(super) fn list_entry_as(&self, w: u32, state: WorkerState) -> Endpoint {
        let worker = &self.workers[w as usize];
        Endpoint {
            worker: self.worker_ids[w as usize],
            kind: worker.plan.kind as u32,
            zone: worker.plan.zone,
            cell: worker.plan.rack,
            started_at: worker.started_at.map_or(0.0, seconds),
            state,
        }
    }

    /// A change of the list goes out with the others of its period.
    pub(super) fn publish(&mut self, member: Endpoint, after: Micros) {
        let period = self.day.discovery.publish_period.max(1);
        let at = (self.now + after).div_ceil(period) * period;
        let list = match self.publications.get(&at) {
            Some(list) => *list,
            None => {
                let list = self.list_changes.len() as u32;
                self.list_changes.push(Vec::new());
                self.publications.insert(at, list);
                self.schedule(at, SimulationEvent::PublishList(list));
                list
            }
        };
        self.list_changes[list as usize].push(member);
    }

    pub(super) fn on_reach_worker(&mut self, n: u32) {
        let (w, process, host, try_no) = {
            let a = &self.attempts[n as usize];
            (a.worker, a.process, a.host, a.submission)
        };
        if self.processes[w as usize] != process || self.workers[w as usize].phase == Phase::Ended {
            let way = self.network_delay(host, w);
            return self
                .schedule(self.now + way, SimulationEvent::JobEventArrives(n, JobEvent::Lost(n as usize)));
        }
        let job = &self.day.jobs[self.submissions[try_no as usize].job as usize];
        let noise = match &self.work_noise[job.class as usize] {
            Some(noise) => noise.sample(&mut self.rng),
            None => 1.0,
        };
        let worker = &self.workers[w as usize];
        let fails = self.rng.random_bool(worker.plan.error_rate);
        let known = self.dispatchers[host as usize].agent_list.get(&self.worker_ids[w as usize].0);
        let since = worker.started_at.map_or(0.0, seconds);
        let informed = known.is_some_and(|m| m.started_at >= since);
        let usual = self.day.mean_work[job.class as usize] * f64::from(job.slots);
        let work = job.work * noise;
        let task = AssignedJob {
            attempt: n as usize,
            slots: job.slots,
            work,
            expected_work: usual,
            fails,
            sender_knew_start: informed,
        };
        let fall = OverloadLimit {
            multiple: self.experiment.rules.overload_multiple,
            window: micros(self.experiment.rules.overload_window),
        };
        let mut events = std::mem::take(&mut self.job_events);
        let fallen = self.workers[w as usize].offer(task, self.now, fall, &mut events);
        if let Some(fallen) = fallen {
            self.checker.record_slow_start_overload(fallen.by_informed_senders);
            self.processes[w as usize] += 1;
            self.publish(self.list_entry_as(w, WorkerState::Removed), self.day.discovery.death_notice);
        }
        self.process_job_events(w, events);
    }

    /// Takes what a worker says, and wakes it when it is due next.
    pub(super) fn process_job_events(&mut self, w: u32, mut events: Vec<JobEvent>) {
        for note in events.drain(..) {
            let n = note.attempt() as u32;
            match note {
                JobEvent::Started(_) => {
                    let job = self.submissions[self.attempts[n as usize].submission as usize].job;
                    self.attempts[n as usize].run = Some(self.record.runs.len() as u32);
                    self.record.runs.push(JobRun {
                        job,
                        worker: w,
                        started_at: self.now,
                        ended_at: Micros::MAX,
                    });
                }
                JobEvent::Done(_) | JobEvent::Failed(_) | JobEvent::Lost(_) => {
                    if let Some(run) = self.attempts[n as usize].run.take() {
                        self.record.runs[run as usize].ended_at = self.now;
                    }
                }
                _ => {}
            }
            let host = self.attempts[n as usize].host;
            let way = self.network_delay(host, w);
            self.schedule(self.now + way, SimulationEvent::JobEventArrives(n, note));
        }
        self.job_events = events;
        self.wake_turns[w as usize] += 1;
        if let Some(next) = self.workers[w as usize].next_event() {
            self.schedule(next, SimulationEvent::WakeWorker(w, self.wake_turns[w as usize]));
        }
    }

    pub(super) fn on_job_event(&mut self, n: u32, note: JobEvent) {
        let (host, incarnation, w, process, number, try_no, out) = {
            let a = &self.attempts[n as usize];
            (a.host, a.incarnation, a.worker, a.process, a.number, a.submission, a.in_flight)
        };
        if !out || self.dispatchers[host as usize].incarnation != incarnation {
            return;
        }
        let (request, attempt) = (Self::request_id(try_no), number);
        let outcome = match note {
            JobEvent::Started(_) => return self.deliver(host, Event::JobStarted { request, attempt }),
            JobEvent::Progress { completed_share: done, .. } => {
                return self.deliver(host, Event::Progress { request, attempt, done })
            }
            JobEvent::Done(_) => Outcome::Ok,
            JobEvent::Failed(_) => Outcome::Error,
            JobEvent::Rejected(_) => Outcome::Overloaded,
            JobEvent::Lost(_) => Outcome::Reset,
        };
        if outcome != Outcome::Reset && self.processes[w as usize] == process {
            self.dispatchers[host as usize].idle_connections.entry(w).or_default().push(self.now);
        }
        self.end_attempt(n, outcome);
    }

    /// A worker's process ends: what it has is lost, and so are the connections to it.
    pub(super) fn kill_worker(&mut self, w: u32) {
        self.processes[w as usize] += 1;
        self.connections[w as usize] = 0;
        self.record.workers[w as usize].3 = self.now;
        for host in &mut self.dispatchers {
            host.idle_connections.remove(&w);
        }
        let mut events = std::mem::take(&mut self.job_events);
        self.workers[w as usize].end(self.now, &mut events);
        self.process_job_events(w, events);
    }
}
