//! What a emulated worker bears: slots, a pace that grows while it is cold, and a fall where it is sent too much.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

/// The part of its capacity with which a worker starts.
pub const INITIAL_CAPACITY: f64 = 0.14;
/// How long a worker takes to reach its full capacity.
pub const WARM_UP: Duration = Duration::from_secs(24);
/// A worker is overloaded by more than this multiple of what it can do in one window.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// The window over which work is summed up.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// How long a worker that was pushed over takes nothing.
const DOWN_TIME: Duration = Duration::from_secs(5);

/// A worker with slots, which is slow while it is cold and falls when it is sent more than it bears.
#[derive(Debug)]
pub struct WorkerModel {
    slots: Semaphore,
    slot_count: usize,
    run_time: Duration,
    /// When it started, if not long ago.
    started_at: Option<Instant>,
    /// When work was sent to it.
    arrivals: RefCell<Vec<Instant>>,
    down_until: Cell<Option<Instant>>,
    overloads: Cell<u64>,
    random: RefCell<Pcg64>,
}

impl WorkerModel {
    /// One with so many slots, in which a job runs so long where it is warm.
    pub fn new((count, run): (usize, Duration), cold: bool, seed: u64) -> Rc<WorkerModel> {
        Rc::new(WorkerModel {
            slots: Semaphore::new(count),
            slot_count: count,
            run_time: run,
            started_at: cold.then(Instant::now),
            arrivals: RefCell::default(),
            down_until: Cell::default(),
            overloads: Cell::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        })
    }

    /// Which part of its pace it has.
    pub fn slow_start_factor(&self, at: Instant) -> f64 {
        let age = |since: Instant| at.duration_since(since).as_secs_f64() / WARM_UP.as_secs_f64();
        self.started_at.map_or(1.0, |since| INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age(since).min(1.0))
    }

    /// Jobs that it bears in a span that ends then.
    pub fn capacity_in_window(&self, at: Instant) -> f64 {
        OVERLOAD_MULTIPLE
            * self.slow_start_factor(at)
            * self.slot_count as f64
            * OVERLOAD_WINDOW.as_secs_f64()
            / self.run_time.as_secs_f64()
    }

    /// Jobs sent in the span that ends with the last of these.
    pub fn arrivals_in_window(sent: &[Instant]) -> f64 {
        let Some(last) = sent.last() else { return 0.0 };
        sent.iter().rev().take_while(|at| *last - **at < OVERLOAD_WINDOW).count() as f64
    }

    /// A job came; false where it pushed the worker over, or finds it down.
    pub fn accept_job(&self, now: Instant) -> bool {
        self.arrivals.borrow_mut().push(now);
        if self.down_until.get().is_some_and(|until| now < until) {
            return false;
        }
        let bears = self.capacity_in_window(now);
        if self.started_at.is_some()
            && WorkerModel::arrivals_in_window(&self.arrivals.borrow()) > bears + 3.0 * bears.sqrt() + 3.0
        {
            self.down_until.set(Some(now + DOWN_TIME));
            self.overloads.set(self.overloads.get() + 1);
            return false;
        }
        true
    }

    /// A slot, when one is free.
    pub async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }

    /// How long a job runs that begins then.
    pub fn sample_run_time(&self, at: Instant) -> Duration {
        let varies = LogNormal::new(0.0, 0.3).map_or(1.0, |d| d.sample(&mut *self.random.borrow_mut()));
        self.run_time.mul_f64(varies / self.slow_start_factor(at))
    }

    /// When it started, if not long ago.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// When jobs were sent to it.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.borrow().clone()
    }

    /// How often it was pushed over.
    pub fn overloads(&self) -> u64 {
        self.overloads.get()
    }
}
