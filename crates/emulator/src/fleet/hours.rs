//! Many hours of a fleet in virtual time, on the modules that the processes run: members and keepers with clocks of
//! their own rates, messages that are late, lost or overtake, members that stop, die and come back, leaders that change.
//!
//! The keepers are one agreed log here, as Raft gives it; what Raft itself does is for the tests with nodes and for the
//! rig.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coordination::{
    ClusterView, Command, CommandOutcome, CommandRejection, FencingToken, InjectedBug, LeaderState,
    LeaseClient, LeaseId, SessionId, StateMachine, Timing,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rayon::prelude::*;
use serde::Serialize;

const SECOND: u64 = 1_000_000;
const MEMBERS: usize = 8;
/// How often an owner acts, towards every other member.
const ROUND: u64 = SECOND / 5;
/// How often the leading keeper looks at what is due.
const TICK: u64 = 40_000;

/// What many hours gave.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Hours {
    /// Virtual hours.
    pub hours: f64,
    /// Events.
    pub events: u64,
    /// Terms granted.
    pub terms: u64,
    /// Effects taken.
    pub taken: u64,
    /// Effects refused.
    pub refused: u64,
    /// Faults: members stopped, killed and cut off, and leaders changed.
    pub faults: u64,
    /// Effects of an ended term that were taken.
    pub late: u64,
    /// Looks that let an owner act when a later term was granted.
    pub doubly_owned: u64,
    /// Tokens that went back at a receiver.
    pub backwards: u64,
}

impl Hours {
    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.late + self.doubly_owned + self.backwards > 0
    }

    fn and(self, other: Hours) -> Hours {
        Hours {
            hours: self.hours + other.hours,
            events: self.events + other.events,
            terms: self.terms + other.terms,
            taken: self.taken + other.taken,
            refused: self.refused + other.refused,
            faults: self.faults + other.faults,
            late: self.late + other.late,
            doubly_owned: self.doubly_owned + other.doubly_owned,
            backwards: self.backwards + other.backwards,
        }
    }
}

/// Lets fleets live for so many hours, an hour for each seed. `skew_ppm` is by how much clocks really differ.
pub fn live(hours: u64, seed: u64, skew_ppm: u64, flaw: Option<InjectedBug>) -> Hours {
    let one = |hour: u64| {
        World::new(seed ^ hour.wrapping_mul(0x9e37_79b9_7f4a_7c15), skew_ppm, flaw).run(3_600 * SECOND)
    };
    (0..hours).into_par_iter().map(one).reduce(Hours::default, Hours::and)
}

/// A clock with a start and a rate of its own.
#[derive(Debug, Clone, Copy)]
struct Clock {
    start: u64,
    rate: f64,
}

impl Clock {
    fn at(self, time: u64) -> u64 {
        self.start + (time as f64 * self.rate) as u64
    }
}

struct Member {
    clock: Clock,
    holder: LeaseClient,
    boot: u64,
    /// It runs from here on; what reaches it before waits.
    resumes: u64,
    /// Messages to and from keepers before this are lost.
    cut: u64,
    /// Counts processes of this member: what was meant for an earlier one is lost.
    life: u64,
    /// The highest token taken in this life.
    highest: FencingToken,
    asked: u64,
}

enum What {
    Ask(usize),
    Keepers { from: usize, asked: u64, life: u64, session: Option<SessionId>, seen: u64 },
    Answer { to: usize, asked: u64, life: u64, said: Said },
    News { to: usize, life: u64, session: SessionId, view: ClusterView },
    Round(usize),
    Effect { to: usize, token: FencingToken },
    Tick,
    Fault,
}

enum Said {
    Joined(SessionId, u64, ClusterView),
    Renewed(SessionId, Option<ClusterView>),
    Gone,
}

struct Event {
    at: u64,
    order: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct World {
    random: Pcg64,
    times: Timing,
    skew: f64,
    flaw: Option<InjectedBug>,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Event>>,
    state: StateMachine,
    warden: LeaderState,
    keeper: Clock,
    /// No keeper leads before this.
    leads: u64,
    index: u64,
    members: Vec<Member>,
    duty: LeaseId,
    sums: Hours,
}

impl World {
    fn new(seed: u64, skew_ppm: u64, flaw: Option<InjectedBug>) -> World {
        let mut random = Pcg64::seed_from_u64(seed);
        let times = Timing { short_session_limit: 3 * SECOND, ..Timing::default() };
        let skew = skew_ppm as f64 / 1e6;
        let state = StateMachine::new(1);
        let mut clock = || Clock {
            start: random.random_range(0..1 << 40),
            rate: 1.0 + random.random_range(-skew..=skew),
        };
        let keeper = clock();
        let member = |at: usize| Member {
            clock: Clock { start: 0, rate: 1.0 },
            holder: LeaseClient::new(times).with_injected_bug(flaw),
            boot: at as u64,
            resumes: 0,
            cut: 0,
            life: 0,
            highest: FencingToken(0),
            asked: 0,
        };
        let members: Vec<Member> = (0..MEMBERS).map(|at| Member { clock: clock(), ..member(at) }).collect();
        let warden = LeaderState::new(times, keeper.at(0), &state);
        let mut world = World {
            random,
            times,
            skew,
            flaw,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            state,
            warden,
            keeper,
            leads: 0,
            index: 0,
            members,
            duty: LeaseId::fleet("pulse"),
            sums: Hours::default(),
        };
        for at in 0..MEMBERS {
            let start = world.random.random_range(0..SECOND / 2);
            world.put(start, What::Ask(at));
            world.put(start + 1_000, What::Round(at));
        }
        world.put(TICK, What::Tick);
        world.put(3 * SECOND, What::Fault);
        world
    }

    fn put(&mut self, after: u64, what: What) {
        self.order += 1;
        self.queue.push(Reverse(Event { at: self.now + after, order: self.order, what }));
    }

    /// How long a message is on its way: mostly short, now and then very long.
    fn way(&mut self) -> u64 {
        match self.random.random_range(0..1_000) {
            0..=2 => self.random.random_range(SECOND..5 * SECOND),
            3..=30 => self.random.random_range(20_000..SECOND),
            _ => self.random.random_range(200..4_000),
        }
    }

    fn run(mut self, until: u64) -> Hours {
        while let Some(Reverse(event)) = self.queue.pop() {
            if event.at > until {
                break;
            }
            self.now = event.at;
            self.sums.events += 1;
            self.happen(event.what);
        }
        self.sums.hours = until as f64 / (3_600 * SECOND) as f64;
        self.sums
    }

    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        let before = self.state.lease_revision();
        let outcome = self.state.apply(self.index, command);
        let now = self.keeper.at(self.now);
        self.warden.on_entries_applied(now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.warden.proposal_rejected(command);
        }
        self.sums.terms += u64::from(matches!(outcome, CommandOutcome::LeaseGranted(..)));
        if self.state.lease_revision() != before {
            for to in 0..MEMBERS {
                let Some(session) = self.members[to].holder.last_session() else { continue };
                if self.now >= self.members[to].cut {
                    let (life, view, way) = (self.members[to].life, self.state.view(), self.way());
                    self.put(way, What::News { to, life, session: session.id, view });
                }
            }
        }
        outcome
    }

    fn newest(&self) -> FencingToken {
        FencingToken(self.state.next_token().0 - 1)
    }

    fn happen(&mut self, what: What) {
        // Whoever is stopped gets to it when it goes on; what a keeper does goes on without it.
        let whom = match &what {
            What::Ask(at) | What::Round(at) => Some(*at),
            What::Answer { to, .. } | What::News { to, .. } | What::Effect { to, .. } => Some(*to),
            What::Keepers { .. } | What::Tick | What::Fault => None,
        };
        if let Some(wait) =
            whom.map(|at| self.members[at].resumes.saturating_sub(self.now)).filter(|wait| *wait > 0)
        {
            // All that waited comes at once, in any order.
            let wait = wait + self.random.random_range(0..1_000);
            return self.put(wait, what);
        }
        match what {
            What::Ask(at) => {
                self.ask(at);
                self.put(self.times.renewal_interval, What::Ask(at));
            }
            What::Keepers { from, asked, life, session, seen } => {
                self.keepers((from, asked, life), session, seen)
            }
            What::Answer { to, asked, life, said } => {
                let member = &mut self.members[to];
                let now = member.clock.at(self.now);
                // An answer that took longer than a call may was given up, as was one of an earlier process.
                let late = asked != member.asked || now.saturating_sub(asked) > self.times.call_timeout;
                let given_up = late && self.flaw != Some(InjectedBug::LeaseFromResponse);
                if life != member.life || given_up {
                    return;
                }
                match said {
                    Said::Joined(id, incarnation, view) => {
                        member.holder.on_session_opened(id, incarnation, asked, now, view)
                    }
                    Said::Renewed(id, view) => member.holder.on_session_renewed(id, asked, now, view),
                    Said::Gone => member.holder.on_session_ended(),
                }
            }
            What::News { to, life, session, view } => {
                if life == self.members[to].life && self.members[to].holder.on_view_changed(session, view) {
                    self.ask(to);
                }
            }
            What::Round(at) => {
                self.round(at);
                self.put(ROUND, What::Round(at));
            }
            What::Effect { to, token } => {
                let newest = self.newest();
                let member = &mut self.members[to];
                let now = member.clock.at(self.now);
                if member.holder.accept_effect(&self.duty, token, now).is_ok() {
                    self.sums.taken += 1;
                    self.sums.late += u64::from(token < newest);
                    self.sums.backwards += u64::from(token < member.highest);
                    member.highest = member.highest.max(token);
                } else {
                    self.sums.refused += 1;
                }
            }
            What::Tick => {
                self.put(TICK, What::Tick);
                if self.now >= self.leads {
                    for command in self.warden.due_commands(self.keeper.at(self.now), &self.state) {
                        self.apply(&command);
                    }
                }
            }
            What::Fault => self.fault(),
        }
    }

    fn ask(&mut self, from: usize) {
        let member = &mut self.members[from];
        let asked = member.clock.at(self.now);
        member.asked = asked;
        let session = member.holder.active_session(asked).map(|session| session.id);
        let (life, seen, lost) = (member.life, member.holder.applied_revision(), self.now < member.cut);
        if !lost && self.random.random_range(0..100) != 0 {
            let way = self.way();
            self.put(way, What::Keepers { from, asked, life, session, seen });
        }
    }

    fn keepers(&mut self, (from, asked, life): (usize, u64, u64), session: Option<SessionId>, seen: u64) {
        if self.now < self.leads {
            return;
        }
        let now = self.keeper.at(self.now);
        let said = match session {
            Some(id) => match self.warden.renew_session(id, seen, now, &self.state) {
                Ok(()) => Said::Renewed(id, (self.state.lease_revision() > seen).then(|| self.state.view())),
                Err(_) => Said::Gone,
            },
            None => {
                let name = format!("m{from}");
                let short = self.warden.is_short_session(&name, now, &self.state);
                // The process that asked may be gone by now; its question still arrives.
                let boot = self.members[from].boot - (self.members[from].life - life) * MEMBERS as u64;
                let offers = vec![self.duty.clone()];
                let (zone, address) = (String::new(), String::new());
                match self.apply(&Command::OpenSession {
                    name,
                    boot_id: boot,
                    zone,
                    address,
                    eligible_leases: offers,
                    short_lived: short,
                }) {
                    CommandOutcome::SessionOpened(id, incarnation) => {
                        let now = self.keeper.at(self.now);
                        match self.warden.renew_session(id, 0, now, &self.state) {
                            Ok(()) => Said::Joined(id, incarnation, self.state.view()),
                            Err(_) => return,
                        }
                    }
                    CommandOutcome::Rejected(CommandRejection::Superseded { .. }) => Said::Gone,
                    _ => return,
                }
            }
        };
        if self.now >= self.members[from].cut && self.random.random_range(0..100) != 0 {
            let way = self.way();
            self.put(way, What::Answer { to: from, asked, life, said });
        }
    }

    fn round(&mut self, at: usize) {
        let newest = self.newest();
        let member = &self.members[at];
        let now = member.clock.at(self.now);
        let Some((duty, token)) = member.holder.held_leases(now).into_iter().next() else { return };
        for to in (0..MEMBERS).filter(|to| *to != at) {
            if self.members[at].holder.holds_lease(&duty, token, now) {
                self.sums.doubly_owned += u64::from(token < newest);
                // It may stop between the look and the write, and the way may be long.
                let way = self.way();
                self.put(way, What::Effect { to, token });
            }
        }
    }

    fn fault(&mut self) {
        let next = self.random.random_range(SECOND / 2..8 * SECOND);
        self.put(next, What::Fault);
        self.sums.faults += 1;
        let owner = self.state.leases().get(&self.duty).and_then(|duty| duty.holder);
        let name = owner
            .and_then(|owner| self.state.sessions().get(&owner.session))
            .map(|session| session.name.clone());
        let owner =
            name.and_then(|name| name.strip_prefix('m').and_then(|number| number.parse::<usize>().ok()));
        let any = self.random.random_range(0..MEMBERS);
        let whom = if self.random.random_bool(0.6) { owner.unwrap_or(any) } else { any };
        let long = match self.random.random_range(0..10) {
            0..=3 => self.random.random_range(SECOND / 10..2 * SECOND),
            4..=8 => self.random.random_range(SECOND..4 * SECOND),
            _ => self.random.random_range(4 * SECOND..30 * SECOND),
        };
        match self.random.random_range(0..4) {
            0 => self.members[whom].resumes = self.now + long,
            1 => self.members[whom].cut = self.now + long,
            2 => {
                let member = &mut self.members[whom];
                member.life += 1;
                member.boot += MEMBERS as u64;
                member.holder = LeaseClient::new(self.times).with_injected_bug(self.flaw);
                member.highest = FencingToken(0);
                member.resumes = self.now + long;
            }
            _ => {
                // Another keeper leads after a while, with a clock of its own.
                self.leads = self.now + long.min(3 * SECOND);
                let rate = 1.0 + self.random.random_range(-self.skew..=self.skew);
                self.keeper = Clock { start: self.random.random_range(0..1 << 40), rate };
                self.warden = LeaderState::new(self.times, self.keeper.at(self.leads), &self.state);
            }
        }
    }
}
