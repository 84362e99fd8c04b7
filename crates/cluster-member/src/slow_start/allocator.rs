//! Allocation of the quotas of workers in slow start, by the lease holder.

use std::collections::{BTreeMap, VecDeque};

use coordination::Micros;

use super::messages::MAX_GRANTS;
use super::{EndpointAges, Grant, QuotaConfig, QuotaGrants, SlowStartProfile, UsageReport};

/// Usage reports expire after this fraction of the time to live of a grant: their clock readings are too old then.
const USAGE_FRESHNESS_DIVISOR: u64 = 2;
/// Minimum weight of a member, as a fraction of the mean usage, so that a member that becomes busy has some quota.
const MIN_USAGE_WEIGHT: f64 = 0.05;
/// Work of a grant, in typical jobs: less is of no use, and a rest of more is lost.
const TYPICAL_JOBS_PER_GRANT: f64 = 1.25;

#[derive(Debug, Clone, Copy)]
struct ReceivedUsage {
    received_at: Micros,
    usage: UsageReport,
}

/// Grant that a process may still use.
#[derive(Debug, Clone, Copy)]
struct OutstandingGrant {
    made_at: Micros,
    work: f64,
}

/// Allocator of quotas, in one term.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    profile: SlowStartProfile,
    /// Time from which quota is granted: the previous term may have granted until it ended.
    grants_from: Micros,
    usage: BTreeMap<u64, ReceivedUsage>,
    /// Outstanding grants by worker, the oldest first.
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

    /// Grants the available quota. `draw` returns random numbers from 0 to 1.
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

    /// Grants the rest of one worker's quota to processes drawn by weight.
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

    /// Drops grants that no process can use any more.
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
            let weight = usage.jobs_per_second + MIN_USAGE_WEIGHT * mean;
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
