//! The cases.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Clients;
use crate::platform::{free, free_port, guarded_by_cell, list, single_shot, start_agent, Configuration, Dispatcher};
use crate::random::Random;
use crate::worker::{ended, started, Behavior, Job, Plan, Run, Runs, Worker, TURNED_AWAY};
use crate::Setup;

pub const ZONES: [&str; 3] = ["aarhus-dc", "odense-dc", "aalborg-dc"];
pub const TENANTS: [&str; 3] = ["havnegade", "skovvej", "moellebakken"];
/// Time for which the workers of one cell drop a repeat of a key.
pub const KEY_WINDOW: Duration = Duration::from_secs(15);

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn configuration(workers: &[Arc<Worker>], profiles: Vec<String>) -> Configuration {
    Configuration {
        name: "n0".to_owned(),
        number: 0,
        dispatchers: 1,
        listen: free_port(),
        agent: start_agent(workers),
        known: list(workers),
        send_cap: 4,
        profiles,
    }
}

/// Returns the runs by what `name` takes of each, where there is more than one.
pub fn repeated(runs: &[Run], name: impl Fn(&Run) -> Option<String>) -> BTreeMap<String, Vec<Run>> {
    let mut by_name: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in runs {
        if let Some(name) = name(run) {
            by_name.entry(name).or_default().push(run.clone());
        }
    }
    by_name.retain(|_, runs| runs.len() > 1);
    by_name
}

pub fn report_repeated(setup: &Setup, repeated: &BTreeMap<String, Vec<Run>>) {
    for (name, runs) in repeated {
        let places: Vec<String> =
            runs.iter().map(|run| format!("{} (cell {}) at {:.4}", run.worker, run.cell, run.at)).collect();
        setup.record.line(&format!("RUN TWICE: {name}: {}", places.join(", ")));
    }
}

/// Case 6: a worker that turns a job away sends its answer once more some milliseconds later.
pub fn second_answer(setup: &Setup) -> bool {
    let runs = Runs::new(&setup.record);
    let random = Arc::new(Mutex::new(Random::new(setup.seed)));
    let behavior: Arc<Behavior> = {
        let (runs, random, record, trouble) = (runs.clone(), random, setup.record.clone(), setup.trouble);
        Arc::new(move |worker: &Worker, job: &Job| -> Plan {
            let mut random = random.lock().unwrap();
            // Other data centres are 10 to 20 ms away, one way; here both ways are waited for before the answer.
            let away = if worker.zone == ZONES[0] { 0.0005 } else { 2.0 * 0.015 };
            let answer_at = job.read_at + seconds(away);
            if random.part() < 0.1 {
                record.line(&format!("worker {} turns {} away", worker.name, job.id));
                let mut plan = vec![(answer_at, TURNED_AWAY.to_vec())];
                let late = random.between(0.002, 0.008);
                if trouble && random.part() < 0.5 {
                    record.line(&format!("worker {} answers {} once more, {:.1} ms late", worker.name, job.id, late * 1e3));
                    plan.push((answer_at + seconds(late), TURNED_AWAY.to_vec()));
                }
                return plan;
            }
            let run_time = random.between(0.1, 0.4);
            drop(random);
            runs.begin(worker, job, KEY_WINDOW);
            vec![(answer_at, started(worker, job)), (answer_at + seconds(run_time), ended(worker, job, "done"))]
        })
    };
    let workers: Vec<Arc<Worker>> = (0..6)
        .map(|index| Worker::start(&format!("s-{index:04}"), ZONES[index / 2], (index / 2) as u32, behavior.clone()))
        .collect();
    let profiles = vec![free("stock-lookup", 5.0), single_shot("reserve-item", 10.0), guarded_by_cell("book-delivery", 10.0)];
    let configuration = configuration(&workers, profiles);
    let dispatcher = Dispatcher::start(&setup.record, &setup.work, &configuration);
    let clients = Clients::new(&setup.record, configuration.listen);
    let mut arrivals = Random::new(setup.seed ^ 0xa11);
    let until = Instant::now() + Duration::from_secs(70);
    let mut handed_in = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        thread::sleep(seconds(arrivals.gap(57.0)));
        number += 1;
        let id = format!("{:08x}{number:08x}", arrivals.next() as u32);
        let tenant = TENANTS[number % 3];
        let kind = arrivals.part();
        let key = format!("key-{id}");
        handed_in.push(match kind {
            _ if kind < 0.69 => clients.hand_in("stock-lookup", &id, None, tenant, 5_000, "x"),
            _ if kind < 0.87 => clients.hand_in("reserve-item", &id, None, tenant, 10_000, "x"),
            _ => clients.hand_in("book-delivery", &id, Some(&key), tenant, 10_000, "x"),
        });
    }
    for client in handed_in {
        let _ = client.join();
    }
    dispatcher.end();
    let answers = clients.answers();
    let unsafe_ids: Vec<String> =
        answers.iter().filter(|answer| answer.class == "reserve-item").map(|answer| answer.id.clone()).collect();
    let all = runs.all();
    let twice = repeated(&all, |run| Some(run.id.clone()).filter(|id| unsafe_ids.contains(id)));
    let in_two_cells = repeated(&all, |run| run.key.clone());
    report_repeated(setup, &twice);
    report_repeated(setup, &in_two_cells);
    let refused = answers.iter().filter(|answer| {
        matches!(answer.status, Some(429 | 503))
            && answer.class != "stock-lookup"
            && all.iter().any(|run| run.id == answer.id)
    });
    let refused = refused.count();
    setup.record.say(&format!(
        "{} jobs, {} of them unsafe to repeat; run twice: {} unsafe, {} keyed in two cells; refused though run: {refused}",
        answers.len(),
        unsafe_ids.len(),
        twice.len(),
        in_two_cells.len()
    ));
    !twice.is_empty() || !in_two_cells.is_empty() || refused > 0
}

/// Workers whose jobs run, and fail where the body says so.
fn workers_with_failing_jobs(runs: &Runs, cells: u32, in_each: u32) -> Vec<Arc<Worker>> {
    let behavior: Arc<Behavior> = {
        let runs = runs.clone();
        Arc::new(move |worker: &Worker, job: &Job| -> Plan {
            runs.begin(worker, job, KEY_WINDOW);
            let state = if job.body == b"fail" { "failed" } else { "done" };
            let start = job.read_at + Duration::from_millis(1);
            vec![(start, started(worker, job)), (start + Duration::from_millis(150), ended(worker, job, state))]
        })
    };
    let indexes = 0..cells * in_each;
    indexes
        .map(|index| {
            let cell = index / in_each;
            Worker::start(&format!("s-{index:04}"), ZONES[cell as usize % 3], cell, behavior.clone())
        })
        .collect()
}

/// Case 7: a new configuration lacks a key. It has to be turned down; the jobs that follow are those of the old one.
pub fn key_is_missing(setup: &Setup) -> bool {
    let runs = Runs::new(&setup.record);
    let workers = workers_with_failing_jobs(&runs, 3, 3);
    let profiles = vec![free("stock-lookup", 5.0), guarded_by_cell("reserve-item", 10.0), guarded_by_cell("book-delivery", 10.0)];
    let before = configuration(&workers, profiles);
    let dispatcher = Dispatcher::start(&setup.record, &setup.work, &before);
    let clients = Clients::new(&setup.record, before.listen);
    let mut handed_in = send_keyed(setup, &clients, "before");
    let mut after = Configuration { send_cap: 3, ..before.clone() };
    if setup.trouble {
        after.profiles[1] = after.profiles[1].replace(r#""key-scope":"cell","#, "");
        dispatcher.reload(&after, "send-cap 3; reserve-item lacks key-scope");
    } else {
        dispatcher.reload(&after, "send-cap 3");
    }
    thread::sleep(Duration::from_millis(2_000));
    handed_in += send_keyed(setup, &clients, "after");
    dispatcher.end();
    let in_two_cells = repeated(&runs.all(), |run| run.key.clone());
    report_repeated(setup, &in_two_cells);
    setup.record.say(&format!("{handed_in} jobs with a key; run in two cells: {}", in_two_cells.len()));
    !in_two_cells.is_empty()
}

/// Hands in jobs with keys, of which every fourth fails after it ran; returns their number.
fn send_keyed(setup: &Setup, clients: &Clients, when: &str) -> usize {
    let mut arrivals = Random::new(setup.seed ^ when.len() as u64);
    let mut handed_in = Vec::new();
    for number in 0..80 {
        let id = format!("{:08x}{when}{number:04}", arrivals.next() as u32);
        let body = if number % 4 == 0 { "fail" } else { "run" };
        handed_in.push(clients.hand_in("reserve-item", &id, Some(&format!("key-{id}")), TENANTS[number % 3], 10_000, body));
        thread::sleep(seconds(arrivals.gap(20.0)));
    }
    let count = handed_in.len();
    for client in handed_in {
        let _ = client.join();
    }
    count
}

/// Case 8: a class is added, later another is dropped, and with that the effect of a third one changes.
pub fn class_is_dropped(setup: &Setup) -> bool {
    let runs = Runs::new(&setup.record);
    let workers = workers_with_failing_jobs(&runs, 3, 3);
    let profiles = vec![free("stock-lookup", 5.0), guarded_by_cell("reserve-item", 10.0), free("price-check", 5.0)];
    let before = configuration(&workers, profiles);
    let dispatcher = Dispatcher::start(&setup.record, &setup.work, &before);
    let clients = Clients::new(&setup.record, before.listen);
    let added = Configuration {
        profiles: [before.profiles.clone(), vec![guarded_by_cell("book-delivery", 10.0)]].concat(),
        ..before.clone()
    };
    thread::sleep(Duration::from_millis(1_500));
    dispatcher.reload(&added, "class book-delivery is added");
    thread::sleep(Duration::from_millis(1_500));
    let mut changed = added.clone();
    changed.profiles[0] = single_shot("stock-lookup", 5.0);
    if setup.trouble {
        changed.profiles.remove(2);
        dispatcher.reload(&changed, "stock-lookup is unsafe to repeat; class price-check is dropped");
    } else {
        dispatcher.reload(&changed, "stock-lookup is unsafe to repeat");
    }
    // From 1.2 s after SIGHUP the rules of the new configuration bind.
    thread::sleep(Duration::from_millis(2_000));
    let mut arrivals = Random::new(setup.seed);
    let mut handed_in = Vec::new();
    for number in 0..80 {
        let id = format!("{:08x}after{number:04}", arrivals.next() as u32);
        let body = if number % 4 == 0 { "fail" } else { "run" };
        handed_in.push(clients.hand_in("stock-lookup", &id, None, TENANTS[number % 3], 5_000, body));
        thread::sleep(seconds(arrivals.gap(20.0)));
    }
    let count = handed_in.len();
    for client in handed_in {
        let _ = client.join();
    }
    dispatcher.end();
    let twice = repeated(&runs.all(), |run| Some(run.id.clone()));
    report_repeated(setup, &twice);
    setup.record.say(&format!("{count} jobs that are unsafe to repeat; run twice: {}", twice.len()));
    !twice.is_empty()
}
