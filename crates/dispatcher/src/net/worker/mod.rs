//! Workers: the commands of the engine carried out on connections that are used again.

pub(crate) mod attempt;
pub(crate) mod health_check;
pub(crate) mod pool;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{interval_at, Instant};

use crate::engine::Command;
use pool::Pool;

/// How often idle connections are looked through.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out commands until the engine ends.
pub(super) async fn run(pool: Rc<Pool>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut sweep = interval_at(Instant::now() + IDLE_SWEEP_INTERVAL, IDLE_SWEEP_INTERVAL);
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => execute(&pool, command),
                None => return,
            },
            _ = sweep.tick() => pool.close_expired_connections(),
        }
    }
}

fn execute(pool: &Rc<Pool>, command: Command) {
    match command {
        Command::Attempt { attempt, worker, payload, deadline, not_after } => {
            let worker = (worker, pool.workers.borrow().get(&worker).cloned());
            attempt::start(pool, attempt, worker, payload, (deadline, not_after));
        }
        Command::Cancel(attempt) => {
            let task = pool.attempts.borrow_mut().remove(&attempt);
            if let Some(task) = task {
                task.abort();
            }
        }
        Command::HealthCheck(worker) => health_check::start(pool, worker),
        Command::CloseIdle(worker) => {
            if let Some(worker) = pool.workers.borrow().get(&worker) {
                pool.close_idle(worker);
            }
        }
        Command::EndpointList { scope, endpoints } => pool.update_workers(scope, &endpoints),
    }
}
