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

/// A send of a request, as its worker saw it.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    sent_at: Micros,
    zone: u32,
    rack: u32,
    /// It never ran, and the dispatcher was told so.
    never_ran: bool,
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

/// The records, and the breaches found in them so far.
#[derive(Debug)]
pub struct RuleChecker {
    limits: RuleLimits,
    drain_notices: FxHashMap<(Incarnation, u64), Micros>,
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
        self.drain_notices.entry((life, worker)).or_insert(now);
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

    /// A dispatcher sent a request to a worker; returns the number of the send.
    pub fn record_attempt(
        &mut self,
        life: Incarnation,
        request: u64,
        worker: u64,
        (zone, rack): (u32, u32),
        now: Micros,
    ) -> usize {
        if self.drain_notices.get(&(life, worker)).is_some_and(|told| now > told + self.limits.drain_grace) {
            self.violations.drain += 1;
        }
        let Some(taken) = self.accepted.get_mut(&request) else { return 0 };
        let ran = |s: &&SentAttempt| !s.never_ran;
        let allowed = match taken.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => !taken.attempts.iter().any(|s| ran(&s)),
            Idempotency::WithKey(group) => taken.attempts.iter().filter(ran).all(|s| {
                now <= s.sent_at + taken.retry_window
                    && match group {
                        KeyScope::All => true,
                        KeyScope::Zone => s.zone == zone,
                        KeyScope::Cell => s.rack == rack,
                    }
            }),
        };
        // A request is sent on after its answer only by mistake.
        if !allowed {
            self.violations.dup += 1;
        } else if taken.answer_count > 0 {
            self.violations.lost += 1;
        }
        taken.attempts.push(SentAttempt { sent_at: now, zone, rack, never_ran: false });
        taken.attempts.len() - 1
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
        let may_have_run = taken.attempts.iter().any(|s| !s.never_ran);
        let harmless =
            matches!(taken.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All));
        if refused && may_have_run && !harmless {
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

    /// What was found; requests that are still open count as lost.
    pub fn finish(mut self) -> RuleViolations {
        let mut open: Vec<u64> = self.accepted.keys().copied().collect();
        open.sort_unstable();
        open.into_iter().for_each(|request| self.close_request(request));
        self.violations
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CELL: Idempotency = Idempotency::WithKey(KeyScope::Cell);

    fn checker() -> RuleChecker {
        let mut checker = RuleChecker::new(RuleLimits { drain_grace: 500, answer_slack: 50 });
        checker.record_accepted(1, CELL, 1000, 5000);
        checker
    }

    /// Each rule is shown to fail on a dispatcher that breaks it, and to pass just before.
    #[test]
    fn a_send_after_the_grace_is_found() {
        let mut checker = checker();
        checker.record_drain_notice(0, 7, 100);
        checker.record_attempt(0, 1, 7, (0, 0), 600);
        checker.record_answer(1, false, 700);
        assert_eq!(checker.violations, RuleViolations::default());
        checker.record_accepted(2, Idempotency::Idempotent, 0, 5000);
        checker.record_attempt(0, 2, 7, (0, 0), 601);
        // Another life was not told.
        checker.record_attempt(1, 2, 7, (0, 0), 9000);
        checker.record_answer(2, false, 700);
        assert_eq!(checker.finish(), RuleViolations { drain: 1, ..RuleViolations::default() });
    }

    #[test]
    fn a_keyed_request_must_stay_on_its_rack_and_within_its_window() {
        for (rack, at, dup) in [(3, 900, 0), (4, 900, 1), (3, 1101, 1)] {
            let mut checker = checker();
            checker.record_attempt(0, 1, 7, (0, 3), 100);
            checker.record_attempt(0, 1, 8, (0, rack), at);
            checker.record_answer(1, false, 2000);
            assert_eq!(checker.finish().dup, dup, "rack {rack} at {at}");
        }
    }

    #[test]
    fn what_never_ran_may_go_anywhere_and_be_refused() {
        for (shown, dup) in [(true, 0), (false, 2)] {
            let mut checker = checker();
            let send = checker.record_attempt(0, 1, 7, (0, 3), 100);
            if shown {
                checker.record_never_ran(1, send);
            }
            let send = checker.record_attempt(0, 1, 8, (0, 4), 200);
            if shown {
                checker.record_never_ran(1, send);
            }
            checker.record_answer(1, true, 300);
            assert_eq!(checker.finish().dup, dup);
        }
    }

    #[test]
    fn no_answer_a_late_one_and_two_are_lost() {
        assert_eq!(checker().finish().lost, 1);
        for (answers, lost) in [(vec![5050], 0), (vec![5051], 1), (vec![100, 101], 1)] {
            let mut checker = checker();
            answers.iter().for_each(|at| checker.record_answer(1, false, *at));
            assert_eq!(checker.finish().lost, lost, "{answers:?}");
        }
        let mut gone = checker();
        gone.waive_answer(1);
        assert_eq!(gone.finish().lost, 0);
    }
}
