//! Draws the faults of a schedule by its seed and injects them one at a time.

use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{sleep, sleep_until, Instant};

use super::{Fault, Outage, Plan, SharedObservations, FAULT_KINDS};
use crate::cluster::cluster_harness::ClusterHarness;
use crate::cluster::error::ClusterError;
use crate::cluster::fault_injection::{ClusterFault, LinkFaultKind};

/// Draws faults and injects them one after another until the schedule's length is over; returns them.
pub(super) async fn inject_faults(
    cluster: &mut ClusterHarness,
    observations: &SharedObservations,
    plan: &Plan,
) -> Result<Vec<Fault>, ClusterError> {
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let mut injected = Vec::new();
    let end = Instant::now() + plan.length;
    while Instant::now() < end {
        let next = Instant::now() + plan.fault_interval.mul_f64(random.random_range(0.5..1.5));
        let fault = FAULT_KINDS[random.random_range(0..FAULT_KINDS.len())];
        let any_dispatcher = random.random_range(0..plan.dispatchers);
        let observer = cluster.observer().unwrap_or(0);
        let duration = fault.sample_duration(&mut random);
        let target = if fault.is_for_observer() { observer } else { any_dispatcher };
        let drawn = DrawnFault { fault, target, began_at: clock::now(), duration };
        injected.push(fault);
        if fault == Fault::PauseRequester {
            observations.borrow_mut().call_now[target] = true;
            sleep(Duration::from_millis(random.random_range(20..60))).await;
            observations.borrow_mut().call_now[target] = false;
        }
        inject(cluster, observations, drawn).await?;
        sleep_until(next).await;
    }
    Ok(injected)
}

/// A fault with its target dispatcher and its duration.
#[derive(Debug, Clone, Copy)]
struct DrawnFault {
    fault: Fault,
    target: usize,
    /// Time by the records' clock, in microseconds.
    began_at: u64,
    duration: Duration,
}

/// Injects one fault, and records the time in which its dispatcher could not respond.
async fn inject(
    cluster: &mut ClusterHarness,
    observations: &SharedObservations,
    drawn: DrawnFault,
) -> Result<(), ClusterError> {
    let DrawnFault { fault, target, began_at, duration } = drawn;
    let active = fault.at(target).begin(cluster)?;
    let slow_requester = fault == Fault::SlowRequester;
    if slow_requester {
        observations.borrow_mut().call_now[target] = true;
    }
    sleep(duration).await;
    if slow_requester {
        observations.borrow_mut().call_now[target] = false;
    }
    active.end(cluster)?;
    let outage = Outage { dispatcher: target, from: began_at, until: clock::now() };
    match fault {
        Fault::KillObserver | Fault::LoseDispatcher => observations.borrow_mut().killed.push(outage),
        Fault::PauseObserver | Fault::PauseRequester => observations.borrow_mut().paused.push(outage),
        _ => {}
    }
    Ok(())
}

impl Fault {
    /// Returns the name of the fault in results.
    pub(super) fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().to_owned()
    }

    fn is_for_observer(self) -> bool {
        matches!(self, Fault::KillObserver | Fault::PauseObserver)
    }

    fn sample_duration(self, random: &mut Pcg64) -> Duration {
        Duration::from_secs_f64(match self {
            Fault::PauseObserver | Fault::PauseRequester | Fault::PauseLeader => {
                random.random_range(0.2..6.0)
            }
            Fault::LoseDispatcher => random.random_range(7.0..9.0),
            Fault::KillAllCoordinators | Fault::KillLeader => random.random_range(0.1..2.0),
            _ => random.random_range(1.0..4.0),
        })
    }

    /// Returns the cluster harness's fault for this kind at a dispatcher.
    fn at(self, dispatcher: usize) -> ClusterFault {
        match self {
            Fault::KillObserver | Fault::LoseDispatcher => ClusterFault::KillDispatcher(dispatcher),
            Fault::PauseObserver | Fault::PauseRequester => ClusterFault::PauseDispatcher(dispatcher),
            Fault::SlowRequester => ClusterFault::Links(LinkFaultKind::DelayedResponses(dispatcher)),
            Fault::PartitionFromCoordinators => {
                ClusterFault::Links(LinkFaultKind::PartitionFromCoordinators(dispatcher))
            }
            Fault::PartitionFromMembers => {
                ClusterFault::Links(LinkFaultKind::PartitionFromMembers(dispatcher))
            }
            Fault::SlowNetwork => ClusterFault::Links(LinkFaultKind::SlowNetwork),
            Fault::KillLeader => ClusterFault::KillLeader,
            Fault::PauseLeader => ClusterFault::PauseLeader,
            Fault::KillAllCoordinators => ClusterFault::KillAllCoordinators,
        }
    }
}
