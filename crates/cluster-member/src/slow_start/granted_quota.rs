//! Filter that selects the grants that this process may use.

use coordination::{FencingToken, Micros};

use super::{Grant, QuotaConfig, QuotaGrants};

/// Quota that this process may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsableQuota {
    /// Number of the worker, which is the same at all members.
    pub worker: u64,
    /// Work, in slot-seconds.
    pub work: f64,
    /// Time of expiry, by the clock of this process.
    pub expires_at: Micros,
}

/// Filter of grant messages: accepts each message once and returns its grants for this process.
#[derive(Debug, Clone)]
pub struct GrantFilter {
    process_id: u64,
    grant_ttl: Micros,
    last_accepted: MessagePosition,
}

/// Position of a message among all messages of lease holders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MessagePosition {
    token: FencingToken,
    /// Sequence number within the term.
    sequence: u64,
}

impl GrantFilter {
    /// Creates a filter for the process with this id.
    pub fn new(process_id: u64, config: &QuotaConfig) -> GrantFilter {
        let last_accepted = MessagePosition { token: FencingToken(0), sequence: 0 };
        GrantFilter { process_id, grant_ttl: config.grant_ttl, last_accepted }
    }

    /// Accepts a message and returns its unexpired grants for this process. Returns none if the message is not newer
    /// than the last accepted one.
    pub fn accept(
        &mut self,
        token: FencingToken,
        sequence: u64,
        grants: &QuotaGrants,
        now: Micros,
    ) -> Vec<UsableQuota> {
        let position = MessagePosition { token, sequence };
        if position <= self.last_accepted {
            return Vec::new();
        }
        self.last_accepted = position;
        grants.0.iter().filter_map(|grant| self.usable(grant, now)).collect()
    }

    fn usable(&self, grant: &Grant, now: Micros) -> Option<UsableQuota> {
        let expires_at = grant.clock_reading + self.grant_ttl;
        let for_this_process = grant.process_id == self.process_id;
        // A clock reading in the future cannot be this process's, so such a grant is dropped.
        let is_current = grant.clock_reading <= now && expires_at > now;
        (for_this_process && is_current).then_some(UsableQuota {
            worker: grant.worker,
            work: grant.work,
            expires_at,
        })
    }
}
