//! Decisions over long pseudorandom histories: the same events give the same proposals, states and check results.
//!
//! A snapshot pins the number of steps of each kind and a digest of all steps. It changes only when the rules change.
//! The names of the kinds are part of the digest.

use std::collections::BTreeMap;

use coordination::{
    Command, CommandOutcome, EffectRejection, FencingToken, HeldLease, LeaderState, LeaseClient, LeaseId,
    Revision, SessionId, StateMachine, Timing,
};

const MEMBERS: u64 = 5;
const STEPS: u64 = 4_000;
/// Duration of a step, in microseconds.
const STEP: u64 = 100_000;

/// A linear congruential generator, so that a history depends only on its seed.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns true with a probability of 1 in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// FNV-1a digest of all recorded steps, and the number of steps of each kind.
struct Trace {
    digest: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl Trace {
    fn record(&mut self, kind: &'static str, bytes: &[u8]) {
        *self.counts.entry(kind).or_default() += 1;
        for byte in kind.bytes().chain(bytes.iter().copied()) {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

struct Member {
    name: String,
    /// Number of process starts before the current one.
    process: u64,
    client: LeaseClient,
    session: Option<SessionId>,
    /// Time until which the member sends nothing.
    unresponsive_until: u64,
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
            unresponsive_until: 0,
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
        self.trace.record("command", &command.encode());
        let outcome = self.state.apply(self.index, command);
        self.leader.on_entries_applied(now, &self.state);
        if let CommandOutcome::Rejected(reason) = &outcome {
            self.trace.record("refused", reason.to_string().as_bytes());
            self.leader.proposal_rejected(command);
        }
        self.trace.record("state", &self.state.digest().to_le_bytes());
        outcome
    }

    fn open_session(&mut self, now: u64, member_index: usize) {
        let member = &self.members[member_index];
        let command = Command::OpenSession {
            name: member.name.clone(),
            boot_id: member_index as u64 * 1_000 + member.process,
            zone: format!("z{}", member_index % 2),
            address: format!("10.0.0.{member_index}:7000"),
            eligible_leases: eligible_leases(),
            short_lived: self.leader.is_short_session(&member.name, now, &self.state),
        };
        if let CommandOutcome::SessionOpened { session, incarnation } = self.apply(now, &command) {
            let member = &mut self.members[member_index];
            member.session = Some(session);
            member.client.on_session_opened(session, incarnation, now, now, self.state.view());
        }
    }

    fn renew(&mut self, now: u64, member_index: usize, session: SessionId) {
        let acknowledged = self.members[member_index].client.applied_revision();
        match self.leader.renew_session(session, acknowledged, now, &self.state) {
            Ok(()) => {
                let requested_at = now - self.random.below(STEP).min(now);
                let view = self.random.one_in(2).then(|| self.state.view());
                self.members[member_index].client.on_session_renewed(session, requested_at, now, view);
            }
            Err(reason) => {
                self.trace.record("not renewed", reason.to_string().as_bytes());
                self.members[member_index].client.on_session_ended();
                self.members[member_index].session = None;
            }
        }
    }

    fn step_member(&mut self, now: u64, member_index: usize) {
        if now < self.members[member_index].unresponsive_until {
            return;
        }
        if self.random.one_in(150) {
            self.members[member_index].unresponsive_until = now + self.random.below(40) * STEP;
        }
        if self.random.one_in(200) {
            let member = &mut self.members[member_index];
            (member.process, member.session) = (member.process + 1, None);
            member.client = LeaseClient::new(Timing::default());
        }
        match self.members[member_index].session {
            None => self.open_session(now, member_index),
            Some(session) if self.random.one_in(300) => {
                let short_lived =
                    self.leader.is_short_session(&self.members[member_index].name, now, &self.state);
                self.apply(now, &Command::CloseSession { session, short_lived });
                self.members[member_index].client.on_session_ended();
                self.members[member_index].session = None;
            }
            Some(session) => self.renew(now, member_index, session),
        }
    }

    fn step_leader(&mut self, now: u64) {
        if self.random.one_in(400) {
            self.leader = LeaderState::new(Timing::default(), now, &self.state);
        }
        for command in self.leader.due_commands(now, &self.state) {
            if self.random.one_in(20) {
                self.trace.record("lost", &command.encode());
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

    /// Sends effects of every holder to every member, with the token of the holder or the token below it.
    fn send_effects(&mut self, now: u64) {
        for member_index in 0..self.members.len() {
            for HeldLease { lease, token } in self.members[member_index].client.held_leases(now) {
                assert!(self.members[member_index].client.holds_lease(&lease, token, now));
                assert!(!self.members[member_index].client.holds_lease(
                    &lease,
                    FencingToken(token.0 + 1),
                    now
                ));
                for receiver in 0..self.members.len() {
                    let token = FencingToken(token.0 - self.random.below(2));
                    let result = self.members[receiver].client.accept_effect(&lease, token, now);
                    let kind = match result {
                        Ok(()) => "taken",
                        Err(EffectRejection::NoSession) => "without session",
                        Err(EffectRejection::StaleToken { .. }) => "old token",
                        Err(EffectRejection::UnknownLease) => "unknown",
                    };
                    self.trace.record(kind, lease.to_string().as_bytes());
                }
            }
        }
    }

    fn run(mut self) -> Trace {
        for step in 1..=STEPS {
            let now = step * STEP;
            for member_index in 0..self.members.len() {
                self.step_member(now, member_index);
            }
            self.step_leader(now);
            self.send_effects(now);
        }
        self.trace
    }
}

#[test]
fn the_same_history_gives_the_same_decisions() {
    let mut text = String::new();
    for seed in 1..=4 {
        let trace = Cluster::new(seed).run();
        text += &format!("seed {seed}: digest {:016x} {:?}\n", trace.digest, trace.counts);
    }
    insta::assert_snapshot!("decisions", text);
}
