//! What the lease holder and the members send each other: grants, and usage in return.

use coordination::Micros;
use serde::{Deserialize, Serialize};

/// The most grants in one message.
pub(super) const MAX_GRANTS: usize = 512;
/// Figures of usage are below this; a higher one is taken for an error of its sender.
const MAX_USAGE_FIGURE: f64 = 1e9;

/// A part of the quota of a worker in slow start, for one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that it is for, by the number that it drew.
    pub process_id: u64,
    /// The last reading of that process's clock that the allocator has received.
    pub clock_reading: Micros,
    /// The worker, by the number that all members know it by.
    pub worker: u64,
    /// So much work, in slots by seconds.
    pub work: f64,
}

/// What the lease holder sends to all members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrants(pub Vec<Grant>);

impl QuotaGrants {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The message in these bytes; `None` where they hold none, too many grants, or work that is no positive number.
    pub fn decode(bytes: &[u8]) -> Option<QuotaGrants> {
        let grants: QuotaGrants = postcard::from_bytes(bytes).ok()?;
        let valid = |grant: &Grant| grant.work.is_finite() && grant.work > 0.0;
        (grants.0.len() <= MAX_GRANTS && grants.0.iter().all(valid)).then_some(grants)
    }
}

/// What a member responds to each message of the lease holder that it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The process that reports.
    pub process_id: u64,
    /// A reading of its clock from before it reported.
    pub clock_reading: Micros,
    /// Jobs that it began a second, of late.
    pub jobs_per_second: f64,
    /// What a typical job asks of a worker there, in slots by seconds.
    pub typical_work: f64,
}

impl UsageReport {
    /// The bytes of the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The message in these bytes; `None` where they hold none, or figures that cannot be.
    pub fn decode(bytes: &[u8]) -> Option<UsageReport> {
        let report: UsageReport = postcard::from_bytes(bytes).ok()?;
        let valid = |figure: f64| figure.is_finite() && (0.0..MAX_USAGE_FIGURE).contains(&figure);
        (valid(report.jobs_per_second) && valid(report.typical_work)).then_some(report)
    }
}
