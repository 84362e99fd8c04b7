//! Ids of jobs that may have run and must not run again, also after their client has left.
//!
//! An id is remembered from its first attempt on, until [`RETENTION`] after it was last sent. While the job is open, the
//! table of open requests rejects the id as well; this memory is for what comes later, and for what another process on
//! the same socket has sent ([`SharedIds`]).

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::clock::{seconds, Micros};
use dispatch_core::api::JobSettings;
use dispatch_core::hashing::hash_bytes;

/// Time for which an id is remembered: clients wait for less, so that one that comes later is a new request.
const RETENTION: Micros = 30_000_000;
/// Memory limit per remembered id, in bytes. An id takes less than two hundred bytes.
const MEMORY_PER_ID: usize = 2048;
/// Maximum number of ids if the memory limit is not known.
const DEFAULT_CAPACITY: usize = 32_768;

/// An id that was sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentId {
    /// Hash of the id.
    pub hash: u64,
    /// Time of the first attempt that may have run, in microseconds of Unix time. The key window begins here.
    pub first_sent_at: Micros,
    /// Time at which the id was last sent for the first time within a request. The retention begins here.
    pub last_sent_at: Micros,
    /// Time until which the job may run again at any worker, because all of them drop repeats.
    pub repeatable_until: Micros,
    /// False if it turned out that no attempt ran.
    pub may_have_run: bool,
}

impl SentId {
    /// Returns this id with the sends of another record of it. The earlier of both limits holds.
    fn merged_with(self, other: SentId) -> SentId {
        SentId {
            first_sent_at: self.first_sent_at.min(other.first_sent_at),
            last_sent_at: self.last_sent_at.max(other.last_sent_at),
            repeatable_until: self.repeatable_until.min(other.repeatable_until),
            ..self
        }
    }

    fn is_retained(&self, now: Micros) -> bool {
        now.saturating_sub(self.last_sent_at) < RETENTION
    }
}

/// Ids that processes on the same socket exchange.
pub trait SharedIds: std::fmt::Debug {
    /// Publishes an id before the first attempt is written.
    fn publish(&mut self, id: SentId, now: Micros);

    /// Returns the ids that other processes published since the last call.
    fn received(&mut self, now: Micros) -> Vec<SentId>;

    /// Applies the memory limit of the process, in bytes.
    fn set_memory_limit(&mut self, limit: usize);
}

/// An id that this process remembers.
#[derive(Clone, Copy, Debug)]
struct RememberedId {
    sent: SentId,
    /// Time at which this process last learnt of a send.
    remembered_at: Micros,
}

/// The ids that this process remembers.
#[derive(Debug)]
pub(super) struct RecentIds {
    ids: FxHashMap<u64, RememberedId>,
    /// Hashes with the time at which they were remembered, the oldest first. One that was remembered several times, or
    /// forgotten, has entries that count no more.
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
    /// Applies the memory limit of the process, in bytes. Beyond the number of ids that follows from it, the oldest is
    /// forgotten.
    pub(super) fn set_memory_limit(&mut self, limit: usize) {
        self.capacity = limit / MEMORY_PER_ID;
        if let Some(shared) = &mut self.shared {
            shared.set_memory_limit(limit);
        }
    }

    pub(super) fn share(&mut self, shared: Box<dyn SharedIds>) {
        self.shared = Some(shared);
    }

    /// Remembers the id of a job whose first attempt is sent now, unless the job may run any number of times. Returns
    /// the record of this send, by which it can be withdrawn.
    pub(super) fn record_send(&mut self, id: &[u8], settings: &JobSettings, now: Micros) -> Option<SentId> {
        if id.is_empty() || settings.may_always_repeat() {
            return None;
        }
        let window = settings.client_retry_window();
        let sent = SentId {
            hash: hash_bytes(id),
            first_sent_at: now,
            last_sent_at: now,
            repeatable_until: now.saturating_add(super::micros(window)),
            may_have_run: true,
        };
        self.remember(sent, now);
        self.publish(sent, now);
        Some(sent)
    }

    /// Withdraws a send after which nothing ran. An id that was also sent before or after it stays remembered.
    pub(super) fn withdraw(&mut self, sent: SentId, now: Micros) {
        self.forget(sent);
        self.publish(SentId { may_have_run: false, ..sent }, now);
    }

    /// Returns whether a job with this id may have run and must not run again.
    pub(super) fn must_not_run(&mut self, id: &[u8], settings: &JobSettings, now: Micros) -> bool {
        if id.is_empty() || settings.may_always_repeat() {
            return false;
        }
        self.receive(now);
        let Some(sent) = self.retained(hash_bytes(id), now) else { return false };
        let elapsed = now.saturating_sub(sent.first_sent_at);
        let is_repeatable = now < sent.repeatable_until && settings.allows_client_retry(seconds(elapsed));
        !is_repeatable
    }

    fn publish(&mut self, id: SentId, now: Micros) {
        if let Some(shared) = &mut self.shared {
            shared.publish(id, now);
        }
    }

    fn receive(&mut self, now: Micros) {
        let received = self.shared.as_mut().map(|shared| shared.received(now)).unwrap_or_default();
        for sent in received {
            if sent.may_have_run {
                self.remember(sent, now);
            } else {
                self.forget(SentId { may_have_run: true, ..sent });
            }
        }
    }

    fn retained(&self, hash: u64, now: Micros) -> Option<SentId> {
        let sent = self.ids.get(&hash)?.sent;
        sent.is_retained(now).then_some(sent)
    }

    /// Forgets an id if it was sent this once only.
    fn forget(&mut self, sent: SentId) {
        if self.ids.get(&sent.hash).is_some_and(|remembered| remembered.sent == sent) {
            self.ids.remove(&sent.hash);
        }
    }

    fn remember(&mut self, sent: SentId, now: Micros) {
        let sent = match self.retained(sent.hash, now) {
            Some(before) => before.merged_with(sent),
            None => sent,
        };
        self.make_room(now);
        self.order.push_back((now, sent.hash));
        self.ids.insert(sent.hash, RememberedId { sent, remembered_at: now });
    }

    /// Forgets the ids whose time is over, and the oldest ones beyond the capacity.
    fn make_room(&mut self, now: Micros) {
        while let Some((at, hash)) = self.order.front().copied() {
            if at + RETENTION >= now && self.order.len() < self.capacity {
                return;
            }
            self.order.pop_front();
            // The id may have been remembered again since.
            if self.ids.get(&hash).is_some_and(|id| id.remembered_at <= at) {
                self.ids.remove(&hash);
            }
        }
    }
}
