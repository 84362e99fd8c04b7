//! Effects: what a lease holder does at another member.

use coordination::{EffectRejection, FencingToken, LeaseId};
use serde::{Deserialize, Serialize};

/// Something that a lease holder does at a receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// On behalf of which lease.
    pub lease: LeaseId,
    /// In which term.
    pub token: FencingToken,
    /// Counted within the term.
    pub sequence: u64,
    /// What the lease is for says what is in it.
    pub body: Vec<u8>,
}

/// What a receiver responds to an effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EffectResponse {
    /// It was accepted, with what the receiver has to say in return.
    Accepted(Vec<u8>),
    /// It was not.
    Rejected(EffectRejection),
}
