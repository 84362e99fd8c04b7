//! Draws the faults of a schedule by its seed, or takes them from its script, and injects them one at a time.

use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::time::{sleep, sleep_until, Instant};

use super::{
    Fault, InjectedFault, JobArrival, Observations, Plan, ScriptedFault, SharedObservations, WorkerLinks,
    RUN_TIME, SLOTS, ZONES,
};
use crate::cluster::cluster_harness::ClusterHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_injection::{ClusterFault, LinkFaultKind};
use crate::cluster::fault_proxy::{Direction, SharedNetwork};
use crate::cluster::worker_model::WorkerModel;

/// Faults to draw from; a fault that is listed twice is drawn twice as often.
const DRAWN_FAULTS: [Fault; 16] = [
    Fault::KillDispatcher,
    Fault::PauseDispatcher,
    Fault::TerminateDispatcher,
    Fault::PartitionZone,
    Fault::HangWorker,
    Fault::KillLeader,
    Fault::PartitionFromCoordinators,
    Fault::HearsNoCoordinator,
    Fault::PartitionFromMembers,
    Fault::SlowNetwork,
    Fault::PauseLeader,
    Fault::PartitionCoordinator,
    Fault::KillAllCoordinators,
    Fault::DrainWorker,
    Fault::DrainWorker,
    Fault::RollingRestart,
];
/// Time before the end of a schedule in which no fault begins, so that the recovery of the last one is observed.
const RECOVERY_TIME: Duration = Duration::from_secs(8);
/// Time after which a worker that drained and ended is started again, in slow start.
const WORKER_RESTART: Duration = Duration::from_millis(500);
/// Pause between two restarts of [`Fault::RollingRestart`].
const ROLL_PAUSE: Duration = Duration::from_millis(150);

/// Processes and links that faults are injected into.
pub(super) struct Targets<'a> {
    pub(super) cluster: &'a mut ClusterHarness,
    pub(super) links: &'a WorkerLinks,
    pub(super) observations: &'a SharedObservations,
    pub(super) plan: &'a Plan,
}

/// A fault of a schedule, before it is injected.
#[derive(Clone, Copy)]
struct DrawnFault {
    fault: Fault,
    /// Number of the dispatcher or the worker, by the kind of fault.
    target: usize,
    zone: usize,
    duration: Duration,
}

/// Draws faults until shortly before the end and injects them, one at a time.
pub(super) async fn inject_faults(
    mut targets: Targets<'_>,
    end: Instant,
) -> Result<Vec<InjectedFault>, ClusterError> {
    let plan = targets.plan;
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut injected = Vec::new();
    while Instant::now() + plan.fault_interval.max(RECOVERY_TIME) < end {
        let next = Instant::now() + plan.fault_interval;
        let Some(drawn) = draw_fault(&targets, injected.len(), &mut random) else { break };
        injected.push(targets.inject(drawn).await?);
        sleep_until(next).await;
    }
    Ok(injected)
}

/// Draws the next fault, or takes it from the script; returns `None` after the end of the script.
fn draw_fault(targets: &Targets<'_>, number: usize, random: &mut Pcg64) -> Option<DrawnFault> {
    let plan = targets.plan;
    let fault = if plan.only_kills {
        Fault::KillDispatcher
    } else {
        DRAWN_FAULTS[random.random_range(0..DRAWN_FAULTS.len())]
    };
    let zone = random.random_range(0..ZONES.len());
    let ScriptedFault { fault, target, zone } = match plan.script {
        [] => ScriptedFault { fault, target: draw_target(targets, fault, random), zone },
        script => *script.get(number)?,
    };
    let longest = plan.fault_interval.as_secs_f64() * 0.9;
    Some(DrawnFault { fault, target, zone, duration: fault.sample_duration(longest, random) })
}

fn draw_target(targets: &Targets<'_>, fault: Fault, random: &mut Pcg64) -> usize {
    match fault {
        // Selects the worker that received the most jobs. Dispatchers send jobs to only a few workers while these
        // suffice, so a random worker might have none.
        Fault::HangWorker | Fault::DrainWorker => {
            let any = random.random_range(0..targets.plan.workers);
            busiest_worker(&targets.observations.borrow(), any)
        }
        _ => random.random_range(0..targets.plan.dispatchers),
    }
}

impl Fault {
    /// Returns the name of the fault in results.
    pub(super) fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned()
    }

    /// Draws the duration of the fault; `longest` is in seconds.
    fn sample_duration(self, longest: f64, random: &mut Pcg64) -> Duration {
        Duration::from_secs_f64(match self {
            Fault::KillDispatcher | Fault::TerminateDispatcher => random.random_range(0.1..longest.min(4.0)),
            Fault::HangWorker
            | Fault::PartitionZone
            | Fault::SlowNetwork
            | Fault::PartitionFromCoordinators
            | Fault::HearsNoCoordinator
            | Fault::PartitionFromMembers => longest,
            Fault::PauseDispatcher | Fault::PauseLeader | Fault::PartitionCoordinator => {
                random.random_range(0.2..longest)
            }
            Fault::KillLeader => 1.0,
            Fault::KillAllCoordinators => random.random_range(0.1..1.0),
            Fault::DrainWorker => random.random_range(1.0..longest.min(2.0)),
            // The fault lasts until all processes have been restarted, so no duration is added.
            Fault::RollingRestart => 0.0,
        })
    }

    /// Returns the cluster harness's fault for this kind at a dispatcher, or `None` if the harness has no such fault.
    fn at(self, dispatcher: usize, coordinators: usize) -> Option<ClusterFault> {
        Some(match self {
            Fault::KillDispatcher => ClusterFault::KillDispatcher(dispatcher),
            Fault::PauseDispatcher => ClusterFault::PauseDispatcher(dispatcher),
            Fault::TerminateDispatcher => ClusterFault::TerminateDispatcher(dispatcher),
            Fault::KillLeader => ClusterFault::KillLeader,
            Fault::PauseLeader => ClusterFault::PauseLeader,
            Fault::KillAllCoordinators => ClusterFault::KillAllCoordinators,
            Fault::PartitionFromCoordinators => {
                ClusterFault::Links(LinkFaultKind::PartitionFromCoordinators(dispatcher))
            }
            Fault::HearsNoCoordinator => ClusterFault::Links(LinkFaultKind::HearsNoCoordinator(dispatcher)),
            Fault::PartitionFromMembers => {
                ClusterFault::Links(LinkFaultKind::PartitionFromMembers(dispatcher))
            }
            Fault::PartitionCoordinator => {
                ClusterFault::Links(LinkFaultKind::PartitionCoordinator(1 + dispatcher % coordinators))
            }
            Fault::SlowNetwork => ClusterFault::Links(LinkFaultKind::SlowNetwork),
            Fault::PartitionZone | Fault::HangWorker | Fault::DrainWorker | Fault::RollingRestart => {
                return None;
            }
        })
    }
}

impl Targets<'_> {
    async fn inject(&mut self, drawn: DrawnFault) -> Result<InjectedFault, ClusterError> {
        let DrawnFault { fault, target, zone, duration } = drawn;
        let began_at = clock::now();
        let mut affected = target;
        match fault.at(target, self.plan.coordinators) {
            Some(cluster_fault) => {
                let active = cluster_fault.begin(self.cluster)?;
                affected = active.leader().unwrap_or(target);
                sleep(duration).await;
                active.end(self.cluster)?;
            }
            None => self.inject_other(drawn).await?,
        }
        Ok(InjectedFault { fault, target: affected, zone, began_at, ended_at: clock::now() })
    }

    /// Injects a fault of a worker or of links to workers, or restarts all processes one after another.
    async fn inject_other(&mut self, drawn: DrawnFault) -> Result<(), ClusterError> {
        let DrawnFault { fault, target, zone, duration } = drawn;
        match fault {
            Fault::PartitionZone => {
                set_zone_partition(&self.links.networks[target], self.plan.workers, zone, true);
                sleep(duration).await;
                set_zone_partition(&self.links.networks[target], self.plan.workers, zone, false);
            }
            Fault::HangWorker => {
                self.observations.borrow_mut().is_hung[target] = true;
                sleep(duration).await;
                self.observations.borrow_mut().is_hung[target] = false;
            }
            Fault::DrainWorker => self.drain_worker(target, duration).await,
            _ => {
                self.restart_all().await?;
                sleep(duration).await;
            }
        }
        Ok(())
    }

    async fn drain_worker(&self, worker: usize, duration: Duration) {
        self.set_phase(worker, "terminating");
        sleep(duration).await;
        self.set_phase(worker, "terminated");
        sleep(WORKER_RESTART).await;
        {
            let mut observations = self.observations.borrow_mut();
            let restarted = WorkerModel::new(SLOTS, RUN_TIME, true, self.plan.seed ^ clock::now());
            let old = std::mem::replace(&mut observations.workers[worker], restarted);
            observations.replaced_workers.push(old);
        }
        self.set_phase(worker, "in_service");
    }

    fn set_phase(&self, worker: usize, phase: &str) {
        for discovery in &self.links.discoveries {
            discovery.set_phase(worker, phase);
        }
    }

    /// Restarts all dispatchers and coordinators, one dispatcher and one coordinator at a time.
    async fn restart_all(&mut self) -> Result<(), ClusterError> {
        for dispatcher in 0..self.plan.dispatchers {
            self.cluster.signal_dispatcher(dispatcher, Signal::TERM)?;
            sleep(ROLL_PAUSE).await;
            self.cluster.kill_dispatcher(dispatcher);
            self.cluster.start_dispatcher(dispatcher)?;
            let coordinator = 1 + dispatcher;
            if coordinator <= self.plan.coordinators {
                self.cluster.kill_coordinator(coordinator);
                self.cluster.start_coordinator(coordinator)?;
            }
            sleep(ROLL_PAUSE).await;
        }
        Ok(())
    }
}

/// Returns the worker that received the most jobs in the last 2 s, or `default` if none received any.
fn busiest_worker(observations: &Observations, default: usize) -> usize {
    let since = clock::now().saturating_sub(2_000_000);
    let recent_jobs = |jobs: &Vec<JobArrival>| jobs.iter().rev().take_while(|job| job.time > since).count();
    let counts = observations.jobs.iter().map(recent_jobs).enumerate();
    let busiest = counts.map(|(worker, jobs)| (jobs, worker)).max();
    busiest.filter(|(jobs, _)| *jobs > 0).map_or(default, |(_, worker)| worker)
}

/// Begins or ends a partition between a dispatcher and the workers of a zone.
fn set_zone_partition(network: &SharedNetwork, workers: usize, zone: usize, partitioned: bool) {
    for worker in (0..workers).filter(|worker| worker % ZONES.len() == zone) {
        let direction = Direction { from: worker, to: worker };
        network.borrow_mut().update_link(direction, |link| link.partitioned = partitioned);
    }
}
