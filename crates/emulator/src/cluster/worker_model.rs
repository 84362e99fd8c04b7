//! What a stand-in worker bears: slots, a pace that grows while it is cold, and a fall where it is sent too much.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

/// What the settings tell of cold workers.
pub const SHARE: f64 = 0.14;
/// See [`SHARE`].
pub const WARM: Duration = Duration::from_secs(24);
/// See [`SHARE`].
pub const MULTIPLE: f64 = 3.0;
/// See [`SHARE`].
pub const SPAN: Duration = Duration::from_millis(1_500);
/// How long a worker that was pushed over takes nothing.
const DOWN: Duration = Duration::from_secs(5);

/// A worker with slots, which is slow while it is cold and falls when it is sent more than it bears.
#[derive(Debug)]
pub struct Worker {
    slots: Semaphore,
    count: usize,
    run: Duration,
    /// When it started, if not long ago.
    since: Option<Instant>,
    /// When work was sent to it.
    sent: RefCell<Vec<Instant>>,
    down: Cell<Option<Instant>>,
    falls: Cell<u64>,
    random: RefCell<Pcg64>,
}

impl Worker {
    /// One with so many slots, in which a job runs so long where it is warm.
    pub fn new((count, run): (usize, Duration), cold: bool, seed: u64) -> Rc<Worker> {
        Rc::new(Worker {
            slots: Semaphore::new(count),
            count,
            run,
            since: cold.then(Instant::now),
            sent: RefCell::default(),
            down: Cell::default(),
            falls: Cell::default(),
            random: RefCell::new(Pcg64::seed_from_u64(seed)),
        })
    }

    /// Which part of its pace it has.
    pub fn warmth(&self, at: Instant) -> f64 {
        let age = |since: Instant| at.duration_since(since).as_secs_f64() / WARM.as_secs_f64();
        self.since.map_or(1.0, |since| SHARE + (1.0 - SHARE) * age(since).min(1.0))
    }

    /// Jobs that it bears in a span that ends then.
    pub fn bears(&self, at: Instant) -> f64 {
        MULTIPLE * self.warmth(at) * self.count as f64 * SPAN.as_secs_f64() / self.run.as_secs_f64()
    }

    /// Jobs sent in the span that ends with the last of these.
    pub fn in_span(sent: &[Instant]) -> f64 {
        let Some(last) = sent.last() else { return 0.0 };
        sent.iter().rev().take_while(|at| *last - **at < SPAN).count() as f64
    }

    /// A job came; false where it pushed the worker over, or finds it down.
    pub fn comes(&self, now: Instant) -> bool {
        self.sent.borrow_mut().push(now);
        if self.down.get().is_some_and(|until| now < until) {
            return false;
        }
        let bears = self.bears(now);
        if self.since.is_some() && Worker::in_span(&self.sent.borrow()) > bears + 3.0 * bears.sqrt() + 3.0 {
            self.down.set(Some(now + DOWN));
            self.falls.set(self.falls.get() + 1);
            return false;
        }
        true
    }

    /// A slot, when one is free.
    pub async fn slot(&self) -> Option<SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }

    /// How long a job runs that begins then.
    pub fn takes(&self, at: Instant) -> Duration {
        let varies = LogNormal::new(0.0, 0.3).map_or(1.0, |d| d.sample(&mut *self.random.borrow_mut()));
        self.run.mul_f64(varies / self.warmth(at))
    }

    /// When it started, if not long ago.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// When jobs were sent to it.
    pub fn sent(&self) -> Vec<Instant> {
        self.sent.borrow().clone()
    }

    /// How often it was pushed over.
    pub fn falls(&self) -> u64 {
        self.falls.get()
    }
}
