//! Estimates for the jobs that arrive at a dispatcher: running times by class, slots and waits.

use std::collections::BTreeSet;

use crate::api::{Seconds, Settings};
use crate::run_time::{RunTimeModel, SlowdownModel, WorkerSlowdowns, CLASS_LEARNING_RATE};

/// Learning rate of the mean wait at workers.
const WAIT_LEARNING_RATE: f64 = 1.0 / 16.0;
/// Bounds of the length of a window of the admission rate.
const MIN_RATE_WINDOW: Seconds = 0.2;
const MAX_RATE_WINDOW: Seconds = 2.0;

/// Estimates of the jobs of all classes.
#[derive(Debug)]
pub(crate) struct Workload {
    /// Models of the running time, by class.
    pub run_times: Vec<RunTimeModel>,
    /// Classes without new jobs, which do not count in means over the classes.
    dropped_classes: BTreeSet<u32>,
    pub slowdowns: SlowdownModel,
    /// Mean number of slots of a job.
    pub mean_slots: f64,
    /// Mean wait of recent jobs at workers before they started.
    pub mean_wait: Seconds,
}

impl Workload {
    /// Returns initial estimates for this number of classes.
    pub(crate) fn new(classes: usize) -> Workload {
        let run_times = vec![RunTimeModel::default(); classes];
        let dropped_classes = BTreeSet::new();
        let slowdowns = SlowdownModel::default();
        Workload { run_times, dropped_classes, slowdowns, mean_slots: 1.0, mean_wait: 0.0 }
    }

    /// Extends the estimates to the classes of new settings with initial ones.
    pub(crate) fn configure(&mut self, settings: &Settings) {
        self.run_times.resize(settings.classes.len(), RunTimeModel::default());
        self.dropped_classes.clone_from(&settings.dropped.classes);
    }

    /// Returns the length of a window of the admission rate: about a mean running time, because the effect of a change
    /// of the rate becomes visible only after that time.
    pub(crate) fn rate_window(&self) -> Seconds {
        let classes = (0..).zip(&self.run_times);
        let served = classes.filter(|(class, _)| !self.dropped_classes.contains(class));
        let sum = served.map(|(_, run_times)| run_times.mean).sum::<f64>();
        let count = self.run_times.len() - self.dropped_classes.len();
        (sum / count as f64).clamp(MIN_RATE_WINDOW, MAX_RATE_WINDOW)
    }

    /// Returns the mean work of a job, in slot-seconds.
    pub(crate) fn mean_job_work(&self) -> f64 {
        self.mean_slots * self.rate_window()
    }

    /// Updates the mean number of slots with a job that arrived.
    pub(crate) fn record_slots(&mut self, slots: f64) {
        self.mean_slots += CLASS_LEARNING_RATE * (slots - self.mean_slots);
    }

    /// Updates the mean wait with a job that started.
    pub(crate) fn record_wait(&mut self, wait: Seconds) {
        self.mean_wait += WAIT_LEARNING_RATE * (wait - self.mean_wait);
    }

    /// Updates the running times of the class and the slowdowns of the worker with a job that ended.
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
