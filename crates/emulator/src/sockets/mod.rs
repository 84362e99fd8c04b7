//! The run over sockets: the same day and the same worker model in real time, against the real program.
//!
//! Each dispatcher of the day is a child process; workers, discovery and clients are tasks here, on loopback and free
//! ports. Every worker listens once for each dispatcher, so that the emulated parties know who sent what without asking.

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

/// Time after the last arrival for which open jobs are awaited.
const MAX_TAIL: Duration = Duration::from_secs(12);
/// Time between the readiness of all dispatchers and the start of the day.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time within which a dispatcher must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a day against the program at a path.
///
/// # Errors
/// Returns the I/O error if the program does not start or become ready, or if a socket cannot be opened.
pub fn run_day(experiment: &Experiment, arm: &Arm, day: &Day, program: &Path) -> io::Result<RunRecord> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(experiment.clone(), arm.clone(), day.clone(), program))
}

async fn run(experiment: Experiment, arm: Arm, day: Day, program: &Path) -> io::Result<RunRecord> {
    let hosts = day.dispatchers.len();
    let environment: SharedEnvironment = Rc::new(RefCell::new(Environment::new(experiment, day)));
    let workers = environment.borrow().workers.len();
    for w in 0..workers {
        worker::serve(&environment, w).await?;
    }
    let mut programs = Vec::new();
    for host in 0..hosts {
        programs.push(program::DispatcherProcess::prepare(&environment, &arm, host, program).await?);
    }
    for program in &mut programs {
        program.start(&environment)?;
    }
    for program in &programs {
        program.wait_until_ready(&environment, READY_TIMEOUT).await?;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    environment.borrow_mut().start_clock();
    let clients = spawn_local(client::play(environment.clone()));
    let end = environment.borrow().instant(environment.borrow().day.last_arrival);
    faults::run_faults(&environment, &mut programs).await?;
    tokio::time::sleep_until(end).await;
    let _ = tokio::time::timeout(MAX_TAIL, clients).await;
    for program in &mut programs {
        program.kill(&environment);
    }
    drop(programs);
    let record = environment.borrow_mut().take_record();
    Ok(record)
}
