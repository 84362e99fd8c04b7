//! Messages of slow start: the grants of the lease holder, and the usage reports with which members respond.

use coordination::Micros;
use serde::{Deserialize, Serialize};

/// Maximum number of grants in one message.
pub(super) const MAX_GRANTS: usize = 512;
/// Exclusive upper bound of the numbers in a usage report.
const MAX_USAGE_NUMBER: f64 = 1e9;

/// Part of the quota of a worker in slow start, granted to one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Id of the process that may use the grant.
    pub process_id: u64,
    /// Latest clock reading of that process that the allocator has received.
    pub clock_reading: Micros,
    /// Number of the worker, which is the same at all members.
    pub worker: u64,
    /// Work, in slot-seconds.
    pub work: f64,
}

/// Grants that the lease holder sends to all members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrants(pub Vec<Grant>);

impl QuotaGrants {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` if it is malformed, has too many grants, or contains work that is not
    /// positive.
    pub fn decode(bytes: &[u8]) -> Option<QuotaGrants> {
        let grants: QuotaGrants = postcard::from_bytes(bytes).ok()?;
        let valid = |grant: &Grant| grant.work.is_finite() && grant.work > 0.0;
        (grants.0.len() <= MAX_GRANTS && grants.0.iter().all(valid)).then_some(grants)
    }
}

/// Response of a member to an accepted grant message.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Id of the process that reports.
    pub process_id: u64,
    /// Reading of the process's clock, taken before it sent the report.
    pub clock_reading: Micros,
    /// Number of jobs that the process recently started per second.
    pub jobs_per_second: f64,
    /// Work of a typical job, in slot-seconds.
    pub typical_work: f64,
}

impl UsageReport {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; returns `None` if it is malformed, or a number is out of bounds.
    pub fn decode(bytes: &[u8]) -> Option<UsageReport> {
        let report: UsageReport = postcard::from_bytes(bytes).ok()?;
        let valid = |number: f64| number.is_finite() && (0.0..MAX_USAGE_NUMBER).contains(&number);
        (valid(report.jobs_per_second) && valid(report.typical_work)).then_some(report)
    }
}
