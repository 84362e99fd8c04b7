//! Faults of the day, injected at their times.

use std::io;
use std::time::Duration;

use tokio::task::{spawn_local, JoinSet};

use super::discovery::{publish, EndpointPhase};
use super::environment::SharedEnvironment;
use super::program::DispatcherProcess;
use super::worker;
use crate::day::{micros, Fault, Micros};
use crate::worker::{progress_interval, Phase, Worker};

/// Injects the faults of the day at their times; dispatchers that were killed are started again.
pub(super) async fn run_faults(
    environment: &SharedEnvironment,
    programs: &mut [DispatcherProcess],
) -> io::Result<()> {
    let faults = environment.borrow().day.faults.clone();
    let mut restarts = JoinSet::new();
    for (at, fault) in faults {
        let due = environment.borrow().instant(at);
        tokio::time::sleep_until(due).await;
        match fault {
            Fault::RestartDispatcher(host, duration) => {
                programs[host].kill(environment);
                // Restarted below, in the order of time.
                restarts.spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(duration)).await;
                    host
                });
            }
            other => inject_fault(environment, other),
        }
        while let Some(Ok(host)) = restarts.try_join_next() {
            programs[host].start(environment)?;
        }
    }
    while let Some(restart) = restarts.join_next().await {
        if let Ok(host) = restart {
            programs[host].start(environment)?;
        }
    }
    Ok(())
}

fn inject_fault(environment: &SharedEnvironment, fault: Fault) {
    match fault {
        Fault::HangWorker(w, hung) => {
            environment.borrow_mut().with_worker(w, |worker, now, events| worker.set_hung(hung, now, events));
        }
        Fault::NoisyNeighbour(w, part) => {
            environment.borrow_mut().with_worker(w, |worker, now, _| worker.set_stolen_share(part, now));
        }
        Fault::ReplaceWorker(w, duration) => replace_worker(environment, w, duration),
        Fault::CrashWorker(w, duration) => crash_worker(environment, w, duration),
        Fault::RestartDispatcher(..) => {}
    }
}

/// Drains a worker; its successor starts when it has ended.
fn replace_worker(environment: &SharedEnvironment, w: usize, duration: Micros) {
    if environment.borrow().workers[w].phase != Phase::Serving {
        return;
    }
    let notice = environment.borrow().day.discovery.drain_notice;
    let next = {
        let mut shared = environment.borrow_mut();
        shared.record.workers[w].3 = shared.now();
        shared.with_worker(w, Worker::drain);
        let plan = shared.workers[w].plan.clone();
        let since = shared.now() + duration;
        let mut successor = Worker::new(plan, Some(since), since, progress_interval());
        successor.phase = Phase::Ended;
        shared.add_worker(successor)
    };
    publish(environment, w, EndpointPhase::Terminating, notice);
    let environment = environment.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_micros(duration)).await;
        environment.borrow_mut().kill_worker(w);
        publish(&environment, w, EndpointPhase::Terminated, notice);
        start_worker(&environment, next).await;
    });
}

/// Kills a worker, and starts it again later.
fn crash_worker(environment: &SharedEnvironment, w: usize, duration: Micros) {
    environment.borrow_mut().kill_worker(w);
    let environment = environment.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from_micros(duration)).await;
        start_worker(&environment, w).await;
    });
}

/// Starts the process of a worker, in slow start.
async fn start_worker(environment: &SharedEnvironment, w: usize) {
    {
        let mut shared = environment.borrow_mut();
        let now = shared.now();
        let plan = shared.workers[w].plan.clone();
        let warm = micros(plan.warm_up);
        shared.workers[w] = Worker::new(plan, Some(now), now, progress_interval());
        let record = &mut shared.record.workers[w];
        record.2 = now + warm;
        record.3 = Micros::MAX;
    }
    if worker::serve(environment, w).await.is_ok() {
        let add = environment.borrow().day.discovery.start_notice;
        publish(environment, w, EndpointPhase::InService, add);
    }
}
