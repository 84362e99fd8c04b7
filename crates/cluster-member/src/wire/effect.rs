//! Effects: messages of a lease holder to other members.

use coordination::{EffectRejection, FencingToken, LeaseId};
use serde::{Deserialize, Serialize};

/// Message of a lease holder, which the receiver accepts or rejects by its fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Lease that the sender holds.
    pub lease: LeaseId,
    /// Fencing token of the term.
    pub token: FencingToken,
    /// Sequence number within the term.
    pub sequence: u64,
    /// Payload; the lease determines its type.
    pub body: Vec<u8>,
}

/// Response to an effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EffectResponse {
    /// The effect was accepted; contains the payload of the response.
    Accepted(Vec<u8>),
    /// The effect was rejected.
    Rejected(EffectRejection),
}
