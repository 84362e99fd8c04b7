//! What a dispatcher has learnt of the jobs that it is asked for: their running times by class, their slots and waits.

use crate::api::Seconds;
use crate::run_time::{RunTimeModel, SlowdownModel, WorkerSlowdowns, CLASS_LEARNING_RATE};

/// Learning rate of how long jobs wait at workers.
const WAIT_LEARNING_RATE: f64 = 1.0 / 16.0;
/// Limits of a window of the admission rate.
const MIN_RATE_WINDOW: Seconds = 0.2;
const MAX_RATE_WINDOW: Seconds = 2.0;

/// The jobs of all classes together.
#[derive(Debug)]
pub(crate) struct Workload {
    /// By class.
    pub run_times: Vec<RunTimeModel>,
    pub slowdowns: SlowdownModel,
    /// Slots of a usual job.
    pub mean_slots: f64,
    /// How long jobs wait at workers of late.
    pub mean_wait: Seconds,
}

impl Workload {
    /// Nothing learnt yet, for so many classes.
    pub(crate) fn new(classes: usize) -> Workload {
        let run_times = vec![RunTimeModel::default(); classes];
        Workload { run_times, slowdowns: SlowdownModel::default(), mean_slots: 1.0, mean_wait: 0.0 }
    }

    /// Other settings, with so many classes.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.run_times.resize(classes, RunTimeModel::default());
    }

    /// A window of the admission rate: about a running time, in which the effect of a change shows.
    pub(crate) fn rate_window(&self) -> Seconds {
        let sum = self.run_times.iter().map(|run_times| run_times.mean).sum::<f64>();
        (sum / self.run_times.len() as f64).clamp(MIN_RATE_WINDOW, MAX_RATE_WINDOW)
    }

    /// What a usual job asks of a worker, in slots by seconds.
    pub(crate) fn mean_job_work(&self) -> f64 {
        self.mean_slots * self.rate_window()
    }

    /// A job of so many slots arrived.
    pub(crate) fn record_slots(&mut self, slots: f64) {
        self.mean_slots += CLASS_LEARNING_RATE * (slots - self.mean_slots);
    }

    /// A job waited for so long before it started.
    pub(crate) fn record_wait(&mut self, wait: Seconds) {
        self.mean_wait += WAIT_LEARNING_RATE * (wait - self.mean_wait);
    }

    /// A job of a class ended, at a worker with these slowdowns of kind and worker.
    pub(crate) fn record_run(
        &mut self,
        class: usize,
        run_time: Seconds,
        hint: Option<Seconds>,
        slowdowns: WorkerSlowdowns<'_>,
        now: Seconds,
    ) {
        let WorkerSlowdowns { kind, worker } = slowdowns;
        self.slowdowns.learn(run_time, hint, &mut self.run_times[class], kind, worker, now);
    }
}
