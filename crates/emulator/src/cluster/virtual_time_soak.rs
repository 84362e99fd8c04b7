//! Many hours of a fleet in virtual time, on the modules that the processes run: members and coordinators with clocks of
//! their own rates, messages that are late, lost or overtake, members that stop, die and come back, leaders that change.
//!
//! The coordinators are one agreed log here, as Raft gives it; what Raft itself does is for the tests with nodes and for the
//! harness.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coordination::{
    ClusterView, Command, CommandOutcome, CommandRejection, FencingToken, HeldLease, InjectedBug,
    LeaderState, LeaseClient, LeaseId, SessionId, StateMachine, Timing,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rayon::prelude::*;
use serde::Serialize;

const SECOND: u64 = 1_000_000;
const MEMBERS: usize = 8;
/// How often an holder acts, towards every other member.
const ACT_INTERVAL: u64 = SECOND / 5;
/// How often the leading coordinator looks at what is due.
const TICK_INTERVAL: u64 = 40_000;

/// What many hours gave.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SoakResult {
    /// Virtual hours.
    pub hours: f64,
    /// Events.
    pub events: u64,
    /// Terms granted.
    #[serde(rename = "terms")]
    pub lease_terms: u64,
    /// Effects taken.
    #[serde(rename = "taken")]
    pub effects_accepted: u64,
    /// Effects refused.
    #[serde(rename = "refused")]
    pub effects_rejected: u64,
    /// Faults: members stopped, killed and cut off, and leaders changed.
    pub faults: u64,
    /// Effects of an ended term that were taken.
    #[serde(rename = "late")]
    pub late_effects: u64,
    /// Looks that let an holder act when a later term was granted.
    #[serde(rename = "doubly_owned")]
    pub overlapping_holders: u64,
    /// Tokens that went back at a receiver.
    #[serde(rename = "backwards")]
    pub decreasing_tokens: u64,
}

/// As the command line prints it; the words are those of the JSON form.
impl std::fmt::Display for SoakResult {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hours")
            .field("hours", &self.hours)
            .field("events", &self.events)
            .field("terms", &self.lease_terms)
            .field("taken", &self.effects_accepted)
            .field("refused", &self.effects_rejected)
            .field("faults", &self.faults)
            .field("late", &self.late_effects)
            .field("doubly_owned", &self.overlapping_holders)
            .field("backwards", &self.decreasing_tokens)
            .finish()
    }
}

impl SoakResult {
    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.late_effects + self.overlapping_holders + self.decreasing_tokens > 0
    }

    fn merge(self, other: SoakResult) -> SoakResult {
        SoakResult {
            hours: self.hours + other.hours,
            events: self.events + other.events,
            lease_terms: self.lease_terms + other.lease_terms,
            effects_accepted: self.effects_accepted + other.effects_accepted,
            effects_rejected: self.effects_rejected + other.effects_rejected,
            faults: self.faults + other.faults,
            late_effects: self.late_effects + other.late_effects,
            overlapping_holders: self.overlapping_holders + other.overlapping_holders,
            decreasing_tokens: self.decreasing_tokens + other.decreasing_tokens,
        }
    }
}

/// Lets fleets live for so many hours, an hour for each seed. `skew_ppm` is by how much clocks really differ.
pub fn run_soak(hours: u64, seed: u64, skew_ppm: u64, flaw: Option<InjectedBug>) -> SoakResult {
    let one = |hour: u64| {
        Simulation::new(seed ^ hour.wrapping_mul(0x9e37_79b9_7f4a_7c15), skew_ppm, flaw).run(3_600 * SECOND)
    };
    (0..hours).into_par_iter().map(one).reduce(SoakResult::default, SoakResult::merge)
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
    resumes_at: u64,
    /// Messages to and from coordinators before this are lost.
    disconnected_until: u64,
    /// Counts processes of this member: what was meant for an earlier one is lost.
    incarnation: u64,
    /// The highest token taken in this life.
    highest_token: FencingToken,
    last_renewal: u64,
}

enum EventKind {
    SendRenewal(usize),
    RenewalArrives { from: usize, asked: u64, life: u64, session: Option<SessionId>, seen: u64 },
    ReplyArrives { to: usize, asked: u64, life: u64, said: Reply },
    ViewArrives { to: usize, life: u64, session: SessionId, view: ClusterView },
    Act(usize),
    EffectArrives { to: usize, token: FencingToken },
    Tick,
    Fault,
}

enum Reply {
    Joined(SessionId, u64, ClusterView),
    Renewed(SessionId, Option<ClusterView>),
    SessionExpired,
}

struct Event {
    at: u64,
    order: u64,
    kind: EventKind,
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

struct Simulation {
    random: Pcg64,
    times: Timing,
    skew: f64,
    flaw: Option<InjectedBug>,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Event>>,
    state: StateMachine,
    warden: LeaderState,
    leader_clock: Clock,
    /// No coordinator leads before this.
    leader_since: u64,
    index: u64,
    members: Vec<Member>,
    duty: LeaseId,
    result: SoakResult,
}

impl Simulation {
    fn new(seed: u64, skew_ppm: u64, flaw: Option<InjectedBug>) -> Simulation {
        let mut random = Pcg64::seed_from_u64(seed);
        let times = Timing { short_session_limit: 3 * SECOND, ..Timing::default() };
        let skew = skew_ppm as f64 / 1e6;
        let state = StateMachine::new(1);
        let mut clock = || Clock {
            start: random.random_range(0..1 << 40),
            rate: 1.0 + random.random_range(-skew..=skew),
        };
        let coordinator = clock();
        let member = |at: usize| Member {
            clock: Clock { start: 0, rate: 1.0 },
            holder: LeaseClient::new(times).with_injected_bug(flaw),
            boot: at as u64,
            resumes_at: 0,
            disconnected_until: 0,
            incarnation: 0,
            highest_token: FencingToken(0),
            last_renewal: 0,
        };
        let members: Vec<Member> = (0..MEMBERS).map(|at| Member { clock: clock(), ..member(at) }).collect();
        let warden = LeaderState::new(times, coordinator.at(0), &state);
        let mut world = Simulation {
            random,
            times,
            skew,
            flaw,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            state,
            warden,
            leader_clock: coordinator,
            leader_since: 0,
            index: 0,
            members,
            duty: LeaseId::fleet("pulse"),
            result: SoakResult::default(),
        };
        for at in 0..MEMBERS {
            let start = world.random.random_range(0..SECOND / 2);
            world.schedule(start, EventKind::SendRenewal(at));
            world.schedule(start + 1_000, EventKind::Act(at));
        }
        world.schedule(TICK_INTERVAL, EventKind::Tick);
        world.schedule(3 * SECOND, EventKind::Fault);
        world
    }

    fn schedule(&mut self, after: u64, what: EventKind) {
        self.order += 1;
        self.queue.push(Reverse(Event { at: self.now + after, order: self.order, kind: what }));
    }

    /// How long a message is on its way: mostly short, now and then very long.
    fn network_delay(&mut self) -> u64 {
        match self.random.random_range(0..1_000) {
            0..=2 => self.random.random_range(SECOND..5 * SECOND),
            3..=30 => self.random.random_range(20_000..SECOND),
            _ => self.random.random_range(200..4_000),
        }
    }

    fn run(mut self, until: u64) -> SoakResult {
        while let Some(Reverse(event)) = self.queue.pop() {
            if event.at > until {
                break;
            }
            self.now = event.at;
            self.result.events += 1;
            self.handle(event.kind);
        }
        self.result.hours = until as f64 / (3_600 * SECOND) as f64;
        self.result
    }

    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        let before = self.state.lease_revision();
        let outcome = self.state.apply(self.index, command);
        let now = self.leader_clock.at(self.now);
        self.warden.on_entries_applied(now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.warden.proposal_rejected(command);
        }
        self.result.lease_terms += u64::from(matches!(outcome, CommandOutcome::LeaseGranted { .. }));
        if self.state.lease_revision() != before {
            for to in 0..MEMBERS {
                let Some(session) = self.members[to].holder.last_session() else { continue };
                if self.now >= self.members[to].disconnected_until {
                    let (life, view, way) =
                        (self.members[to].incarnation, self.state.view(), self.network_delay());
                    self.schedule(way, EventKind::ViewArrives { to, life, session: session.id, view });
                }
            }
        }
        outcome
    }

    fn newest(&self) -> FencingToken {
        FencingToken(self.state.next_token().0 - 1)
    }

    fn handle(&mut self, what: EventKind) {
        // A paused member gets to it when it goes on; what a coordinator does goes on without it.
        let whom = match &what {
            EventKind::SendRenewal(at) | EventKind::Act(at) => Some(*at),
            EventKind::ReplyArrives { to, .. }
            | EventKind::ViewArrives { to, .. }
            | EventKind::EffectArrives { to, .. } => Some(*to),
            EventKind::RenewalArrives { .. } | EventKind::Tick | EventKind::Fault => None,
        };
        if let Some(wait) =
            whom.map(|at| self.members[at].resumes_at.saturating_sub(self.now)).filter(|wait| *wait > 0)
        {
            // All that waited comes at once, in any order.
            let wait = wait + self.random.random_range(0..1_000);
            return self.schedule(wait, what);
        }
        match what {
            EventKind::SendRenewal(at) => {
                self.send_renewal(at);
                self.schedule(self.times.renewal_interval, EventKind::SendRenewal(at));
            }
            EventKind::RenewalArrives { from, asked, life, session, seen } => {
                self.handle_renewal((from, asked, life), session, seen)
            }
            EventKind::ReplyArrives { to, asked, life, said } => self.on_reply(to, (asked, life), said),
            EventKind::ViewArrives { to, life, session, view } => {
                if life == self.members[to].incarnation
                    && self.members[to].holder.on_view_changed(session, view)
                {
                    self.send_renewal(to);
                }
            }
            EventKind::Act(at) => {
                self.act(at);
                self.schedule(ACT_INTERVAL, EventKind::Act(at));
            }
            EventKind::EffectArrives { to, token } => self.on_effect(to, token),
            EventKind::Tick => {
                self.schedule(TICK_INTERVAL, EventKind::Tick);
                if self.now >= self.leader_since {
                    for command in self.warden.due_commands(self.leader_clock.at(self.now), &self.state) {
                        self.apply(&command);
                    }
                }
            }
            EventKind::Fault => self.inject_fault(),
        }
    }

    fn on_reply(&mut self, to: usize, (asked, incarnation): (u64, u64), reply: Reply) {
        let member = &mut self.members[to];
        let now = member.clock.at(self.now);
        // An answer that took longer than a call may was given up, as was one of an earlier process.
        let late = asked != member.last_renewal || now.saturating_sub(asked) > self.times.call_timeout;
        let given_up = late && self.flaw != Some(InjectedBug::LeaseFromResponse);
        if incarnation != member.incarnation || given_up {
            return;
        }
        match reply {
            Reply::Joined(id, incarnation, view) => {
                member.holder.on_session_opened(id, incarnation, asked, now, view)
            }
            Reply::Renewed(id, view) => member.holder.on_session_renewed(id, asked, now, view),
            Reply::SessionExpired => member.holder.on_session_ended(),
        }
    }

    fn on_effect(&mut self, to: usize, token: FencingToken) {
        let newest = self.newest();
        let member = &mut self.members[to];
        let now = member.clock.at(self.now);
        if member.holder.accept_effect(&self.duty, token, now).is_ok() {
            self.result.effects_accepted += 1;
            self.result.late_effects += u64::from(token < newest);
            self.result.decreasing_tokens += u64::from(token < member.highest_token);
            member.highest_token = member.highest_token.max(token);
        } else {
            self.result.effects_rejected += 1;
        }
    }

    fn send_renewal(&mut self, from: usize) {
        let member = &mut self.members[from];
        let asked = member.clock.at(self.now);
        member.last_renewal = asked;
        let session = member.holder.active_session(asked).map(|session| session.id);
        let (life, seen, lost) =
            (member.incarnation, member.holder.applied_revision(), self.now < member.disconnected_until);
        if !lost && self.random.random_range(0..100) != 0 {
            let way = self.network_delay();
            self.schedule(way, EventKind::RenewalArrives { from, asked, life, session, seen });
        }
    }

    fn handle_renewal(
        &mut self,
        (from, asked, life): (usize, u64, u64),
        session: Option<SessionId>,
        seen: u64,
    ) {
        if self.now < self.leader_since {
            return;
        }
        let now = self.leader_clock.at(self.now);
        let said = match session {
            Some(id) => match self.warden.renew_session(id, seen, now, &self.state) {
                Ok(()) => Reply::Renewed(id, (self.state.lease_revision() > seen).then(|| self.state.view())),
                Err(_) => Reply::SessionExpired,
            },
            None => {
                let name = format!("m{from}");
                let short = self.warden.is_short_session(&name, now, &self.state);
                // The process that asked may be gone by now; its question still arrives.
                let boot = self.members[from].boot - (self.members[from].incarnation - life) * MEMBERS as u64;
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
                    CommandOutcome::SessionOpened { session: id, incarnation } => {
                        let now = self.leader_clock.at(self.now);
                        match self.warden.renew_session(id, 0, now, &self.state) {
                            Ok(()) => Reply::Joined(id, incarnation, self.state.view()),
                            Err(_) => return,
                        }
                    }
                    CommandOutcome::Rejected(CommandRejection::Superseded { .. }) => Reply::SessionExpired,
                    _ => return,
                }
            }
        };
        if self.now >= self.members[from].disconnected_until && self.random.random_range(0..100) != 0 {
            let way = self.network_delay();
            self.schedule(way, EventKind::ReplyArrives { to: from, asked, life, said });
        }
    }

    fn act(&mut self, at: usize) {
        let newest = self.newest();
        let member = &self.members[at];
        let now = member.clock.at(self.now);
        let Some(HeldLease { lease: duty, token }) = member.holder.held_leases(now).into_iter().next() else {
            return;
        };
        for to in (0..MEMBERS).filter(|to| *to != at) {
            if self.members[at].holder.holds_lease(&duty, token, now) {
                self.result.overlapping_holders += u64::from(token < newest);
                // It may stop between the look and the write, and the way may be long.
                let way = self.network_delay();
                self.schedule(way, EventKind::EffectArrives { to, token });
            }
        }
    }

    fn inject_fault(&mut self) {
        let next = self.random.random_range(SECOND / 2..8 * SECOND);
        self.schedule(next, EventKind::Fault);
        self.result.faults += 1;
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
            0 => self.members[whom].resumes_at = self.now + long,
            1 => self.members[whom].disconnected_until = self.now + long,
            2 => {
                let member = &mut self.members[whom];
                member.incarnation += 1;
                member.boot += MEMBERS as u64;
                member.holder = LeaseClient::new(self.times).with_injected_bug(self.flaw);
                member.highest_token = FencingToken(0);
                member.resumes_at = self.now + long;
            }
            _ => {
                // Another coordinator leads after a while, with a clock of its own.
                self.leader_since = self.now + long.min(3 * SECOND);
                let rate = 1.0 + self.random.random_range(-self.skew..=self.skew);
                self.leader_clock = Clock { start: self.random.random_range(0..1 << 40), rate };
                self.warden =
                    LeaderState::new(self.times, self.leader_clock.at(self.leader_since), &self.state);
            }
        }
    }
}
