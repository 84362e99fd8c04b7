//! The open requests and their attempts.

use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::oneshot;

use super::clock::Micros;
use super::messages::{Answer, AttemptId, Payload};
use dispatch_core::api::RequestId;

/// A request in the table.
pub(super) struct OpenRequest {
    pub(super) deadline: Micros,
    pub(super) payload: Rc<Payload>,
    /// Where the answer goes; none once it is concluded.
    pub(super) answer_sender: Option<oneshot::Sender<Answer>>,
    pub(super) class: usize,
    pub(super) attempts: Vec<Attempt>,
}

/// An attempt at a request.
pub(super) struct Attempt {
    /// When it was sent on its way.
    pub(super) sent_at: Micros,
    pub(super) in_flight: bool,
    /// No outcome proves that it never ran.
    pub(super) may_have_run: bool,
}

impl OpenRequest {
    /// Takes where the answer goes, once; from then on no attempt begins.
    pub(super) fn conclude(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.payload.concluded.set(true);
        self.answer_sender.take()
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// The open requests by the engine's id, and the ids that clients gave to them.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: FxHashMap<RequestId, OpenRequest>,
    client_ids: FxHashSet<Bytes>,
}

impl RequestTable {
    /// Takes a client's id for a request; false where another open request has it.
    pub(super) fn claim_client_id(&mut self, id: &Bytes) -> bool {
        id.is_empty() || self.client_ids.insert(id.clone())
    }

    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.requests.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The open requests in the order in which they came.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// How many attempts a request has had, in flight or ended.
    pub(super) fn attempts(&self, id: RequestId) -> u32 {
        self.get(id).map_or(0, |open| open.attempts.len() as u32)
    }

    /// Whether this attempt was started and has not ended.
    pub(super) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        let attempt = self.get(attempt.request).and_then(|open| open.attempts.get(attempt.number as usize));
        attempt.is_some_and(|attempt| attempt.in_flight)
    }

    /// Forgets a request once it is concluded and none of its attempts is in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished =
            self.get(id).is_some_and(|open| open.answer_sender.is_none() && !open.has_attempt_in_flight());
        if finished {
            if let Some(open) = self.requests.remove(&id) {
                self.client_ids.remove(&open.payload.id);
            }
        }
    }
}
