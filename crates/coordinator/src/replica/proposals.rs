//! Proposals of this process, and the clients that wait until they are applied.

use std::collections::BTreeMap;

use coordination::Micros;
use serde::{Deserialize, Serialize};

use super::ConnectionId;

/// How long a proposal waits for its entry, in microseconds. Its client has given up by then.
const PROPOSAL_TIMEOUT: Micros = 5_000_000;

/// Who waits for a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requester {
    pub(super) connection: ConnectionId,
    /// The number that the client gave to the request.
    pub(super) request_id: u64,
}

/// A proposal whose client waits for it to be applied.
pub(super) struct PendingProposal {
    pub(super) requester: Requester,
    pub(super) proposed_at: Micros,
}

/// What Raft carries beside an entry or a read index, so that this process knows its own again. These bytes are in the
/// log.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct RequestContext {
    process_nonce: u64,
    pub(super) request: u64,
}

impl RequestContext {
    pub(super) fn encode(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }
}

/// The proposals of this process that were not applied yet.
pub(super) struct PendingProposals {
    process_nonce: u64,
    last_request: u64,
    pending: BTreeMap<u64, PendingProposal>,
}

impl PendingProposals {
    pub(super) fn new(process_nonce: u64) -> PendingProposals {
        PendingProposals { process_nonce, last_request: 0, pending: BTreeMap::new() }
    }

    /// How many clients wait.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn insert(&mut self, context: RequestContext, proposal: PendingProposal) {
        self.pending.insert(context.request, proposal);
    }

    /// The context of the next proposal or read index.
    pub(super) fn next_context(&mut self) -> RequestContext {
        self.last_request += 1;
        RequestContext { process_nonce: self.process_nonce, request: self.last_request }
    }

    /// The number of the request that has this context, if it is this process's.
    pub(super) fn own_request(&self, context: &[u8]) -> Option<u64> {
        let context: RequestContext = postcard::from_bytes(context).ok()?;
        (context.process_nonce == self.process_nonce).then_some(context.request)
    }

    /// The proposal that has this context, if its client waits for it.
    pub(super) fn remove(&mut self, context: &[u8]) -> Option<PendingProposal> {
        let request = self.own_request(context)?;
        self.pending.remove(&request)
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.pending.retain(|_, proposal| now.saturating_sub(proposal.proposed_at) <= PROPOSAL_TIMEOUT);
    }

    /// Takes out all proposals, and returns who waits for them.
    pub(super) fn drain(&mut self) -> Vec<Requester> {
        std::mem::take(&mut self.pending).into_values().map(|proposal| proposal.requester).collect()
    }
}
