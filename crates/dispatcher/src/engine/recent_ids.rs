//! Ids of jobs that may have run and must not run again, also after their client has left.
//!
//! An id is remembered from its first attempt on, for [`RETENTION`] after it was last sent. While the job is open, the
//! table of open requests rejects the id as well; this memory is for what comes later, and for what another process on
//! the same socket has sent ([`SharedIds`]).

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::clock::{seconds, Micros};
use dispatch_core::api::JobSettings;
use dispatch_core::hashing::hash_bytes;

/// Time for which an id is remembered: clients wait for less, so that one that comes later is a new request.
const RETENTION: Micros = 30_000_000;
/// Maximum number of ids if the memory limit is not known.
const DEFAULT_CAPACITY: usize = 32_768;

/// An id that was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentId {
    /// Hash of the id.
    pub hash: u64,
    /// Time of the first attempt that may have run, in microseconds of Unix time.
    pub sent_at: Micros,
    /// Time until which the job may run again at any worker, because all of them drop repeats.
    pub repeatable_until: Micros,
    /// False if it turned out that no attempt ran.
    pub may_have_run: bool,
}

/// Ids that processes on the same socket exchange.
pub trait SharedIds: std::fmt::Debug {
    /// Publishes an id before the first attempt is written.
    fn publish(&mut self, id: SentId, now: Micros);

    /// Returns the ids that other processes published since the last call.
    fn received(&mut self, now: Micros) -> Vec<SentId>;
}

/// The ids that this process remembers.
#[derive(Debug)]
pub(super) struct RecentIds {
    ids: FxHashMap<u64, SentId>,
    /// Hashes with the time at which they were remembered, the oldest first.
    order: VecDeque<(Micros, u64)>,
    capacity: usize,
    shared: Option<Box<dyn SharedIds>>,
}

impl Default for RecentIds {
    fn default() -> Self {
        RecentIds {
            ids: FxHashMap::default(),
            order: VecDeque::new(),
            capacity: DEFAULT_CAPACITY,
            shared: None,
        }
    }
}

impl RecentIds {
    /// Sets the maximum number of ids; beyond it, the oldest is forgotten.
    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    pub(super) fn share(&mut self, shared: Box<dyn SharedIds>) {
        self.shared = Some(shared);
    }

    /// Remembers the id of a job whose first attempt is sent now, unless the job may run any number of times.
    pub(super) fn record_send(&mut self, id: &[u8], settings: &JobSettings, now: Micros) {
        if id.is_empty() || settings.may_always_repeat() {
            return;
        }
        let window = settings.client_retry_window();
        let repeatable_until = now.saturating_add(super::micros(window));
        let sent = SentId { hash: hash_bytes(id), sent_at: now, repeatable_until, may_have_run: true };
        self.remember(sent, now);
        self.publish(sent, now);
    }

    /// Forgets the id of a job that turned out never to have run.
    pub(super) fn forget(&mut self, id: &[u8], now: Micros) {
        if let Some(sent) = self.ids.remove(&hash_bytes(id)) {
            self.publish(SentId { may_have_run: false, ..sent }, now);
        }
    }

    fn publish(&mut self, id: SentId, now: Micros) {
        if let Some(shared) = &mut self.shared {
            shared.publish(id, now);
        }
    }

    /// Returns whether a job with this id may have run and must not run again.
    pub(super) fn must_not_run(&mut self, id: &[u8], settings: &JobSettings, now: Micros) -> bool {
        if id.is_empty() || settings.may_always_repeat() {
            return false;
        }
        let received = self.shared.as_mut().map(|shared| shared.received(now)).unwrap_or_default();
        received.into_iter().for_each(|sent| self.remember(sent, now));
        let Some(sent) = self.ids.get(&hash_bytes(id)) else { return false };
        let elapsed = now.saturating_sub(sent.sent_at);
        let is_repeatable = now < sent.repeatable_until && settings.allows_client_retry(seconds(elapsed));
        elapsed < RETENTION && !is_repeatable
    }

    fn remember(&mut self, id: SentId, now: Micros) {
        if !id.may_have_run {
            self.ids.remove(&id.hash);
            return;
        }
        while self.order.front().is_some_and(|(at, _)| at + RETENTION < now)
            || self.order.len() >= self.capacity
        {
            let Some((at, hash)) = self.order.pop_front() else { break };
            // The id may have been remembered again since.
            if self.ids.get(&hash).is_some_and(|id| id.sent_at <= at) {
                self.ids.remove(&hash);
            }
        }
        self.order.push_back((now, id.hash));
        self.ids.insert(id.hash, id);
    }
}
