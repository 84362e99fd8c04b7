//! Case: new settings at SIGHUP lower the longest deadline; later comes a planned restart, in which the workers hang. The
//! platform sends SIGKILL by the longest deadline of the new settings. No job that came more than 0.7 s after SIGTERM may
//! be unanswered then.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use stand_ins::case::{play, reason, Run};
use stand_ins::client::{Answer, Connection, Job};
use stand_ins::discovery::{Discovery, Entry};
use stand_ins::dispatcher::Dispatcher;
use stand_ins::http::LAST_CHUNK;
use stand_ins::record::Record;
use stand_ins::settings::{site_classes, Class};
use stand_ins::worker::{Answering, Next, Worker};

const CLASS: &str = "stock-lookup";
/// The class with the longest deadline, which the new settings drop or shorten.
const LONGEST: &str = "book-delivery";
const SHORT_DEADLINE_S: f64 = 1.0;
const LONG_DEADLINE_S: f64 = 10.0;
const WORKERS: usize = 12;
const CELL_SIZE: usize = 3;
const CLIENTS: usize = 12;
/// Running time of a job before the restart.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time for which a worker hangs from the restart on.
const HANG: Duration = Duration::from_secs(8);
/// No signal comes in the first second of a dispatcher.
const BEFORE_SIGNAL: Duration = Duration::from_millis(1500);
/// Time from SIGHUP until the new settings bind, with some margin.
const AFTER_RELOAD: Duration = Duration::from_millis(1500);
/// Time for which clients submit jobs before SIGTERM.
const BEFORE_RESTART: Duration = Duration::from_millis(1500);
/// The longest deadline counts as 3 s where it is longer, and 0.7 s are added before SIGKILL.
const LONGEST_COUNTED_S: f64 = 3.0;
const GRACE: Duration = Duration::from_millis(700);
/// A close that comes so soon after a request may have crossed it; the client would send the request again.
const CROSSING: Duration = Duration::from_millis(50);

/// Settings of one restart: those of the start, and those of a file at SIGHUP, if one comes.
struct Plan {
    name: &'static str,
    start: Vec<Class>,
    reload: Option<Vec<Class>>,
}

/// The time of SIGTERM, once it was sent.
type Restart = Arc<Mutex<Option<Instant>>>;

/// A job without a whole answer.
struct Unanswered {
    id: String,
    answer: Answer,
}

fn main() {
    play(|run| {
        let mut lost = Vec::new();
        for plan in plans(run.with_disruption) {
            lost.extend(restart(run, &plan)?);
        }
        Ok(lost)
    })
}

/// Returns the restarts that are played. Without the disruption no SIGHUP comes: a dispatcher has the old settings all
/// the time, another one the new settings.
fn plans(with_disruption: bool) -> Vec<Plan> {
    let shortened =
        || old_settings().into_iter().map(|class| Class { deadline_s: SHORT_DEADLINE_S, ..class }).collect();
    let without_longest = || old_settings().into_iter().filter(|class| class.name != LONGEST).collect();
    if with_disruption {
        vec![
            Plan { name: "a shorter deadline at SIGHUP", start: old_settings(), reload: Some(shortened()) },
            Plan {
                name: "a class dropped at SIGHUP",
                start: old_settings(),
                reload: Some(without_longest()),
            },
        ]
    } else {
        vec![
            Plan { name: "the old settings", start: old_settings(), reload: None },
            Plan { name: "the new settings from the start", start: shortened(), reload: None },
        ]
    }
}

/// Plays one restart, and returns a line for each lost job.
fn restart(run: &Run, plan: &Plan) -> Result<Vec<String>, String> {
    let restart = Restart::default();
    let workers = start_workers(&restart, &run.record).map_err(reason)?;
    let entries = workers.iter().map(|worker| Entry::of(worker, "aarhus-dc")).collect();
    let discovery = Discovery::start(entries).map_err(reason)?;
    let mut dispatcher = Dispatcher::start(run, discovery.address, &plan.start)?;
    run.record.write(&format!("{}: ready, the longest deadline is {} s", plan.name, longest(&plan.start)));
    sleep(BEFORE_SIGNAL);
    if let Some(settings) = &plan.reload {
        run.record.write(&format!("SIGHUP: the longest deadline is {} s", longest(settings)));
        dispatcher.reload(settings)?;
    }
    sleep(AFTER_RELOAD);
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| start_client(dispatcher.address, number, &run.record)).collect();
    sleep(BEFORE_RESTART);
    dispatcher.check_runs()?;
    let terminated_at = Instant::now();
    *restart.lock().map_err(reason)? = Some(terminated_at);
    run.record.write("SIGTERM; the workers hang from now on");
    dispatcher.terminate()?;
    let longest = longest(plan.reload.as_ref().unwrap_or(&plan.start));
    let killed_after = Duration::from_secs_f64(longest.min(LONGEST_COUNTED_S)) + GRACE;
    while terminated_at.elapsed() < killed_after && dispatcher.exit_status().is_none() {
        sleep(Duration::from_millis(1));
    }
    let end = if dispatcher.exit_status().is_none() { "SIGKILL" } else { "the dispatcher has ended" };
    run.record.write(&format!("{:.3} s after SIGTERM: {end}", terminated_at.elapsed().as_secs_f64()));
    dispatcher.kill();
    let mut lost = Vec::new();
    for client in clients {
        let unanswered = client.join().map_err(|_| "a client failed")?;
        let loss = unanswered.and_then(|job| loss(&job, terminated_at));
        lost.extend(loss.map(|loss| format!("{}: {loss}", plan.name)));
    }
    Ok(lost)
}

/// Returns a line if an unanswered job is lost.
fn loss(job: &Unanswered, terminated_at: Instant) -> Option<String> {
    let Unanswered { id, answer } = job;
    let came_after = answer.sent_at.checked_duration_since(terminated_at)?;
    let is_lost = came_after > GRACE && answer.duration() > CROSSING;
    is_lost.then(|| {
        let came_after = came_after.as_secs_f64();
        let ended_after = answer.duration().as_secs_f64();
        format!("{id} came {came_after:.3} s after SIGTERM, and its connection ended unanswered {ended_after:.3} s later")
    })
}

/// Returns the old settings: one class has a longer deadline than the others.
fn old_settings() -> Vec<Class> {
    let mut classes = site_classes();
    for class in &mut classes {
        class.deadline_s = if class.name == LONGEST { LONG_DEADLINE_S } else { SHORT_DEADLINE_S };
    }
    classes
}

fn longest(classes: &[Class]) -> f64 {
    classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max)
}

fn start_workers(restart: &Restart, record: &Record) -> std::io::Result<Vec<Worker>> {
    let (restart, record) = (restart.clone(), record.clone());
    let answering: Arc<Answering> = Arc::new(move |worker, job, stream| {
        record.write(&format!("{} begins {}", worker.name, job.id));
        worker.write_ok(stream)?;
        worker.write_line(job, "\"state\":\"started\"", stream)?;
        sleep(RUN_TIME);
        if restart.lock().is_ok_and(|restart| restart.is_some()) {
            sleep(HANG);
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

/// Starts a client, which submits one job after another on one connection until it ends, and returns the job that was
/// unanswered then.
fn start_client(address: SocketAddr, client: usize, record: &Record) -> JoinHandle<Option<Unanswered>> {
    let record = record.clone();
    spawn(move || {
        let mut connection = Connection::open(address).ok()?;
        for number in 0.. {
            sleep(Duration::from_millis(20 + 17 * client as u64));
            let job = Job {
                id: format!("c{client}-{number}"),
                class: CLASS.to_owned(),
                tenant: "havnegade".to_owned(),
                idempotency_key: None,
                timeout: Duration::from_secs_f64(SHORT_DEADLINE_S),
                body: b"which sofas?".to_vec(),
            };
            record.write(&format!("client sends {} of {CLASS}", job.id));
            let answer = connection.submit(&job, Duration::from_secs(5)).ok()?;
            record.write(&format!("client: {} is answered: {}", job.id, answer.text()));
            if answer.status.is_none() {
                return Some(Unanswered { id: job.id, answer });
            }
            if !answer.keeps_open {
                return None;
            }
        }
        None
    })
}
