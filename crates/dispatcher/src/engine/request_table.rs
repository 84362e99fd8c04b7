//! The open requests and their attempts.

use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::oneshot;

use super::clock::Micros;
use super::messages::{AttemptId, FinalResponse, Payload};
use super::recent_ids::SentId;
use dispatch_core::api::{JobSettings, RequestId};

/// An open request.
pub(super) struct OpenRequest {
    pub(super) deadline: Micros,
    pub(super) payload: Rc<Payload>,
    /// Channel for the final response; `None` once the request is concluded.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Settings of the job, as they were when it was accepted.
    pub(super) settings: JobSettings,
    pub(super) attempts: Vec<Attempt>,
    /// Record of the first attempt, if the job must not run any number of times.
    pub(super) sent_id: Option<SentId>,
}

/// An attempt at an open request.
pub(super) struct Attempt {
    /// Time at which the attempt was passed to the network layer.
    pub(super) sent_at: Micros,
    /// Time for which the timer of the attempt is set; none if only the deadline of the request ends it.
    pub(super) timeout_at: Option<Micros>,
    pub(super) in_flight: bool,
    /// True until an outcome proves that the attempt never ran.
    pub(super) may_have_run: bool,
}

impl OpenRequest {
    /// Concludes the request, so that no further attempt is written; returns the channel for the response the first
    /// time.
    pub(super) fn conclude(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.payload.concluded.set(true);
        self.response_sender.take()
    }

    /// Sends the final response, unless the request is concluded already.
    pub(super) fn answer(&mut self, response: FinalResponse) {
        if let Some(response_sender) = self.conclude() {
            // The client may have left.
            let _ = response_sender.send(response);
        }
    }

    pub(super) fn is_concluded(&self) -> bool {
        self.response_sender.is_none()
    }

    /// Returns whether an attempt may have run. An attempt that was cancelled before its first byte has no outcome that
    /// tells so.
    pub(super) fn may_have_run(&self) -> bool {
        self.payload.write_started.get() && self.first_sent_that_may_have_run().is_some()
    }

    /// Returns the time at which the first attempt that may have run was sent.
    pub(super) fn first_sent_that_may_have_run(&self) -> Option<Micros> {
        self.attempts.iter().find(|attempt| attempt.may_have_run).map(|attempt| attempt.sent_at)
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// The open requests, by the engine's ids, and the ids that clients gave them.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: FxHashMap<RequestId, OpenRequest>,
    client_ids: FxHashSet<Bytes>,
}

impl RequestTable {
    /// Claims a client's id for a new request; returns false if another open request has it.
    pub(super) fn claim_client_id(&mut self, id: &Bytes) -> bool {
        id.is_empty() || self.client_ids.insert(id.clone())
    }

    /// Releases a claimed id without a request.
    pub(super) fn release_client_id(&mut self, id: &Bytes) {
        self.client_ids.remove(id);
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

    /// Returns the open requests in the order of their arrival.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the number of attempts of a request, in flight or ended.
    pub(super) fn attempts(&self, id: RequestId) -> u32 {
        self.get(id).map_or(0, |open| open.attempts.len() as u32)
    }

    /// Returns whether this attempt was started and has not ended.
    pub(super) fn is_in_flight(&self, attempt: AttemptId) -> bool {
        let attempt = self.get(attempt.request).and_then(|open| open.attempts.get(attempt.number as usize));
        attempt.is_some_and(|attempt| attempt.in_flight)
    }

    /// Removes and returns a request once it is concluded and none of its attempts is in flight.
    pub(super) fn take_finished(&mut self, id: RequestId) -> Option<OpenRequest> {
        self.get(id).filter(|open| open.is_concluded() && !open.has_attempt_in_flight())?;
        let open = self.requests.remove(&id)?;
        self.client_ids.remove(&open.payload.id);
        Some(open)
    }
}
