//! Model of an emulated worker's capacity: slots, slow start, and overload by too many jobs in one window.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

/// Share of its full capacity that a worker has when it starts.
pub const INITIAL_CAPACITY: f64 = 0.14;
/// Time until a worker reaches its full capacity.
pub const WARM_UP: Duration = Duration::from_secs(24);
/// Work in one window above which a worker is overloaded, as a multiple of its capacity.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Length of the window in which work is added up.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which an overloaded worker accepts no jobs.
const DOWN_TIME: Duration = Duration::from_secs(5);

/// Standard deviation of the logarithm of run times.
const RUN_TIME_DEVIATION: f64 = 0.3;

/// A worker with slots. In slow start it runs jobs more slowly and can be overloaded.
#[derive(Debug)]
pub struct WorkerModel {
    slots: Semaphore,
    slot_count: usize,
    run_time: Duration,
    /// Start time of a worker in slow start; `None` for a worker at full capacity.
    started_at: Option<Instant>,
    /// Times at which jobs arrived.
    arrivals: RefCell<Vec<Instant>>,
    down_until: Cell<Option<Instant>>,
    overloads: Cell<u64>,
    random: RefCell<Pcg64>,
}

impl WorkerModel {
    /// Returns a worker with `slot_count` slots on which the median job takes `run_time` at full capacity. With
    /// `is_starting` it is in slow start from now on.
    pub fn new(slot_count: usize, run_time: Duration, is_starting: bool, seed: u64) -> Rc<WorkerModel> {
        Rc::new(WorkerModel {
            slots: Semaphore::new(slot_count),
            slot_count,
            run_time,
            started_at: is_starting.then(Instant::now),
            arrivals: RefCell::default(),
            down_until: Cell::default(),
            overloads: Cell::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        })
    }

    /// Returns the share of its full capacity that the worker has at a time.
    pub fn slow_start_factor(&self, at: Instant) -> f64 {
        let age = |since: Instant| at.duration_since(since).as_secs_f64() / WARM_UP.as_secs_f64();
        self.started_at.map_or(1.0, |since| INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age(since).min(1.0))
    }

    /// Returns the number of jobs that the worker tolerates in a window that ends at a time.
    pub fn capacity_in_window(&self, at: Instant) -> f64 {
        OVERLOAD_MULTIPLE
            * self.slow_start_factor(at)
            * self.slot_count as f64
            * OVERLOAD_WINDOW.as_secs_f64()
            / self.run_time.as_secs_f64()
    }

    /// Returns the number of jobs in the window that ends with the last of these arrivals.
    pub fn arrivals_in_window(arrivals: &[Instant]) -> f64 {
        let Some(last) = arrivals.last() else { return 0.0 };
        arrivals.iter().rev().take_while(|arrival| *last - **arrival < OVERLOAD_WINDOW).count() as f64
    }

    /// Records the arrival of a job; returns false if it overloads the worker, or finds it overloaded.
    pub fn accept_job(&self, now: Instant) -> bool {
        self.arrivals.borrow_mut().push(now);
        if self.down_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let tolerated = self.capacity_in_window(now);
        // The limit allows for random bursts, because independent arrivals exceed their mean by chance.
        let limit = tolerated + 3.0 * tolerated.sqrt() + 3.0;
        let arrived = WorkerModel::arrivals_in_window(&self.arrivals.borrow());
        if self.started_at.is_some() && arrived > limit {
            self.down_until.set(Some(now + DOWN_TIME));
            self.overloads.set(self.overloads.get() + 1);
            return false;
        }
        true
    }

    /// Waits for a free slot.
    pub async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }

    /// Draws the run time of a job that starts at a time.
    pub fn sample_run_time(&self, at: Instant) -> Duration {
        let distribution = LogNormal::new(0.0, RUN_TIME_DEVIATION);
        let factor = distribution.map_or(1.0, |factors| factors.sample(&mut *self.random.borrow_mut()));
        self.run_time.mul_f64(factor / self.slow_start_factor(at))
    }

    /// Returns the start time of a worker in slow start, `None` for a worker at full capacity.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// Returns the times at which jobs arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.borrow().clone()
    }

    /// Returns the number of overloads.
    pub fn overloads(&self) -> u64 {
        self.overloads.get()
    }
}
