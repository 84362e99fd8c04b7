//! Allocation of the quotas of workers in slow start, which is the task of the lease holder.

use std::collections::{BTreeMap, VecDeque};

use coordination::Micros;

use super::messages::MAX_GRANTS;
use super::{EndpointAges, Grant, QuotaConfig, QuotaGrants, SlowStartProfile, UsageReport};

/// Divisor of the time to live of a grant that gives the maximum age of a usage report. With an older clock reading,
/// too little of the time to live of a grant would be left.
const USAGE_FRESHNESS_DIVISOR: u64 = 2;
/// Weight added for every member, as a fraction of the mean usage, so that a member that becomes busy already has
/// quota.
const BASE_USAGE_WEIGHT: f64 = 0.05;
/// Work of a grant, as a multiple of the work of a typical job. A smaller grant would not suffice for a job, and the
/// unused rest of a larger one would be lost.
const TYPICAL_JOBS_PER_GRANT: f64 = 1.25;

#[derive(Debug, Clone, Copy)]
struct ReceivedUsage {
    received_at: Micros,
    usage: UsageReport,
}

/// Grant that is still accounted for, because a process may use it.
#[derive(Debug, Clone, Copy)]
struct OutstandingGrant {
    made_at: Micros,
    work: f64,
}

/// Allocator of quotas in one term of the lease.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    profile: SlowStartProfile,
    /// Time from which quota is granted. Before it, grants of the previous term may still be used.
    grants_from: Micros,
    usage: BTreeMap<u64, ReceivedUsage>,
    /// Outstanding grants by worker, oldest first.
    outstanding: BTreeMap<u64, VecDeque<OutstandingGrant>>,
    total_granted: f64,
}

impl QuotaAllocator {
    /// Creates an allocator at the start of a term.
    pub fn new(config: QuotaConfig, profile: SlowStartProfile, now: Micros) -> QuotaAllocator {
        QuotaAllocator {
            config,
            profile,
            grants_from: now + config.accounting_period(&profile),
            usage: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            total_granted: 0.0,
        }
    }

    /// Records a usage report.
    pub fn record_usage(&mut self, usage: UsageReport, now: Micros) {
        self.usage.insert(usage.process_id, ReceivedUsage { received_at: now, usage });
    }

    /// Grants the available quota of all workers in slow start. `draw` returns random numbers from 0 to 1.
    pub fn allocate(
        &mut self,
        now: Micros,
        ages: &EndpointAges,
        mut draw: impl FnMut() -> f64,
    ) -> QuotaGrants {
        self.drop_stale_usage(now);
        self.drop_expired_grants(now);
        let processes = WeightedProcesses::new(self.usage.values().map(|received| received.usage));
        let mut grants = QuotaGrants::default();
        if now < self.grants_from || processes.total_weight <= 0.0 {
            return grants;
        }
        let ramp_duration = self.profile.ramp_duration;
        let in_slow_start = ages.ages(now).filter(|(_, age)| *age < ramp_duration);
        for (worker, age) in in_slow_start {
            self.allocate_worker(worker, age, now, &processes, &mut draw, &mut grants);
        }
        grants
    }

    /// Grants the available quota of one worker to processes drawn by weight.
    fn allocate_worker(
        &mut self,
        worker: u64,
        age: Micros,
        now: Micros,
        processes: &WeightedProcesses,
        draw: &mut impl FnMut() -> f64,
        grants: &mut QuotaGrants,
    ) {
        let quota = self.config.grantable_fraction * self.config.tolerated_work(&self.profile, age);
        let outstanding = self.outstanding.entry(worker).or_default();
        let mut available = quota - outstanding.iter().map(|grant| grant.work).sum::<f64>();
        while grants.0.len() < MAX_GRANTS {
            let Some(process) = processes.pick(draw()) else { break };
            let work = TYPICAL_JOBS_PER_GRANT * process.typical_work;
            if work > available {
                break;
            }
            available -= work;
            self.total_granted += work;
            outstanding.push_back(OutstandingGrant { made_at: now, work });
            grants.0.push(Grant {
                process_id: process.process_id,
                clock_reading: process.clock_reading,
                worker,
                work,
            });
        }
    }

    fn drop_stale_usage(&mut self, now: Micros) {
        let max_age = self.config.grant_ttl / USAGE_FRESHNESS_DIVISOR;
        self.usage.retain(|_, received| now.saturating_sub(received.received_at) < max_age);
    }

    /// Drops grants that no process can use anymore.
    fn drop_expired_grants(&mut self, now: Micros) {
        let period = self.config.accounting_period(&self.profile);
        self.outstanding.retain(|_, grants| {
            while grants.front().is_some_and(|grant| now.saturating_sub(grant.made_at) >= period) {
                grants.pop_front();
            }
            !grants.is_empty()
        });
    }

    /// Returns the work granted in this term, in slot-seconds.
    pub fn total_granted(&self) -> f64 {
        self.total_granted
    }

    /// Returns the number of members with a fresh usage report.
    pub fn reporting_members(&self) -> usize {
        self.usage.len()
    }
}

struct WeightedProcess {
    usage: UsageReport,
    weight: f64,
}

/// Processes that may receive grants, weighted by usage.
struct WeightedProcesses {
    processes: Vec<WeightedProcess>,
    total_weight: f64,
}

impl WeightedProcesses {
    fn new(reports: impl Iterator<Item = UsageReport>) -> WeightedProcesses {
        let reports: Vec<UsageReport> = reports.collect();
        let mean =
            reports.iter().map(|usage| usage.jobs_per_second).sum::<f64>() / reports.len().max(1) as f64;
        let weighted = |usage: UsageReport| {
            let weight = usage.jobs_per_second + BASE_USAGE_WEIGHT * mean;
            WeightedProcess { usage, weight }
        };
        let processes: Vec<WeightedProcess> =
            reports.into_iter().filter(|usage| usage.typical_work > 0.0).map(weighted).collect();
        let total_weight = processes.iter().map(|process| process.weight).sum();
        WeightedProcesses { processes, total_weight }
    }

    /// Returns the process at this fraction, from 0 to 1, of the total weight.
    fn pick(&self, fraction: f64) -> Option<&UsageReport> {
        let mut remaining = fraction * self.total_weight;
        let picked = self.processes.iter().find(|process| {
            remaining -= process.weight;
            remaining < 0.0
        });
        picked.or(self.processes.last()).map(|process| &process.usage)
    }
}
