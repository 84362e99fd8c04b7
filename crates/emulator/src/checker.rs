//! Holds dispatchers to the four rules, by what the stand-ins saw: clients their answers, workers the jobs that
//! reached them, discovery what it told. A dispatcher's own word counts for nothing here.

use dispatch_core::api::{Idempotency, KeyScope};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::day::Micros;

/// Breaches of the four rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breaches {
    /// New work at a worker later than the grace after its drain was told.
    pub drain: u64,
    /// A request that may have run sent on where its class does not allow it, or refused.
    pub dup: u64,
    /// A request taken that got no final answer in time, or more than one.
    pub lost: u64,
    /// A cold worker pushed over by dispatchers that knew of its start.
    pub failback: u64,
}

impl Breaches {
    /// All of them.
    pub fn total(self) -> u64 {
        self.drain + self.dup + self.lost + self.failback
    }

    /// Adds others.
    pub fn add(&mut self, other: Breaches) {
        self.drain += other.drain;
        self.dup += other.dup;
        self.lost += other.lost;
        self.failback += other.failback;
    }
}

/// What the rules say in figures.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// New work ends this long after a drain was told.
    pub drain_grace: Micros,
    /// Answers come this long after the deadline at the latest.
    pub answer_slack: Micros,
}

/// A dispatcher's life, from one start to its end; what one life was told another does not know.
pub type Life = u32;

/// A send of a request, as its worker saw it.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Micros,
    zone: u32,
    rack: u32,
    /// It never ran, and the dispatcher was told so.
    never_ran: bool,
}

#[derive(Debug)]
struct Taken {
    repeat: Idempotency,
    window: Micros,
    deadline: Micros,
    answers: u32,
    sent: Vec<Sent>,
    /// The client left or the dispatcher was killed: no answer is owed.
    excused: bool,
}

/// The records, and the breaches found in them so far.
#[derive(Debug)]
pub struct Checker {
    limits: Limits,
    told: FxHashMap<(Life, u64), Micros>,
    taken: FxHashMap<u64, Taken>,
    breaches: Breaches,
}

impl Checker {
    /// A checker with no records.
    pub fn new(limits: Limits) -> Checker {
        Checker {
            limits,
            told: FxHashMap::default(),
            taken: FxHashMap::default(),
            breaches: Breaches::default(),
        }
    }

    /// Discovery told a dispatcher that a worker drains or is gone.
    pub fn told_drain(&mut self, life: Life, worker: u64, now: Micros) {
        self.told.entry((life, worker)).or_insert(now);
    }

    /// A client handed in a request, and a dispatcher took it.
    pub fn took(&mut self, request: u64, repeat: Idempotency, window: Micros, deadline: Micros) {
        let taken = Taken { repeat, window, deadline, answers: 0, sent: Vec::new(), excused: false };
        self.taken.insert(request, taken);
    }

    /// A dispatcher sent a request to a worker; returns the number of the send.
    pub fn sent(
        &mut self,
        life: Life,
        request: u64,
        worker: u64,
        (zone, rack): (u32, u32),
        now: Micros,
    ) -> usize {
        if self.told.get(&(life, worker)).is_some_and(|told| now > told + self.limits.drain_grace) {
            self.breaches.drain += 1;
        }
        let Some(taken) = self.taken.get_mut(&request) else { return 0 };
        let ran = |s: &&Sent| !s.never_ran;
        let allowed = match taken.repeat {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => !taken.sent.iter().any(|s| ran(&s)),
            Idempotency::WithKey(group) => taken.sent.iter().filter(ran).all(|s| {
                now <= s.at + taken.window
                    && match group {
                        KeyScope::All => true,
                        KeyScope::Zone => s.zone == zone,
                        KeyScope::Cell => s.rack == rack,
                    }
            }),
        };
        // A request is sent on after its answer only by mistake.
        if !allowed {
            self.breaches.dup += 1;
        } else if taken.answers > 0 {
            self.breaches.lost += 1;
        }
        taken.sent.push(Sent { at: now, zone, rack, never_ran: false });
        taken.sent.len() - 1
    }

    /// A dispatcher was shown that a send never ran.
    pub fn never_ran(&mut self, request: u64, send: usize) {
        if let Some(sent) = self.taken.get_mut(&request).and_then(|taken| taken.sent.get_mut(send)) {
            sent.never_ran = true;
        }
    }

    /// A client got a final answer.
    pub fn answered(&mut self, request: u64, refused: bool, now: Micros) {
        let Some(taken) = self.taken.get_mut(&request) else { return };
        taken.answers += 1;
        let late = now > taken.deadline + self.limits.answer_slack;
        if (taken.answers > 1 || late) && !taken.excused {
            self.breaches.lost += 1;
        }
        let may_have_run = taken.sent.iter().any(|s| !s.never_ran);
        let harmless = matches!(taken.repeat, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All));
        if refused && may_have_run && !harmless {
            self.breaches.dup += 1;
        }
    }

    /// No answer is owed to a request any more: its client left, or its dispatcher was killed.
    pub fn excuse(&mut self, request: u64) {
        if let Some(taken) = self.taken.get_mut(&request) {
            taken.excused = true;
        }
    }

    /// A request is over; its records are of no more use. One without an answer is lost.
    pub fn close(&mut self, request: u64) {
        if let Some(taken) = self.taken.remove(&request) {
            if taken.answers == 0 && !taken.excused {
                self.breaches.lost += 1;
            }
        }
    }

    /// A cold worker fell over; dispatchers that knew of its start had sent two thirds of what it got.
    pub fn fell_over(&mut self, by_informed: bool) {
        self.breaches.failback += u64::from(by_informed);
    }

    /// What was found; requests that are still open count as lost.
    pub fn finish(mut self) -> Breaches {
        let mut open: Vec<u64> = self.taken.keys().copied().collect();
        open.sort_unstable();
        open.into_iter().for_each(|request| self.close(request));
        self.breaches
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CELL: Idempotency = Idempotency::WithKey(KeyScope::Cell);

    fn checker() -> Checker {
        let mut checker = Checker::new(Limits { drain_grace: 500, answer_slack: 50 });
        checker.took(1, CELL, 1000, 5000);
        checker
    }

    /// Each rule is shown to fail on a dispatcher that breaks it, and to pass just before.
    #[test]
    fn a_send_after_the_grace_is_found() {
        let mut checker = checker();
        checker.told_drain(0, 7, 100);
        checker.sent(0, 1, 7, (0, 0), 600);
        checker.answered(1, false, 700);
        assert_eq!(checker.breaches, Breaches::default());
        checker.took(2, Idempotency::Idempotent, 0, 5000);
        checker.sent(0, 2, 7, (0, 0), 601);
        // Another life was not told.
        checker.sent(1, 2, 7, (0, 0), 9000);
        checker.answered(2, false, 700);
        assert_eq!(checker.finish(), Breaches { drain: 1, ..Breaches::default() });
    }

    #[test]
    fn a_keyed_request_must_stay_on_its_rack_and_within_its_window() {
        for (rack, at, dup) in [(3, 900, 0), (4, 900, 1), (3, 1101, 1)] {
            let mut checker = checker();
            checker.sent(0, 1, 7, (0, 3), 100);
            checker.sent(0, 1, 8, (0, rack), at);
            checker.answered(1, false, 2000);
            assert_eq!(checker.finish().dup, dup, "rack {rack} at {at}");
        }
    }

    #[test]
    fn what_never_ran_may_go_anywhere_and_be_refused() {
        for (shown, dup) in [(true, 0), (false, 2)] {
            let mut checker = checker();
            let send = checker.sent(0, 1, 7, (0, 3), 100);
            if shown {
                checker.never_ran(1, send);
            }
            let send = checker.sent(0, 1, 8, (0, 4), 200);
            if shown {
                checker.never_ran(1, send);
            }
            checker.answered(1, true, 300);
            assert_eq!(checker.finish().dup, dup);
        }
    }

    #[test]
    fn no_answer_a_late_one_and_two_are_lost() {
        assert_eq!(checker().finish().lost, 1);
        for (answers, lost) in [(vec![5050], 0), (vec![5051], 1), (vec![100, 101], 1)] {
            let mut checker = checker();
            answers.iter().for_each(|at| checker.answered(1, false, *at));
            assert_eq!(checker.finish().lost, lost, "{answers:?}");
        }
        let mut gone = checker();
        gone.excuse(1);
        assert_eq!(gone.finish().lost, 0);
    }
}
