//! Case: some answers of workers are spoilt and never end: progress lines follow one another as fast as they are read.
//! The dispatcher must stay within the memory limit of its configuration; the platform kills it above.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

use stand_ins::case::{play, reason, Run};
use stand_ins::client::{submit, Job};
use stand_ins::discovery::{Discovery, Entry};
use stand_ins::dispatcher::Dispatcher;
use stand_ins::http::{chunk, LAST_CHUNK};
use stand_ins::record::Record;
use stand_ins::settings::{site_classes, MEMORY_MB};
use stand_ins::worker::{Answering, Next, Worker};

const CLASS: &str = "stock-lookup";
const WORKERS: usize = 12;
const CELL_SIZE: usize = 3;
/// Running time of a job.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Jobs, and the time between two of them: 15 jobs a second.
const JOBS: usize = 225;
const INTERVAL: Duration = Duration::from_millis(66);
/// One of so many answers never ends.
const ENDLESS_EVERY: usize = 8;
/// Progress lines of an endless answer that are written at once.
const LINES_PER_WRITE: usize = 500;
/// A client waits for its answer for so long.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the platform looks at the memory of the dispatcher.
const MEMORY_INTERVAL: Duration = Duration::from_millis(50);

fn main() {
    play(run)
}

fn run(run: &Run) -> Result<Vec<String>, String> {
    let workers = start_workers(run).map_err(reason)?;
    let entries = workers.iter().map(|worker| Entry::of(worker, "aarhus-dc")).collect();
    let discovery = Discovery::start(entries).map_err(reason)?;
    let mut dispatcher = Dispatcher::start(run, discovery.address, &site_classes())?;
    run.record.write(&format!("the dispatcher is ready and holds {} kB", memory(&dispatcher)?));
    sleep(Duration::from_secs(1));
    let address = dispatcher.address;
    let record = run.record.clone();
    let clients = spawn(move || {
        let start = |number| {
            sleep(INTERVAL);
            start_client(address, number, &record)
        };
        let clients: Vec<_> = (0..JOBS).map(start).collect();
        clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect::<Vec<String>>()
    });
    let mut broken = Vec::new();
    let mut highest = 0;
    while !clients.is_finished() {
        sleep(MEMORY_INTERVAL);
        if !broken.is_empty() {
            continue;
        }
        dispatcher.check_runs()?;
        let memory = memory(&dispatcher)?;
        if memory > highest + 10_000 {
            highest = memory;
            run.record.write(&format!("the dispatcher holds {memory} kB"));
        }
        if memory > MEMORY_MB * 1024 {
            broken.push(format!(
                "the dispatcher holds {memory} kB, over its limit of {MEMORY_MB} MB, and is killed"
            ));
            run.record.write("the platform kills the dispatcher");
            dispatcher.kill();
        }
    }
    let lost = clients.join().map_err(|_| "the clients failed")?;
    if !broken.is_empty() {
        broken.push(format!("{} jobs that it had taken have no answer: {}", lost.len(), lost.join(", ")));
    }
    Ok(broken)
}

fn memory(dispatcher: &Dispatcher) -> Result<u64, String> {
    dispatcher.status_number("VmRSS:").ok_or_else(|| "the memory of the dispatcher cannot be read".to_owned())
}

fn start_workers(run: &Run) -> std::io::Result<Vec<Worker>> {
    let (record, spoilt) = (run.record.clone(), run.with_disruption);
    let received = AtomicUsize::new(0);
    let answering: Arc<Answering> = Arc::new(move |worker, job, stream| {
        record.write(&format!("{} begins {}", worker.name, job.id));
        worker.write_ok(stream)?;
        worker.write_line(job, "\"state\":\"started\"", stream)?;
        sleep(RUN_TIME);
        if spoilt && received.fetch_add(1, Ordering::SeqCst) % ENDLESS_EVERY == ENDLESS_EVERY - 1 {
            record.write(&format!("{} answers {} without an end", worker.name, job.id));
            let line = chunk(worker.line(job, "\"state\":\"running\",\"share\":0.5").as_bytes());
            let lines = line.repeat(LINES_PER_WRITE);
            loop {
                stream.write_all(&lines)?;
            }
        }
        record.write(&format!("{} has run {}", worker.name, job.id));
        worker.write_line(job, "\"state\":\"done\",\"result\":\"in stock\"", stream)?;
        stream.write_all(LAST_CHUNK)?;
        Ok(Next::KeepOpen)
    });
    let start =
        |number: usize| Worker::start(&format!("s-{number}"), (number / CELL_SIZE) as u32, answering.clone());
    (0..WORKERS).map(start).collect()
}

/// Starts a client, which returns the id of its job if the job has no answer.
fn start_client(address: std::net::SocketAddr, number: usize, record: &Record) -> JoinHandle<Option<String>> {
    let job = Job {
        id: format!("j{number}"),
        class: CLASS.to_owned(),
        tenant: ["havnegade", "skovvej", "moellebakken"][number % 3].to_owned(),
        idempotency_key: None,
        timeout: TIMEOUT,
        body: b"which sofas?".to_vec(),
    };
    let record = record.clone();
    spawn(move || {
        record.write(&format!("client sends {} of {CLASS}", job.id));
        match submit(address, &job, TIMEOUT + Duration::from_millis(500)) {
            Ok(answer) => {
                record.write(&format!("client: {} is answered: {}", job.id, answer.text()));
                answer.status.is_none().then_some(job.id)
            }
            Err(error) => {
                record.write(&format!("client: {} cannot be sent: {error}", job.id));
                None
            }
        }
    })
}
