//! Rule checker: counts violations of the four rules by a dispatcher.
//!
//! Its records come from the emulated peers only: the responses that clients received, the attempts that reached
//! workers, and the endpoint list changes that discovery sent. Nothing that a dispatcher reports about itself is used.

use dispatch_core::api::{Idempotency, KeyScope};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::day::Micros;

/// Number of violations of each of the four rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleViolations {
    /// Attempts sent to a worker after the grace period that follows the notice of its drain.
    pub drain: u64,
    /// Requests that may have run and were retried or rejected although their class does not allow it.
    #[serde(rename = "dup")]
    pub repeated: u64,
    /// Accepted requests without exactly one final response in time, and attempts sent after the final response.
    #[serde(rename = "lost")]
    pub unanswered: u64,
    /// Workers overloaded during slow start by dispatchers that had been notified of the start.
    #[serde(rename = "failback")]
    pub slow_start_overload: u64,
}

impl RuleViolations {
    /// Returns the number of violations of all rules.
    pub fn total(self) -> u64 {
        self.drain + self.repeated + self.unanswered + self.slow_start_overload
    }

    /// Adds the violations of another run.
    pub fn add(&mut self, other: RuleViolations) {
        self.drain += other.drain;
        self.repeated += other.repeated;
        self.unanswered += other.unanswered;
        self.slow_start_overload += other.slow_start_overload;
    }
}

/// Time limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Time after the notice of a drain within which attempts may still be sent.
    pub drain_grace: Micros,
    /// Time after the deadline within which a response is still in time.
    pub response_slack: Micros,
}

/// Incarnation of a dispatcher: one run of its process, with a number that is unique among all dispatchers. A notice
/// sent to one incarnation does not reach the next.
pub type Incarnation = u32;

/// Attempt as the worker that received it observed it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAttempt {
    /// Incarnation of the dispatcher that sent it.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub request: u64,
    /// Worker that received it.
    pub worker: u64,
    /// Location of the worker.
    pub location: Location,
    /// Time at which it was sent.
    pub sent_at: Micros,
}

/// Location of a worker, as far as the scope of an idempotency key depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Zone of the worker.
    pub zone: u32,
    /// Rack of the worker.
    pub rack: u32,
}

impl Location {
    /// Returns whether workers at this location recognize an idempotency key of this scope after a worker at the other
    /// location has seen it.
    fn shares_keys_with(self, other: Location, scope: KeyScope) -> bool {
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => self.zone == other.zone,
            KeyScope::Cell => self.rack == other.rack,
        }
    }
}

/// Attempt of a request that was accepted.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    sent_at: Micros,
    location: Location,
    /// Whether the dispatcher was notified that the attempt never ran.
    never_ran: bool,
}

/// A worker, and the incarnation of a dispatcher that was notified of the worker's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DrainNotice {
    incarnation: Incarnation,
    worker: u64,
}

#[derive(Debug)]
struct AcceptedRequest {
    idempotency: Idempotency,
    retry_window: Micros,
    deadline: Micros,
    response_count: u32,
    attempts: Vec<SentAttempt>,
    /// Whether no response is required: the client disconnected or the dispatcher was killed.
    response_waived: bool,
}

impl AcceptedRequest {
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.never_ran)
    }

    /// Returns whether a further attempt cannot execute the request twice.
    fn allows_attempt(&self, next: ObservedAttempt) -> bool {
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => !self.may_have_run(),
            Idempotency::WithKey(scope) => {
                let mut may_have_run = self.attempts.iter().filter(|attempt| !attempt.never_ran);
                may_have_run.all(|attempt| {
                    next.sent_at <= attempt.sent_at + self.retry_window
                        && attempt.location.shares_keys_with(next.location, scope)
                })
            }
        }
    }

    /// Returns whether a request that may have run may still be rejected, because another execution does no harm.
    fn may_fail_after_execution(&self) -> bool {
        matches!(self.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
    }
}

/// Records of open requests and drain notices, and the violations detected so far.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    drain_notices: FxHashMap<DrainNotice, Micros>,
    open_requests: FxHashMap<u64, AcceptedRequest>,
    violations: RuleViolations,
}

impl RuleChecker {
    /// Creates a checker without records.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            limits,
            drain_notices: FxHashMap::default(),
            open_requests: FxHashMap::default(),
            violations: RuleViolations::default(),
        }
    }

    /// Records that discovery notified a dispatcher of the drain or the removal of a worker.
    pub fn record_drain_notice(&mut self, incarnation: Incarnation, worker: u64, now: Micros) {
        self.drain_notices.entry(DrainNotice { incarnation, worker }).or_insert(now);
    }

    /// Records a request that a dispatcher accepted.
    pub fn record_accepted(
        &mut self,
        request: u64,
        idempotency: Idempotency,
        retry_window: Micros,
        deadline: Micros,
    ) {
        let accepted_request = AcceptedRequest {
            idempotency,
            retry_window,
            deadline,
            response_count: 0,
            attempts: Vec::new(),
            response_waived: false,
        };
        self.open_requests.insert(request, accepted_request);
    }

    /// Records an attempt; returns its number among the attempts of the request.
    pub fn record_attempt(&mut self, attempt: ObservedAttempt) -> usize {
        if self.is_after_drain(attempt) {
            self.violations.drain += 1;
        }
        let Some(accepted) = self.open_requests.get_mut(&attempt.request) else { return 0 };
        if !accepted.allows_attempt(attempt) {
            self.violations.repeated += 1;
        } else if accepted.response_count > 0 {
            self.violations.unanswered += 1;
        }
        accepted.attempts.push(SentAttempt {
            sent_at: attempt.sent_at,
            location: attempt.location,
            never_ran: false,
        });
        accepted.attempts.len() - 1
    }

    fn is_after_drain(&self, attempt: ObservedAttempt) -> bool {
        let notice = DrainNotice { incarnation: attempt.incarnation, worker: attempt.worker };
        let notified_at = self.drain_notices.get(&notice);
        notified_at.is_some_and(|notified_at| attempt.sent_at > notified_at + self.limits.drain_grace)
    }

    /// Records that a dispatcher was notified that an attempt never ran.
    pub fn record_never_ran(&mut self, request: u64, attempt: usize) {
        if let Some(sent) =
            self.open_requests.get_mut(&request).and_then(|accepted| accepted.attempts.get_mut(attempt))
        {
            sent.never_ran = true;
        }
    }

    /// Records a final response that a client received.
    pub fn record_response(&mut self, request: u64, rejected: bool, now: Micros) {
        let Some(accepted) = self.open_requests.get_mut(&request) else { return };
        accepted.response_count += 1;
        let late = now > accepted.deadline + self.limits.response_slack;
        if (accepted.response_count > 1 || late) && !accepted.response_waived {
            self.violations.unanswered += 1;
        }
        if rejected && accepted.may_have_run() && !accepted.may_fail_after_execution() {
            self.violations.repeated += 1;
        }
    }

    /// Waives the response to a request whose client disconnected or whose dispatcher was killed.
    pub fn waive_response(&mut self, request: u64) {
        if let Some(accepted) = self.open_requests.get_mut(&request) {
            accepted.response_waived = true;
        }
    }

    /// Closes a request and removes its records; a request without a response is a violation, unless it was waived.
    pub fn close_request(&mut self, request: u64) {
        if let Some(accepted) = self.open_requests.remove(&request) {
            if accepted.response_count == 0 && !accepted.response_waived {
                self.violations.unanswered += 1;
            }
        }
    }

    /// Records the overload of a worker during slow start; it is a violation if dispatchers that had been notified of
    /// the worker's start caused it.
    pub fn record_slow_start_overload(&mut self, by_informed_senders: bool) {
        self.violations.slow_start_overload += u64::from(by_informed_senders);
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> RuleViolations {
        self.violations
    }

    /// Closes the open requests and returns the violations.
    pub fn finish(mut self) -> RuleViolations {
        let mut open: Vec<u64> = self.open_requests.keys().copied().collect();
        open.sort_unstable();
        for request in open {
            self.close_request(request);
        }
        self.violations
    }
}
