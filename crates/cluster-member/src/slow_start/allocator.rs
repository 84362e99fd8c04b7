//! The lease holder's side: who gets how much of which worker's quota.

use std::collections::{BTreeMap, VecDeque};

use coordination::Micros;

use super::messages::MAX_GRANTS;
use super::{EndpointAges, Grant, QuotaConfig, QuotaGrants, SlowStartProfile, UsageReport};

/// A member that reported nothing for this part of the time to live gets nothing: its clock reading is too old to be of use.
const USAGE_FRESHNESS_DIVISOR: u64 = 2;
/// Every member gets some part, so that one that begins to be busy is not left without: this part of the mean.
const MIN_USAGE_WEIGHT: f64 = 0.05;
/// One grant is for about one job: a smaller one is of use to nobody, of a larger one a rest is left.
const TYPICAL_JOBS_PER_GRANT: f64 = 1.25;

#[derive(Debug, Clone, Copy)]
struct ReceivedUsage {
    received_at: Micros,
    usage: UsageReport,
}

/// A grant that may still be used somewhere.
#[derive(Debug, Clone, Copy)]
struct OutstandingGrant {
    made_at: Micros,
    work: f64,
}

/// The allocation of quotas in one term.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    profile: SlowStartProfile,
    /// Before this nothing is granted: the term before may have granted until it ended.
    grants_from: Micros,
    usage: BTreeMap<u64, ReceivedUsage>,
    /// By worker, the oldest first.
    outstanding: BTreeMap<u64, VecDeque<OutstandingGrant>>,
    total_granted: f64,
}

impl QuotaAllocator {
    /// A term begins.
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

    /// Records what a member reports.
    pub fn record_usage(&mut self, usage: UsageReport, now: Micros) {
        self.usage.insert(usage.process_id, ReceivedUsage { received_at: now, usage });
    }

    /// What is granted now. `draw` gives random numbers from 0 to 1.
    pub fn allocate(
        &mut self,
        now: Micros,
        ages: &EndpointAges,
        mut draw: impl FnMut() -> f64,
    ) -> QuotaGrants {
        self.drop_stale_usage(now);
        self.drop_settled_grants(now);
        let processes = WeightedProcesses::new(self.usage.values().map(|received| received.usage));
        let mut grants = QuotaGrants::default();
        if now < self.grants_from || processes.total_weight <= 0.0 {
            return grants;
        }
        let in_slow_start = ages.ages(now).filter(|(_, age)| *age < self.profile.ramp_duration);
        for (worker, age) in in_slow_start.collect::<Vec<_>>() {
            self.allocate_worker(worker, age, now, &processes, &mut draw, &mut grants);
        }
        grants
    }

    /// Grants what is left of one worker's quota, to processes drawn by their weight.
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
        let mut left = quota - outstanding.iter().map(|grant| grant.work).sum::<f64>();
        while grants.0.len() < MAX_GRANTS {
            let Some(process) = processes.pick(draw()) else { break };
            let work = TYPICAL_JOBS_PER_GRANT * process.typical_work;
            if work > left {
                break;
            }
            left -= work;
            self.total_granted += work;
            outstanding.push_back(OutstandingGrant { made_at: now, work });
            let (process_id, clock_reading) = (process.process_id, process.clock_reading);
            grants.0.push(Grant { process_id, clock_reading, worker, work });
        }
    }

    fn drop_stale_usage(&mut self, now: Micros) {
        let fresh = self.config.grant_ttl / USAGE_FRESHNESS_DIVISOR;
        self.usage.retain(|_, received| now.saturating_sub(received.received_at) < fresh);
    }

    /// Drops grants that can be used nowhere any more.
    fn drop_settled_grants(&mut self, now: Micros) {
        let period = self.config.accounting_period(&self.profile);
        self.outstanding.retain(|_, grants| {
            while grants.front().is_some_and(|grant| now.saturating_sub(grant.made_at) >= period) {
                grants.pop_front();
            }
            !grants.is_empty()
        });
    }

    /// Work granted in this term, in slots by seconds.
    pub fn total_granted(&self) -> f64 {
        self.total_granted
    }

    /// The number of members that reported lately.
    pub fn reporting_members(&self) -> usize {
        self.usage.len()
    }
}

struct WeightedProcess {
    usage: UsageReport,
    weight: f64,
}

/// The processes that may get grants, weighted by what they use.
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

    /// The process at this fraction, from 0 to 1, of the total weight.
    fn pick(&self, fraction: f64) -> Option<&UsageReport> {
        let mut left = fraction * self.total_weight;
        let picked = self.processes.iter().find(|process| {
            left -= process.weight;
            left < 0.0
        });
        picked.or(self.processes.last()).map(|process| &process.usage)
    }
}
