//! Fault injection in a run over sockets.

use std::io;
use std::time::Duration;

use tokio::task::{spawn_local, JoinSet};

use super::discovery::{publish, EndpointPhase};
use super::environment::SharedEnvironment;
use super::program::DispatcherProcess;
use super::worker;
use crate::day::{micros, Fault, Micros};
use crate::worker::{progress_interval, Phase, Worker};

/// Injects the faults of the day at their times, and starts killed dispatchers again. Returns once all have restarted.
pub(super) async fn run_faults(
    environment: &SharedEnvironment,
    dispatchers: &mut [DispatcherProcess],
) -> io::Result<()> {
    let faults = environment.borrow().day.faults.clone();
    let mut due_restarts = JoinSet::new();
    for (at, fault) in faults {
        let due = environment.borrow().instant(at);
        tokio::time::sleep_until(due).await;
        match fault {
            Fault::RestartDispatcher(index, downtime) => {
                dispatchers[index].kill(environment);
                // The task only waits: the dispatcher is started below, where `dispatchers` is accessible.
                due_restarts.spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(downtime)).await;
                    index
                });
            }
            other => inject_fault(environment, other),
        }
        while let Some(Ok(index)) = due_restarts.try_join_next() {
            dispatchers[index].start(environment)?;
        }
    }
    while let Some(due) = due_restarts.join_next().await {
        if let Ok(index) = due {
            dispatchers[index].start(environment)?;
        }
    }
    Ok(())
}

/// Injects a fault of a worker.
fn inject_fault(environment: &SharedEnvironment, fault: Fault) {
    match fault {
        Fault::HangWorker(worker_index, hung) => {
            environment
                .borrow_mut()
                .with_worker(worker_index, |worker, now, events| worker.set_hung(hung, now, events));
        }
        Fault::NoisyNeighbour(worker_index, share) => {
            environment
                .borrow_mut()
                .with_worker(worker_index, |worker, now, _| worker.set_stolen_share(share, now));
        }
        Fault::ReplaceWorker(worker_index, drain_duration) => {
            replace_worker(environment, worker_index, drain_duration)
        }
        Fault::CrashWorker(worker_index, downtime) => crash_worker(environment, worker_index, downtime),
        // Handled by the caller, which owns the dispatcher processes.
        Fault::RestartDispatcher(..) => {}
    }
}

/// Drains a worker and ends its process after `drain_duration`, at which its replacement starts in slow start.
fn replace_worker(environment: &SharedEnvironment, worker_index: usize, drain_duration: Micros) {
    if environment.borrow().workers[worker_index].phase != Phase::Serving {
        return;
    }
    let notice_delay = environment.borrow().day.discovery.drain_notice;
    let replacement = {
        let mut shared = environment.borrow_mut();
        shared.record.workers[worker_index].3 = shared.now();
        shared.with_worker(worker_index, Worker::drain);
        let plan = shared.workers[worker_index].plan.clone();
        let starts_at = shared.now() + drain_duration;
        let mut replacement = Worker::new(plan, Some(starts_at), starts_at, progress_interval());
        replacement.phase = Phase::Ended;
        shared.add_worker(replacement)
    };
    publish(environment, worker_index, EndpointPhase::Terminating, notice_delay);
    let environment = environment.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_micros(drain_duration)).await;
        environment.borrow_mut().kill_worker(worker_index);
        publish(&environment, worker_index, EndpointPhase::Terminated, notice_delay);
        start_worker(&environment, replacement).await;
    });
}

/// Ends the process of a worker without a drain, and starts it again after `downtime`. Discovery publishes only the new
/// start.
fn crash_worker(environment: &SharedEnvironment, worker_index: usize, downtime: Micros) {
    environment.borrow_mut().kill_worker(worker_index);
    let environment = environment.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_micros(downtime)).await;
        start_worker(&environment, worker_index).await;
    });
}

/// Starts the process of a worker, in slow start.
async fn start_worker(environment: &SharedEnvironment, worker_index: usize) {
    {
        let mut shared = environment.borrow_mut();
        let now = shared.now();
        let plan = shared.workers[worker_index].plan.clone();
        let warm_up = micros(plan.warm_up);
        shared.workers[worker_index] = Worker::new(plan, Some(now), now, progress_interval());
        let record = &mut shared.record.workers[worker_index];
        record.2 = now + warm_up;
        record.3 = Micros::MAX;
    }
    if worker::serve(environment, worker_index).await.is_ok() {
        let notice_delay = environment.borrow().day.discovery.start_notice;
        publish(environment, worker_index, EndpointPhase::InService, notice_delay);
    }
}
