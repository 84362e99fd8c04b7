//! Simulation of the members and coordinators in virtual time.

use coordination::{
    Command, CommandOutcome, CommandRejection, FencingToken, HeldLease, InjectedBug, LeaderState,
    LeaseClient, LeaseId, SessionId, StateMachine, Timing,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::event_queue::{Event, EventQueue, RenewalId, Response};
use super::{SoakResult, HOUR, MEMBERS, SECOND};

/// Interval at which a lease holder sends an effect to every other member, in microseconds.
const EFFECT_INTERVAL: u64 = SECOND / 5;
/// Interval at which the leading coordinator proposes the commands that are due, in microseconds.
const LEADER_TICK_INTERVAL: u64 = 40_000;
/// Time of the first fault, in microseconds.
const FIRST_FAULT_AT: u64 = 3 * SECOND;
/// One message in this many is lost.
const LOST_MESSAGE_INTERVAL: u32 = 100;

/// A clock with a start and a rate of its own.
#[derive(Debug, Clone, Copy)]
pub(super) struct Clock {
    pub(super) start: u64,
    pub(super) rate: f64,
}

impl Clock {
    /// Returns the reading of the clock at a virtual time.
    pub(super) fn at(self, time: u64) -> u64 {
        self.start + (time as f64 * self.rate) as u64
    }
}

/// A member with its current process.
pub(super) struct Member {
    pub(super) clock: Clock,
    pub(super) lease_client: LeaseClient,
    pub(super) boot_id: u64,
    /// Virtual time at which it runs again; its events are delayed until then.
    pub(super) resumes_at: u64,
    /// Virtual time before which messages to and from coordinators are lost.
    pub(super) disconnected_until: u64,
    /// Number of its current process; messages to earlier processes are lost.
    pub(super) process: u64,
    /// The highest token that the current process accepted.
    pub(super) highest_token: FencingToken,
    last_renewal_at: u64,
}

/// A cluster in virtual time.
pub(super) struct Simulation {
    pub(super) random: Pcg64,
    pub(super) timing: Timing,
    /// Maximum deviation of clock rates, as a fraction.
    pub(super) skew: f64,
    pub(super) injected_bug: Option<InjectedBug>,
    pub(super) queue: EventQueue,
    pub(super) state: StateMachine,
    pub(super) leader_state: LeaderState,
    pub(super) leader_clock: Clock,
    /// Virtual time before which there is no leader.
    pub(super) leader_since: u64,
    /// Index of the last log entry.
    index: u64,
    pub(super) members: Vec<Member>,
    pub(super) lease: LeaseId,
    pub(super) result: SoakResult,
}

impl Simulation {
    pub(super) fn new(seed: u64, skew_ppm: u64, injected_bug: Option<InjectedBug>) -> Simulation {
        let mut random = Pcg64::seed_from_u64(seed);
        let timing = Timing { short_session_limit: 3 * SECOND, ..Timing::default() };
        let skew = skew_ppm as f64 / 1e6;
        let state = StateMachine::new(1);
        let mut draw_clock = || Clock {
            start: random.random_range(0..1 << 40),
            rate: 1.0 + random.random_range(-skew..=skew),
        };
        let leader_clock = draw_clock();
        let members = (0..MEMBERS)
            .map(|number| Member {
                clock: draw_clock(),
                lease_client: LeaseClient::new(timing).with_injected_bug(injected_bug),
                boot_id: number as u64,
                resumes_at: 0,
                disconnected_until: 0,
                process: 0,
                highest_token: FencingToken(0),
                last_renewal_at: 0,
            })
            .collect();
        let mut simulation = Simulation {
            random,
            timing,
            skew,
            injected_bug,
            queue: EventQueue::default(),
            leader_state: LeaderState::new(timing, leader_clock.at(0), &state),
            state,
            leader_clock,
            leader_since: 0,
            index: 0,
            members,
            lease: LeaseId::fleet("pulse"),
            result: SoakResult::default(),
        };
        simulation.schedule_first_events();
        simulation
    }

    fn schedule_first_events(&mut self) {
        for member in 0..MEMBERS {
            let start = self.random.random_range(0..SECOND / 2);
            self.queue.schedule(start, Event::SendRenewal(member));
            self.queue.schedule(start + 1_000, Event::SendEffects(member));
        }
        self.queue.schedule(LEADER_TICK_INTERVAL, Event::LeaderTick);
        self.queue.schedule(FIRST_FAULT_AT, Event::Fault);
    }

    /// Runs until this virtual time.
    pub(super) fn run(mut self, until: u64) -> SoakResult {
        while let Some(event) = self.queue.next_until(until) {
            self.result.events += 1;
            self.handle(event);
        }
        self.result.hours = until as f64 / HOUR as f64;
        self.result
    }

    /// Draws the delay of a message, which is mostly short and rarely very long, in microseconds.
    fn draw_network_delay(&mut self) -> u64 {
        match self.random.random_range(0..1_000) {
            0..=2 => self.random.random_range(SECOND..5 * SECOND),
            3..=30 => self.random.random_range(20_000..SECOND),
            _ => self.random.random_range(200..4_000),
        }
    }

    /// Draws whether a message between a member and the coordinators arrives.
    fn draw_arrival(&mut self, member: usize) -> bool {
        self.queue.now() >= self.members[member].disconnected_until
            && self.random.random_range(0..LOST_MESSAGE_INTERVAL) != 0
    }

    fn newest_token(&self) -> FencingToken {
        FencingToken(self.state.next_token().0 - 1)
    }

    fn handle(&mut self, event: Event) {
        if let Some(member) = event.member() {
            let pause = self.members[member].resumes_at.saturating_sub(self.queue.now());
            if pause > 0 {
                // The delayed events arrive shortly after the pause, in random order.
                let delay = pause + self.random.random_range(0..1_000);
                return self.queue.schedule(delay, event);
            }
        }
        match event {
            Event::SendRenewal(member) => {
                self.send_renewal(member);
                self.queue.schedule(self.timing.renewal_interval, Event::SendRenewal(member));
            }
            Event::RenewalArrives { from, renewal, session, applied_revision } => {
                self.on_renewal(from, renewal, session, applied_revision);
            }
            Event::ResponseArrives { to, renewal, response } => self.on_response(to, renewal, response),
            Event::ViewArrives { to, process, session, view } => {
                let member = &mut self.members[to];
                if process == member.process && member.lease_client.on_view_changed(session, view) {
                    self.send_renewal(to);
                }
            }
            Event::SendEffects(member) => {
                self.send_effects(member);
                self.queue.schedule(EFFECT_INTERVAL, Event::SendEffects(member));
            }
            Event::EffectArrives { to, token } => self.on_effect(to, token),
            Event::LeaderTick => {
                self.queue.schedule(LEADER_TICK_INTERVAL, Event::LeaderTick);
                self.propose_due_commands();
            }
            Event::Fault => self.inject_fault(),
        }
    }

    fn propose_due_commands(&mut self) {
        if self.queue.now() < self.leader_since {
            return;
        }
        let now = self.leader_clock.at(self.queue.now());
        for command in self.leader_state.due_commands(now, &self.state) {
            self.apply(&command);
        }
    }

    /// Applies a log entry; notifies the members if a lease has changed.
    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        let revision_before = self.state.lease_revision();
        let outcome = self.state.apply(self.index, command);
        let now = self.leader_clock.at(self.queue.now());
        self.leader_state.on_entries_applied(now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.leader_state.proposal_rejected(command);
        }
        self.result.lease_terms += u64::from(matches!(outcome, CommandOutcome::LeaseGranted { .. }));
        if self.state.lease_revision() != revision_before {
            (0..MEMBERS).for_each(|member| self.send_view(member));
        }
        outcome
    }

    fn send_view(&mut self, to: usize) {
        let Some(session) = self.members[to].lease_client.last_session() else { return };
        if self.queue.now() < self.members[to].disconnected_until {
            return;
        }
        let process = self.members[to].process;
        let view = self.state.view();
        let delay = self.draw_network_delay();
        self.queue.schedule(delay, Event::ViewArrives { to, process, session: session.id, view });
    }

    fn send_renewal(&mut self, from: usize) {
        let member = &mut self.members[from];
        let sent_at = member.clock.at(self.queue.now());
        member.last_renewal_at = sent_at;
        let session = member.lease_client.active_session(sent_at).map(|session| session.id);
        let renewal = RenewalId { process: member.process, sent_at };
        let applied_revision = member.lease_client.applied_revision();
        if self.draw_arrival(from) {
            let delay = self.draw_network_delay();
            let event = Event::RenewalArrives { from, renewal, session, applied_revision };
            self.queue.schedule(delay, event);
        }
    }

    fn on_renewal(
        &mut self,
        from: usize,
        renewal: RenewalId,
        session: Option<SessionId>,
        applied_revision: u64,
    ) {
        if self.queue.now() < self.leader_since {
            return;
        }
        let response = match session {
            Some(session) => Some(self.renew_session(session, applied_revision)),
            None => self.open_session(from, renewal.process),
        };
        let Some(response) = response else { return };
        if self.draw_arrival(from) {
            let delay = self.draw_network_delay();
            self.queue.schedule(delay, Event::ResponseArrives { to: from, renewal, response });
        }
    }

    fn renew_session(&mut self, session: SessionId, applied_revision: u64) -> Response {
        let now = self.leader_clock.at(self.queue.now());
        match self.leader_state.renew_session(session, applied_revision, now, &self.state) {
            Ok(()) => {
                let has_changed = self.state.lease_revision() > applied_revision;
                Response::Renewed { session, view: has_changed.then(|| self.state.view()) }
            }
            Err(_) => Response::Expired,
        }
    }

    /// Opens a session for a process of a member. The process may have ended since it sent the request. Returns `None`
    /// if the session cannot be opened.
    fn open_session(&mut self, member: usize, process: u64) -> Option<Response> {
        let now = self.leader_clock.at(self.queue.now());
        let name = format!("m{member}");
        let short_lived = self.leader_state.is_short_session(&name, now, &self.state);
        let later_processes = self.members[member].process - process;
        let outcome = self.apply(&Command::OpenSession {
            name,
            boot_id: self.members[member].boot_id - later_processes * MEMBERS as u64,
            zone: String::new(),
            address: String::new(),
            eligible_leases: vec![self.lease.clone()],
            short_lived,
        });
        match outcome {
            CommandOutcome::SessionOpened { session, incarnation } => {
                self.leader_state.renew_session(session, 0, now, &self.state).ok()?;
                Some(Response::Opened { session, incarnation, view: self.state.view() })
            }
            CommandOutcome::Rejected(CommandRejection::Superseded { .. }) => Some(Response::Expired),
            _ => None,
        }
    }

    fn on_response(&mut self, to: usize, renewal: RenewalId, response: Response) {
        let member = &mut self.members[to];
        let now = member.clock.at(self.queue.now());
        let sent_at = renewal.sent_at;
        // A member drops the response to a renewal that exceeded the call timeout or was followed by a later renewal.
        let is_late =
            sent_at != member.last_renewal_at || now.saturating_sub(sent_at) > self.timing.call_timeout;
        let is_dropped = is_late && self.injected_bug != Some(InjectedBug::LeaseFromResponse);
        if renewal.process != member.process || is_dropped {
            return;
        }
        match response {
            Response::Opened { session, incarnation, view } => {
                member.lease_client.on_session_opened(session, incarnation, sent_at, now, view);
            }
            Response::Renewed { session, view } => {
                member.lease_client.on_session_renewed(session, sent_at, now, view);
            }
            Response::Expired => member.lease_client.on_session_ended(),
        }
    }

    fn send_effects(&mut self, from: usize) {
        let newest = self.newest_token();
        let member = &self.members[from];
        let now = member.clock.at(self.queue.now());
        let Some(HeldLease { lease, token }) = member.lease_client.held_leases(now).into_iter().next() else {
            return;
        };
        for to in (0..MEMBERS).filter(|to| *to != from) {
            if self.members[from].lease_client.holds_lease(&lease, token, now) {
                self.result.overlapping_holders += u64::from(token < newest);
                // The effect may arrive long after this check, because the member may be paused before it sends the
                // effect, or the message may be delayed.
                let delay = self.draw_network_delay();
                self.queue.schedule(delay, Event::EffectArrives { to, token });
            }
        }
    }

    fn on_effect(&mut self, to: usize, token: FencingToken) {
        let newest = self.newest_token();
        let member = &mut self.members[to];
        let now = member.clock.at(self.queue.now());
        if member.lease_client.accept_effect(&self.lease, token, now).is_err() {
            self.result.effects_rejected += 1;
            return;
        }
        self.result.effects_accepted += 1;
        self.result.late_effects += u64::from(token < newest);
        self.result.decreasing_tokens += u64::from(token < member.highest_token);
        member.highest_token = member.highest_token.max(token);
    }
}
