//! **Probing.** Probes workers for their load, and applies the load reports of probe results and responses.

use super::worker_selection::MAX_SAMPLE;
use super::Dispatcher;
use crate::api::{Action, LoadReport, LoadReports, RequestId, WorkerId, WorkerState};
use crate::job::JobState;
use crate::load::ObservationTime;
use crate::timers::TimerEvent;

/// Number of workers that are probed for a waiting job.
const PROBES_PER_JOB: f64 = 3.0;
/// Maximum price of all probes for one job, as a fraction of the value of a served request.
const MAX_PROBE_COST: f64 = 0.01;

/// The zones whose workers are probed for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeScope {
    /// The zone of this dispatcher.
    OwnZone,
    /// All other zones.
    OtherZones,
}

impl Dispatcher {
    /// Whether workers may be probed for waiting jobs.
    pub(super) fn may_probe(&self) -> bool {
        self.settings.probes_allowed && self.settings.load_reports == LoadReports::WithResponses
    }

    /// Probes a few workers while an admitted job waits for a free one, because load reports are old if this
    /// dispatcher has little traffic.
    pub(super) fn probe(&mut self, id: RequestId, scope: ProbeScope, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state == JobState::Admitted) else { return };
        let zones = self.fleet.serving_by_zone.len() as u32;
        let price = self.settings.probe_price.max(MAX_PROBE_COST / PROBES_PER_JOB);
        let mut probes_left = (MAX_PROBE_COST / price).round() as usize;
        for _ in 0..MAX_SAMPLE {
            let step = match scope {
                ProbeScope::OwnZone => 0,
                ProbeScope::OtherZones => self.rng.u32(1..zones.max(2)),
            };
            let zone = &self.fleet.serving_by_zone[((self.settings.zone + step) % zones.max(1)) as usize];
            let Some(&index) = zone.get(self.rng.usize(..zone.len().max(1))) else { continue };
            if probes_left > 0 && !self.fleet.workers[index].probing && self.is_eligible(index, job) {
                probes_left -= 1;
                self.fleet.workers[index].probing = true;
                actions.push(Action::Probe(self.fleet.workers[index].id));
            }
        }
    }

    /// Probes a random worker and schedules the next such probe. Each worker is probed about once per second,
    /// but at most one probe is sent per request, because probes have a price.
    pub(super) fn on_probe_due(&mut self, actions: &mut Vec<Action>) {
        let count = self.fleet.workers.len();
        let index = self.rng.usize(..count.max(1));
        if let Some(worker) = self.fleet.workers.get_mut(index) {
            if worker.state == WorkerState::Serving && !worker.probing {
                worker.probing = true;
                actions.push(Action::Probe(worker.id));
            }
        }
        let requests_per_second = 1.0 + self.banks.iter().map(|bank| bank.arrival_rate).sum::<f64>();
        let probes_per_second = (count as f64).min(requests_per_second).max(1.0);
        let after = 2.0 * self.rng.f64() / probes_per_second;
        self.schedule(after, TimerEvent::ProbeDue);
    }

    /// Handles the result of a probe; `load` is `None` if the worker did not respond or sent no load report.
    pub(super) fn on_probed(&mut self, id: WorkerId, load: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(&index) = self.fleet.index.get(&id) else { return };
        self.fleet.workers[index].probing = false;
        self.apply_load_report(index, load);
        if load.is_some() && self.may_probe() {
            self.remember_probed(index);
            self.place_admitted(actions);
        }
    }

    /// Puts a worker first on the list of those that answered a probe or left an idle connection.
    pub(super) fn remember_probed(&mut self, index: usize) {
        self.recently_probed.truncate(MAX_SAMPLE - 1);
        self.recently_probed.push_front(index);
    }

    /// Updates the estimate of a worker's load with a load report.
    pub(super) fn apply_load_report(&mut self, index: usize, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let time = self.observation_time();
        let waiting = self.fleet.apply_load_report(index, &load, self.workload.mean_slots, time);
        if let Some(waiting) = waiting.filter(|slots| *slots > 0.0 && !self.settings.reports_job_start) {
            // Job starts are not reported, but the queue shows that some jobs have not started.
            self.rate.record_rejection(index, waiting);
        }
    }

    /// Returns the current time as the time of an observation.
    pub(super) fn observation_time(&self) -> ObservationTime {
        ObservationTime { now: self.now, window: self.workload.rate_window() }
    }
}
