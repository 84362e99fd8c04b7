//! Execution mode over sockets: runs the simulated day with the worker model in real time, against dispatcher
//! processes.
//!
//! Each dispatcher of the day is a child process. Workers, discovery and clients are tasks of this process that listen
//! on free ports of the loopback interface. Every worker has one listener for each dispatcher, so the port tells which
//! dispatcher sent an attempt.

mod client;
mod discovery;
mod environment;
mod faults;
pub(crate) mod http;
mod program;
mod worker;

use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, LocalSet};

use self::environment::{Environment, SharedEnvironment};
use crate::day::Day;
use crate::metrics::RunRecord;
use crate::spec::{Arm, Experiment};

/// Longest wait for open jobs after the last arrival.
const MAX_TAIL: Duration = Duration::from_secs(12);
/// Time between the readiness of all dispatchers and the start of the day.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time within which a dispatcher must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a day against dispatcher processes, started from the program at `dispatcher_program`.
///
/// # Errors
/// Returns the I/O error if a dispatcher process does not start or become ready, or if a socket cannot be opened.
pub fn run_day(
    experiment: &Experiment,
    arm: &Arm,
    day: &Day,
    dispatcher_program: &Path,
) -> io::Result<RunRecord> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(experiment.clone(), arm.clone(), day.clone(), dispatcher_program))
}

async fn run(experiment: Experiment, arm: Arm, day: Day, dispatcher_program: &Path) -> io::Result<RunRecord> {
    let dispatcher_count = day.dispatchers.len();
    let environment: SharedEnvironment = Rc::new(RefCell::new(Environment::new(experiment, day)));
    let workers = environment.borrow().workers.len();
    for worker_index in 0..workers {
        worker::serve(&environment, worker_index).await?;
    }
    let mut dispatchers = Vec::new();
    for index in 0..dispatcher_count {
        let dispatcher =
            program::DispatcherProcess::prepare(&environment, &arm, index, dispatcher_program).await?;
        dispatchers.push(dispatcher);
    }
    for dispatcher in &mut dispatchers {
        dispatcher.start(&environment)?;
    }
    for dispatcher in &dispatchers {
        dispatcher.wait_until_ready(&environment, READY_TIMEOUT).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    environment.borrow_mut().start_clock();
    let clients = spawn_local(client::run_clients(environment.clone()));
    let end = environment.borrow().instant(environment.borrow().day.last_arrival);
    faults::run_faults(&environment, &mut dispatchers).await?;
    tokio::time::sleep_until(end).await;
    let _ = tokio::time::timeout(MAX_TAIL, clients).await;
    for dispatcher in &mut dispatchers {
        dispatcher.kill(&environment);
    }
    drop(dispatchers);
    let record = environment.borrow_mut().take_record();
    Ok(record)
}
