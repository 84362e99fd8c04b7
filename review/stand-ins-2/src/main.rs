//! The cases of the second review: stand-in clients, shop workers and platform around the project's dispatcher.
//!
//! `review-cases-2 CASE RECORD WORK [SEED]` plays a case from the project's root and ends with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment it plays without the disruption.

mod cases;
mod client;
mod http;
mod platform;
mod random;
mod record;
mod shared_list;
mod worker;

use std::path::PathBuf;
use std::process::{exit, Command};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use record::Record;

/// Ids of the processes that this program started and that have not been ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process that was started, here and in a file, from which the script ends it should this program be ended.
pub fn started(id: u32, work: &std::path::Path) {
    let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    running.push(id);
    write_ids(&running, work);
}

/// Records a process that has ended.
pub fn ended(id: u32, work: &std::path::Path) {
    let mut running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    running.retain(|other| *other != id);
    write_ids(&running, work);
}

fn write_ids(ids: &[u32], work: &std::path::Path) {
    let text: Vec<String> = ids.iter().map(u32::to_string).collect();
    let _ = std::fs::write(work.join("pids"), text.join("\n"));
}

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case needs to run.
pub struct Setup {
    pub record: Record,
    pub work: PathBuf,
    pub trouble: bool,
    pub seed: u64,
}

/// Sends a signal to a process that this program started.
pub fn signal(name: &str, id: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
}

fn end(code: i32) -> ! {
    let running = RUNNING.try_lock().map(|running| running.clone()).unwrap_or_default();
    for id in running {
        signal("KILL", id);
    }
    exit(code);
}

/// Ends the program with 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end(2);
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, work, rest @ ..] = arguments.as_slice() else {
        cannot_run("usage: review-cases-2 CASE RECORD WORK [SEED]");
    };
    std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        cannot_run("it took too long");
    });
    let seed = rest.first().and_then(|text| text.parse().ok()).unwrap_or(1);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { record: Record::create(record), work: PathBuf::from(work), trouble, seed };
    setup.record.line(&format!("case {case}, seed {seed}, trouble {}", if trouble { "on" } else { "off" }));
    let broken = match case.as_str() {
        "6" => cases::second_answer(&setup),
        "7" => cases::key_is_missing(&setup),
        "8" => cases::class_is_dropped(&setup),
        "9" => shared_list::addresses_of_another(&setup),
        _ => cannot_run("there is no such case"),
    };
    setup.record.say(if broken { "the rule was broken" } else { "the rule held" });
    end(i32::from(broken));
}
