//! Pending proposals of this process, and the clients that wait for them.

use std::collections::BTreeMap;

use coordination::{Command, Micros};
use serde::{Deserialize, Serialize};

use super::{ConnectionId, Replica};

/// Timeout of a pending proposal, in microseconds; longer than that of its client.
const PROPOSAL_TIMEOUT: Micros = 5_000_000;

/// Client that waits for a response.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requester {
    pub(super) connection: ConnectionId,
    /// Id of the request, chosen by the client.
    pub(super) request_id: u64,
}

/// Proposal whose client waits until it is applied.
pub(super) struct PendingProposal {
    pub(super) requester: Requester,
    pub(super) proposed_at: Micros,
}

/// Context that Raft carries with an entry or a read-index round, by which a process recognizes its own requests. The
/// encoded context is stored in the log.
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

/// Proposals of this process that are not applied yet.
pub(super) struct PendingProposals {
    process_nonce: u64,
    last_request: u64,
    pending: BTreeMap<u64, PendingProposal>,
}

impl PendingProposals {
    pub(super) fn new(process_nonce: u64) -> PendingProposals {
        PendingProposals { process_nonce, last_request: 0, pending: BTreeMap::new() }
    }

    /// Returns the number of waiting clients.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) fn insert(&mut self, context: RequestContext, proposal: PendingProposal) {
        self.pending.insert(context.request, proposal);
    }

    /// Returns the context of the next proposal or read index.
    pub(super) fn next_context(&mut self) -> RequestContext {
        self.last_request += 1;
        RequestContext { process_nonce: self.process_nonce, request: self.last_request }
    }

    /// Returns the number of the request with this context, if this process made the request.
    pub(super) fn own_request(&self, context: &[u8]) -> Option<u64> {
        let context: RequestContext = postcard::from_bytes(context).ok()?;
        (context.process_nonce == self.process_nonce).then_some(context.request)
    }

    /// Removes the proposal with this context, if its client waits for it.
    pub(super) fn remove(&mut self, context: &[u8]) -> Option<PendingProposal> {
        let request = self.own_request(context)?;
        self.pending.remove(&request)
    }

    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.pending.retain(|_, proposal| now.saturating_sub(proposal.proposed_at) <= PROPOSAL_TIMEOUT);
    }

    /// Removes all proposals and returns their clients.
    pub(super) fn drain(&mut self) -> Vec<Requester> {
        std::mem::take(&mut self.pending).into_values().map(|proposal| proposal.requester).collect()
    }
}

impl Replica {
    /// Proposes a command for which no client waits. A failed proposal is ignored, because callers propose again what
    /// is still due.
    pub(super) fn propose_without_client(&mut self, command: &Command) {
        let _ = self.raw_node.propose(Vec::new(), command.encode());
    }
}
