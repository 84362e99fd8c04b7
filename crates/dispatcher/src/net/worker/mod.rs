//! Workers: executes the commands of the engine on pooled connections.

mod answer;
mod attempt;
mod connection;
pub(crate) mod health_check;
pub(crate) mod pool;
mod protocol;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{interval_at, Instant};

use crate::engine::Command;
use attempt::Attempt;
use pool::Pool;

/// Interval at which expired idle connections are closed.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Executes commands until the engine ends.
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
            let attempt = Attempt { id: attempt, worker, payload, deadline, not_after };
            attempt::start(pool, attempt);
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
