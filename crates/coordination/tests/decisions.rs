//! Decisions over long random histories: the same events give the same proposals, states and verdicts.
//!
//! A summary in figures and a digest of every step are pinned; they change only with the rules themselves.

use std::collections::BTreeMap;

use coordination::{
    Command, CommandOutcome, EffectRejection, FencingToken, HeldLease, LeaderState, LeaseClient, LeaseId,
    Revision, SessionId, StateMachine, Timing,
};

const MEMBERS: u64 = 5;
const STEPS: u64 = 4_000;
const STEP: u64 = 100_000;

/// A linear congruential generator, so that a history depends on its seed alone.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }
}

/// FNV-1a digest of all recorded steps, and the number of steps of each kind.
struct Trace {
    digest: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl Trace {
    fn note(&mut self, kind: &'static str, bytes: &[u8]) {
        *self.counts.entry(kind).or_default() += 1;
        for byte in kind.bytes().chain(bytes.iter().copied()) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

struct Member {
    name: String,
    process: u64,
    client: LeaseClient,
    session: Option<SessionId>,
    silent_until: u64,
}

struct Cluster {
    state: StateMachine,
    leader: LeaderState,
    index: Revision,
    members: Vec<Member>,
    random: Random,
    trace: Trace,
}

fn eligible_leases() -> Vec<LeaseId> {
    let mut leases = vec![LeaseId::fleet("list"), LeaseId::zone("cold", "z0"), LeaseId::zone("cold", "z1")];
    leases.extend((0..6).map(|set| LeaseId::worker_set("watch", set)));
    leases
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let state = StateMachine::new(1);
        let member = |number: u64| Member {
            name: format!("member-{number}"),
            process: 0,
            client: LeaseClient::new(Timing::default()),
            session: None,
            silent_until: 0,
        };
        Cluster {
            leader: LeaderState::new(Timing::default(), 0, &state),
            state,
            index: 0,
            members: (0..MEMBERS).map(member).collect(),
            random: Random(seed),
            trace: Trace { digest: 0xcbf2_9ce4_8422_2325, counts: BTreeMap::new() },
        }
    }

    fn apply(&mut self, now: u64, command: &Command) -> CommandOutcome {
        self.index += 1;
        self.trace.note("command", &command.encode());
        let outcome = self.state.apply(self.index, command);
        self.leader.on_entries_applied(now, &self.state);
        if let CommandOutcome::Rejected(reason) = &outcome {
            self.trace.note("refused", reason.to_string().as_bytes());
            self.leader.proposal_rejected(command);
        }
        self.trace.note("state", &self.state.digest().to_le_bytes());
        outcome
    }

    fn open_session(&mut self, now: u64, at: usize) {
        let member = &self.members[at];
        let command = Command::OpenSession {
            name: member.name.clone(),
            boot_id: at as u64 * 1_000 + member.process,
            zone: format!("z{}", at % 2),
            address: format!("10.0.0.{at}:7000"),
            eligible_leases: eligible_leases(),
            short_lived: self.leader.is_short_session(&member.name, now, &self.state),
        };
        if let CommandOutcome::SessionOpened { session, incarnation } = self.apply(now, &command) {
            let member = &mut self.members[at];
            member.session = Some(session);
            member.client.on_session_opened(session, incarnation, now, now, self.state.view());
        }
    }

    fn renew(&mut self, now: u64, at: usize, session: SessionId) {
        let seen = self.members[at].client.applied_revision();
        match self.leader.renew_session(session, seen, now, &self.state) {
            Ok(()) => {
                let asked = now - self.random.below(STEP).min(now);
                let view = self.random.one_in(2).then(|| self.state.view());
                self.members[at].client.on_session_renewed(session, asked, now, view);
            }
            Err(reason) => {
                self.trace.note("not renewed", reason.to_string().as_bytes());
                self.members[at].client.on_session_ended();
                self.members[at].session = None;
            }
        }
    }

    fn step_of_member(&mut self, now: u64, at: usize) {
        if now < self.members[at].silent_until {
            return;
        }
        if self.random.one_in(150) {
            self.members[at].silent_until = now + self.random.below(40) * STEP;
        }
        if self.random.one_in(200) {
            let member = &mut self.members[at];
            (member.process, member.session) = (member.process + 1, None);
            member.client = LeaseClient::new(Timing::default());
        }
        match self.members[at].session {
            None => self.open_session(now, at),
            Some(session) if self.random.one_in(300) => {
                let short_lived = self.leader.is_short_session(&self.members[at].name, now, &self.state);
                self.apply(now, &Command::CloseSession { session, short_lived });
                self.members[at].client.on_session_ended();
                self.members[at].session = None;
            }
            Some(session) => self.renew(now, at, session),
        }
    }

    fn step_of_leader(&mut self, now: u64) {
        if self.random.one_in(400) {
            self.leader = LeaderState::new(Timing::default(), now, &self.state);
        }
        for command in self.leader.due_commands(now, &self.state) {
            if self.random.one_in(20) {
                self.trace.note("lost", &command.encode());
                self.leader.proposal_rejected(&command);
            } else {
                self.apply(now, &command);
            }
        }
        let held =
            self.state.leases().iter().filter_map(|(id, lease)| Some((id.clone(), lease.holder?.token)));
        let held: Vec<(LeaseId, FencingToken)> = held.collect();
        if !held.is_empty() && self.random.one_in(50) {
            let (lease, token) = held[self.random.below(held.len() as u64) as usize].clone();
            let reset_stability = self.random.one_in(2);
            self.apply(now, &Command::ReleaseLease { lease, token, reset_stability });
        }
    }

    /// Every holder makes effects at every member, also with the token before its own.
    fn effects(&mut self, now: u64) {
        for at in 0..self.members.len() {
            for HeldLease { lease, token } in self.members[at].client.held_leases(now) {
                assert!(self.members[at].client.holds_lease(&lease, token, now));
                assert!(!self.members[at].client.holds_lease(&lease, FencingToken(token.0 + 1), now));
                for to in 0..self.members.len() {
                    let token = FencingToken(token.0 - self.random.below(2));
                    let verdict = self.members[to].client.accept_effect(&lease, token, now);
                    let kind = match verdict {
                        Ok(()) => "taken",
                        Err(EffectRejection::NoSession) => "without session",
                        Err(EffectRejection::StaleToken { .. }) => "old token",
                        Err(EffectRejection::UnknownLease) => "unknown",
                    };
                    self.trace.note(kind, lease.to_string().as_bytes());
                }
            }
        }
    }

    fn play(mut self) -> Trace {
        for step in 1..=STEPS {
            let now = step * STEP;
            for at in 0..self.members.len() {
                self.step_of_member(now, at);
            }
            self.step_of_leader(now);
            self.effects(now);
        }
        self.trace
    }
}

#[test]
fn the_same_history_gives_the_same_decisions() {
    let mut text = String::new();
    for seed in 1..=4 {
        let trace = Cluster::new(seed).play();
        text += &format!("seed {seed}: digest {:016x} {:?}\n", trace.digest, trace.counts);
    }
    insta::assert_snapshot!("decisions", text);
}
