//! The receiver's side: which grants a process may use, and until when.

use coordination::{FencingToken, Micros};

use super::{Grant, QuotaConfig, QuotaGrants};

/// Quota that this process may use now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsableQuota {
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// So much work, in slots by seconds.
    pub work: f64,
    /// When it expires, by this process's clock.
    pub expires_at: Micros,
}

/// What is accepted of the messages of lease holders: each message once, and of it what is for this process.
#[derive(Debug, Clone)]
pub struct GrantedQuota {
    process_id: u64,
    grant_ttl: Micros,
    /// The term and the sequence number of the last message that was accepted.
    last_accepted: (FencingToken, u64),
}

impl GrantedQuota {
    /// For the process that drew this number.
    pub fn new(process_id: u64, config: &QuotaConfig) -> GrantedQuota {
        GrantedQuota { process_id, grant_ttl: config.grant_ttl, last_accepted: (FencingToken(0), 0) }
    }

    /// What of a message is for this process and has not expired. A message that was accepted before, or an older one,
    /// gives nothing.
    pub fn accept(
        &mut self,
        token: FencingToken,
        sequence: u64,
        grants: &QuotaGrants,
        now: Micros,
    ) -> Vec<UsableQuota> {
        if (token, sequence) <= self.last_accepted {
            return Vec::new();
        }
        self.last_accepted = (token, sequence);
        grants.0.iter().filter_map(|grant| self.usable(grant, now)).collect()
    }

    fn usable(&self, grant: &Grant, now: Micros) -> Option<UsableQuota> {
        let expires_at = grant.clock_reading + self.grant_ttl;
        let for_this_process = grant.process_id == self.process_id;
        // A reading of the future is of another process, or none.
        let valid = grant.clock_reading <= now && expires_at > now;
        (for_this_process && valid).then_some(UsableQuota {
            worker: grant.worker,
            work: grant.work,
            expires_at,
        })
    }
}
