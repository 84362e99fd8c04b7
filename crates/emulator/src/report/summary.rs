//! Summarizes the runs of an experiment by arm and by case.

use std::collections::BTreeMap;

use super::{ArmResult, CaseResult, Mean, Results, Service};
use crate::checker::RuleViolations;
use crate::metrics::{LostValue, RunMetrics};
use crate::run::Run;
use crate::spec::{Arm, Experiment};

impl Results {
    /// Summarizes runs; `drive` is the name of their execution mode.
    pub fn summarize(experiment: &Experiment, drive: &str, seeds: &[u64], runs: &[Run]) -> Results {
        let arms = experiment.arms.iter().enumerate().map(|(index, arm)| {
            let of_arm: Vec<&Run> = runs.iter().filter(|run| run.arm == index).collect();
            arm_result(experiment, arm, &of_arm)
        });
        Results {
            experiment: experiment.name.clone(),
            about: experiment.about.clone(),
            drive: drive.to_owned(),
            seeds: seeds.to_vec(),
            arms: arms.collect(),
        }
    }
}

fn arm_result(experiment: &Experiment, arm: &Arm, runs: &[&Run]) -> ArmResult {
    let cases = experiment.cases.iter().enumerate().map(|(index, case)| {
        let of_case: Vec<&Run> = runs.iter().copied().filter(|run| run.case == index).collect();
        case_result(&case.name, &of_case)
    });
    ArmResult {
        name: arm.name.clone(),
        service: Service {
            all: mean(runs, |metrics| metrics.all.service()).mean,
            small: mean(runs, |metrics| metrics.small.service()).mean,
            large: mean(runs, |metrics| metrics.large.service()).mean,
            tenant: tenant_service(experiment, runs),
        },
        late_p99_ms: mean(runs, |metrics| metrics.late_p99_ms).mean,
        large_starved: total(runs, |metrics| metrics.large_starved),
        large_jobs: total(runs, |metrics| metrics.large_jobs),
        large_admitted: total(runs, |metrics| metrics.large_admitted),
        large_late: total(runs, |metrics| metrics.large_late),
        rules: total_violations(runs),
        goal: mean(runs, |metrics| metrics.goal).mean,
        cases: cases.collect(),
    }
}

fn tenant_service(experiment: &Experiment, runs: &[&Run]) -> BTreeMap<String, f64> {
    let by_tenant = experiment.traffic.tenants.iter().map(|tenant| {
        let service =
            |metrics: &RunMetrics| metrics.tenants.get(&tenant.name).copied().unwrap_or_default().service();
        (tenant.name.clone(), mean(runs, service).mean)
    });
    by_tenant.collect()
}

fn case_result(name: &str, runs: &[&Run]) -> CaseResult {
    CaseResult {
        name: name.to_owned(),
        all: mean(runs, |metrics| metrics.all.service()),
        small: mean(runs, |metrics| metrics.small.service()),
        large: mean(runs, |metrics| metrics.large.service()),
        goal: mean(runs, |metrics| metrics.goal),
        late: mean(runs, |metrics| metrics.late),
        refused: mean(runs, |metrics| metrics.refused),
        failed: mean(runs, |metrics| metrics.failed),
        late_p99_ms: mean(runs, |metrics| metrics.late_p99_ms),
        sends: mean(runs, |metrics| metrics.sends as f64 / (metrics.jobs as f64).max(1.0)),
        lost: mean_lost_value(runs),
        large_starved: total(runs, |metrics| metrics.large_starved),
        rules: total_violations(runs),
        goal_by_seed: runs.iter().map(|run| run.metrics.goal).collect(),
        service_by_seed: runs.iter().map(|run| run.metrics.all.service()).collect(),
    }
}

fn mean_lost_value(runs: &[&Run]) -> LostValue {
    LostValue {
        refused: mean(runs, |metrics| metrics.lost.refused).mean,
        failed: mean(runs, |metrics| metrics.lost.failed).mean,
        held: mean(runs, |metrics| metrics.lost.held).mean,
        queued: mean(runs, |metrics| metrics.lost.queued).mean,
        slow: mean(runs, |metrics| metrics.lost.slow).mean,
    }
}

fn mean(runs: &[&Run], metric: impl Fn(&RunMetrics) -> f64) -> Mean {
    let samples: Vec<f64> = runs.iter().map(|run| metric(&run.metrics)).collect();
    Mean::from_samples(&samples)
}

fn total(runs: &[&Run], count: impl Fn(&RunMetrics) -> u64) -> u64 {
    runs.iter().map(|run| count(&run.metrics)).sum()
}

fn total_violations(runs: &[&Run]) -> RuleViolations {
    let mut all = RuleViolations::default();
    runs.iter().for_each(|run| all.add(run.metrics.rules));
    all
}
