//! Holds dispatchers to the four rules, by what the emulated parties saw: clients their answers, workers the jobs that
//! reached them, discovery what it told. A dispatcher's own word counts for nothing here.

use dispatch_core::api::{Idempotency, KeyScope};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::day::Micros;

/// Breaches of the four rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleViolations {
    /// New work at a worker later than the grace after its drain was told.
    pub drain: u64,
    /// A request that may have run sent on where its class does not allow it, or refused.
    pub dup: u64,
    /// A request taken that got no final answer in time, or more than one.
    pub lost: u64,
    /// A cold worker pushed over by dispatchers that knew of its start.
    pub failback: u64,
}

impl RuleViolations {
    /// All of them.
    pub fn total(self) -> u64 {
        self.drain + self.dup + self.lost + self.failback
    }

    /// Adds others.
    pub fn add(&mut self, other: RuleViolations) {
        self.drain += other.drain;
        self.dup += other.dup;
        self.lost += other.lost;
        self.failback += other.failback;
    }
}

/// What the rules say in figures.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// New work ends this long after a drain was told.
    pub drain_grace: Micros,
    /// Answers come this long after the deadline at the latest.
    pub answer_slack: Micros,
}

/// A dispatcher's life, from one start to its end; what one life was told another does not know.
pub type Incarnation = u32;

/// Attempt as the worker that received it observed it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAttempt {
    /// Dispatcher that sent it.
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
    /// Returns whether a key with this scope that is known at the other location is known here.
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

/// Worker and the incarnation of a dispatcher that was notified of its drain.
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
    answer_count: u32,
    attempts: Vec<SentAttempt>,
    /// The client left or the dispatcher was killed: no answer is owed.
    answer_waived: bool,
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

    /// Returns whether executions that no answer reports do no harm.
    fn may_fail_after_execution(&self) -> bool {
        matches!(self.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All))
    }
}

/// The records, and the breaches found in them so far.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    drain_notices: FxHashMap<DrainNotice, Micros>,
    accepted: FxHashMap<u64, AcceptedRequest>,
    violations: RuleViolations,
}

impl RuleChecker {
    /// A checker with no records.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            limits,
            drain_notices: FxHashMap::default(),
            accepted: FxHashMap::default(),
            violations: RuleViolations::default(),
        }
    }

    /// Discovery told a dispatcher that a worker drains or is gone.
    pub fn record_drain_notice(&mut self, life: Incarnation, worker: u64, now: Micros) {
        self.drain_notices.entry(DrainNotice { incarnation: life, worker }).or_insert(now);
    }

    /// A client handed in a request, and a dispatcher took it.
    pub fn record_accepted(&mut self, request: u64, repeat: Idempotency, window: Micros, deadline: Micros) {
        let taken = AcceptedRequest {
            idempotency: repeat,
            retry_window: window,
            deadline,
            answer_count: 0,
            attempts: Vec::new(),
            answer_waived: false,
        };
        self.accepted.insert(request, taken);
    }

    /// Records an attempt; returns its number among the attempts of the request.
    pub fn record_attempt(&mut self, attempt: ObservedAttempt) -> usize {
        if self.is_after_drain(attempt) {
            self.violations.drain += 1;
        }
        let Some(taken) = self.accepted.get_mut(&attempt.request) else { return 0 };
        if !taken.allows_attempt(attempt) {
            self.violations.dup += 1;
        } else if taken.answer_count > 0 {
            self.violations.lost += 1;
        }
        taken.attempts.push(SentAttempt {
            sent_at: attempt.sent_at,
            location: attempt.location,
            never_ran: false,
        });
        taken.attempts.len() - 1
    }

    fn is_after_drain(&self, attempt: ObservedAttempt) -> bool {
        let notice = DrainNotice { incarnation: attempt.incarnation, worker: attempt.worker };
        let notified_at = self.drain_notices.get(&notice);
        notified_at.is_some_and(|notified_at| attempt.sent_at > notified_at + self.limits.drain_grace)
    }

    /// A dispatcher was shown that a send never ran.
    pub fn record_never_ran(&mut self, request: u64, send: usize) {
        if let Some(sent) = self.accepted.get_mut(&request).and_then(|taken| taken.attempts.get_mut(send)) {
            sent.never_ran = true;
        }
    }

    /// A client got a final answer.
    pub fn record_answer(&mut self, request: u64, refused: bool, now: Micros) {
        let Some(taken) = self.accepted.get_mut(&request) else { return };
        taken.answer_count += 1;
        let late = now > taken.deadline + self.limits.answer_slack;
        if (taken.answer_count > 1 || late) && !taken.answer_waived {
            self.violations.lost += 1;
        }
        if refused && taken.may_have_run() && !taken.may_fail_after_execution() {
            self.violations.dup += 1;
        }
    }

    /// No answer is owed to a request any more: its client left, or its dispatcher was killed.
    pub fn waive_answer(&mut self, request: u64) {
        if let Some(taken) = self.accepted.get_mut(&request) {
            taken.answer_waived = true;
        }
    }

    /// A request is over; its records are of no more use. One without an answer is lost.
    pub fn close_request(&mut self, request: u64) {
        if let Some(taken) = self.accepted.remove(&request) {
            if taken.answer_count == 0 && !taken.answer_waived {
                self.violations.lost += 1;
            }
        }
    }

    /// A cold worker fell over; dispatchers that knew of its start had sent two thirds of what it got.
    pub fn record_cold_overload(&mut self, by_informed: bool) {
        self.violations.failback += u64::from(by_informed);
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> RuleViolations {
        self.violations
    }

    /// What was found; requests that are still open count as lost.
    pub fn finish(mut self) -> RuleViolations {
        let mut open: Vec<u64> = self.accepted.keys().copied().collect();
        open.sort_unstable();
        for request in open {
            self.close_request(request);
        }
        self.violations
    }
}
