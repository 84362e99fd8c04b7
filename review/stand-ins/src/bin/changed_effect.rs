//! Case: a class is unsafe to repeat, and new settings at SIGHUP make it free to repeat while jobs of the class are
//! open. Open jobs keep their old class, so none of them may be sent again. The workers that run them fall silent in the
//! middle of their work and go on later.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

use stand_ins::case::{play, reason, Run};
use stand_ins::client::{submit, Job};
use stand_ins::discovery::{Discovery, Entry};
use stand_ins::dispatcher::Dispatcher;
use stand_ins::http::LAST_CHUNK;
use stand_ins::record::Record;
use stand_ins::settings::{site_classes_with, Class};
use stand_ins::worker::{Answering, Next, Worker};

const CLASS: &str = "reserve-item";
/// Effect of the class before and after the new settings.
const OLD_EFFECT: &str = "single_shot";
const NEW_EFFECT: &str = "free";
const WORKERS: usize = 12;
const CELL_SIZE: usize = 3;
const ROUNDS: usize = 2;
const JOBS_PER_ROUND: usize = 3;
/// A client waits for its answer for so long.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a worker is silent in the middle of a job; the site has workers that are silent for 6.3 to 20 s.
const SILENCE: Duration = Duration::from_millis(6500);
/// Running time of a job at a worker that is not silent.
const RUN_TIME: Duration = Duration::from_millis(500);
/// No signal comes in the first second of a dispatcher.
const BEFORE_FIRST_SIGNAL: Duration = Duration::from_millis(1500);
/// Time from the submission of the jobs to SIGHUP.
const RELOAD_AFTER: Duration = Duration::from_millis(500);
/// Time from SIGHUP until the new settings bind.
const RELOAD_BINDS_AFTER: Duration = Duration::from_millis(1200);

/// The workers that began each job, in the order of the begins.
type Begins = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn main() {
    play(run)
}

fn run(run: &Run) -> Result<Vec<String>, String> {
    let begins = Begins::default();
    let workers = start_workers(&begins, &run.record).map_err(reason)?;
    let entries = workers.iter().map(|worker| Entry::of(worker, "aarhus-dc")).collect();
    let discovery = Discovery::start(entries).map_err(reason)?;
    let mut dispatcher = Dispatcher::start(run, discovery.address, &classes(OLD_EFFECT))?;
    run.record.write(&format!("the dispatcher is ready; {CLASS} is {OLD_EFFECT}"));
    sleep(BEFORE_FIRST_SIGNAL);
    for round in 0..ROUNDS {
        let clients: Vec<_> =
            (0..JOBS_PER_ROUND).map(|number| start_client(&dispatcher, round, number, &run.record)).collect();
        sleep(RELOAD_AFTER);
        reload(run, &dispatcher, NEW_EFFECT)?;
        for client in clients {
            client.join().map_err(|_| "a client failed")?;
        }
        // The runs at the workers go on after the answers.
        sleep(SILENCE);
        reload(run, &dispatcher, OLD_EFFECT)?;
        sleep(RELOAD_BINDS_AFTER);
    }
    dispatcher.check_runs()?;
    drop(dispatcher);
    let begins = begins.lock().map_err(reason)?;
    if begins.len() < ROUNDS * JOBS_PER_ROUND {
        return Err(format!("only {} of {} jobs reached a worker", begins.len(), ROUNDS * JOBS_PER_ROUND));
    }
    let repeated = begins.iter().filter(|(_, workers)| workers.len() > 1);
    Ok(repeated
        .map(|(id, workers)| format!("{id} was begun {} times: {}", workers.len(), workers.join(", ")))
        .collect())
}

fn classes(effect: &'static str) -> Vec<Class> {
    site_classes_with(CLASS, |class| class.effect = effect)
}

fn reload(run: &Run, dispatcher: &Dispatcher, effect: &'static str) -> Result<(), String> {
    if !run.with_disruption {
        return Ok(());
    }
    run.record.write(&format!("SIGHUP: {CLASS} is {effect} for the jobs that come from now on"));
    dispatcher.reload(&classes(effect))
}

fn start_workers(begins: &Begins, record: &Record) -> std::io::Result<Vec<Worker>> {
    let (begins, record) = (begins.clone(), record.clone());
    let answering: Arc<Answering> = Arc::new(move |worker, job, stream| {
        let is_first = {
            let mut begins = begins.lock().map_err(|_| std::io::ErrorKind::Other)?;
            let workers = begins.entry(job.id.clone()).or_default();
            workers.push(worker.name.clone());
            workers.len() == 1
        };
        record.write(&format!("{} begins {}", worker.name, job.id));
        worker.write_ok(stream)?;
        worker.write_line(job, "\"state\":\"started\"", stream)?;
        sleep(if is_first { SILENCE } else { RUN_TIME });
        record.write(&format!("{} has run {}", worker.name, job.id));
        worker.write_line(job, "\"state\":\"done\",\"result\":\"reserved\"", stream)?;
        stream.write_all(LAST_CHUNK)?;
        Ok(Next::KeepOpen)
    });
    let start =
        |number: usize| Worker::start(&format!("s-{number}"), (number / CELL_SIZE) as u32, answering.clone());
    (0..WORKERS).map(start).collect()
}

fn start_client(dispatcher: &Dispatcher, round: usize, number: usize, record: &Record) -> JoinHandle<()> {
    let job = Job {
        id: format!("r{round}-{number}"),
        class: CLASS.to_owned(),
        tenant: "havnegade".to_owned(),
        idempotency_key: None,
        timeout: TIMEOUT,
        body: b"chair".to_vec(),
    };
    let (address, record) = (dispatcher.address, record.clone());
    spawn(move || {
        record.write(&format!("client sends {} of {CLASS}", job.id));
        match submit(address, &job, TIMEOUT + Duration::from_secs(1)) {
            Ok(answer) => record.write(&format!("client: {} is answered: {}", job.id, answer.text())),
            Err(error) => record.write(&format!("client: {} cannot be sent: {error}", job.id)),
        }
    })
}
