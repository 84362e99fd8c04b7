//! **Throttle.** Each tenant has a token bank and a small job buffer (Berger and Whitt), combined into one
//! balance in slots, U = T - J + C_J. If the bank holds k tokens, a job of k slots is admitted at once.
//! Otherwise it is queued, and new tokens are spent on the job at the head of the queue.

use super::placement::{MAX_PLACEMENTS, PLACEMENT_WAIT};
use super::probing::ProbeScope;
use super::Dispatcher;
use crate::api::{Action, RequestId, Seconds};
use crate::job::{Job, JobState};
use crate::timers::{TimerEvent, TIMER_TOLERANCE};
use crate::token_bank;

/// Time in which the tokens of a full bank accrue: workers absorb a burst of that size within a running time
/// or two.
const BANK_TIME: Seconds = 1.0;
/// Fraction of the wait for a free worker after which workers of other zones are probed.
const PROBE_OTHER_ZONES_AFTER: f64 = 0.2;

impl Dispatcher {
    /// Sets the capacities of all banks according to the current rate and the largest job.
    pub(super) fn resize_banks(&mut self) {
        let objectives = self.settings.served_classes().map(|class| class.latency_objective);
        let shortest_objective = objectives.fold(f64::INFINITY, f64::min);
        let largest_job = self.fleet.largest_job;
        for bank in &mut self.banks {
            let rate = bank.share * self.rate.slots_per_second;
            let token_capacity = ((rate * BANK_TIME) as i64).max(2 * largest_job);
            let buffer_capacity = ((rate * shortest_objective) as i64).max(largest_job);
            bank.resize(token_capacity, buffer_capacity);
        }
    }

    /// Admits the queued jobs of dropped tenants, because no more tokens accrue for them.
    pub(super) fn release_dropped_tenants(&mut self, actions: &mut Vec<Action>) {
        for tenant in self.settings.dropped.tenants.clone() {
            let Some(bank) = self.banks.get_mut(tenant as usize) else { continue };
            for id in bank.take_queued() {
                self.admit(id, actions);
            }
        }
    }

    /// Adds the tokens that have accrued since the last call.
    pub(super) fn accrue_tokens(&mut self) {
        let elapsed = self.now - std::mem::replace(&mut self.accrued_at, self.now);
        if elapsed > 0.0 {
            token_bank::accrue(&mut self.banks, self.rate.slots_per_second * elapsed);
        }
    }

    /// Withdraws the job's slots from its tenant's bank and admits the job, or queues it until tokens cover
    /// it.
    pub(super) fn enqueue(&mut self, job: Job, actions: &mut Vec<Action>) {
        let id = job.request.id;
        let tenant = job.tenant();
        let start_by = job.start_by;
        let is_paid = self.banks[tenant].withdraw(id, job.slots);
        self.jobs.insert(id, job);
        if is_paid {
            return self.admit(id, actions);
        }
        self.rate.is_limiting = true;
        self.schedule(start_by - self.now, TimerEvent::QueueTimeout(id));
        self.release_queued(tenant, actions);
    }

    /// Admits jobs from the head of a tenant's queue while tokens cover them.
    pub(super) fn release_queued(&mut self, tenant: usize, actions: &mut Vec<Action>) {
        while let Some(&id) = self.banks[tenant].queued.front() {
            let Some(job) = self.jobs.get(&id) else { return };
            if let Some(missing_tokens) = self.banks[tenant].release_head(job.slots) {
                let tokens_per_second = self.rate.partial(self.banks[tenant].share);
                return self.schedule(missing_tokens / tokens_per_second, TimerEvent::TokensDue(tenant));
            }
            self.admit(id, actions);
        }
    }

    /// Admits a job, which then waits for a worker. Its tokens have been spent, now or for an earlier
    /// attempt.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Admitted;
        let deadline = job.placement_deadline(PLACEMENT_WAIT);
        self.admitted.push_back(id);
        self.place_admitted(actions);
        if self.admitted.contains(&id) {
            self.await_free_worker(id, deadline - self.now, actions);
        }
    }

    /// Limits the wait of an admitted job for a free worker, and probes workers in the meantime.
    fn await_free_worker(&mut self, id: RequestId, wait: Seconds, actions: &mut Vec<Action>) {
        self.schedule(wait, TimerEvent::PlacementTimeout(id));
        if self.may_probe() && self.admitted.len() <= MAX_PLACEMENTS {
            self.probe(id, ProbeScope::OwnZone, actions);
            self.schedule(PROBE_OTHER_ZONES_AFTER * wait, TimerEvent::ProbeOtherZones(id));
        }
    }

    /// Ends a job that still waits for tokens or for a worker and has no time left to start.
    pub(super) fn on_queue_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.start_by > self.now + TIMER_TOLERANCE {
            return;
        }
        match job.state {
            JobState::Queued => {
                self.banks[job.tenant()].remove_queued(id, job.slots);
                self.rate.is_limiting = true;
            }
            JobState::Admitted => self.admitted.retain(|&admitted| admitted != id),
            JobState::InFlight | JobState::Ended => return,
        }
        self.reject_or_fail(id, actions);
    }
}
