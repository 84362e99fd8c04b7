//! Model of the lease protocol, checked in every order of events up to a bound. The model runs the same modules as the
//! processes do.
//!
//! The coordinators are a single replicated log, as Raft provides it; the leader may change at any moment. All
//! processes read the same clock, which counts up. Messages may be delivered in any order, late or never. A lease
//! holder may pause between the check of its lease and the effect.

use std::collections::BTreeSet;

use coordination::{
    ClusterView, Command, CommandOutcome, FencingToken, InjectedBug, LeaderState, LeaseClient, LeaseId,
    SessionId, StateMachine, Timing,
};
use stateright::{Checker, Model, Property};

/// Bounds of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Last reading of the clock.
    pub time: u64,
    /// Number of members, the first of which holds the lease at the start.
    pub members: u64,
    /// Maximum number of messages in transit.
    pub messages: usize,
    /// Maximum number of changes of the leader.
    pub leader_changes: u8,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { time: 5, members: 2, messages: 3, leader_changes: 1 }
    }
}

/// Model of the lease protocol, with an injected bug or without.
#[derive(Debug, Clone)]
pub struct LeaseProtocol {
    /// The injected bug.
    pub injected_bug: Option<InjectedBug>,
    /// Bounds of the search.
    pub bounds: Bounds,
}

/// A message in transit. Members are given by their position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// Response of the coordinators to a renewal.
    RenewalResponse {
        /// The member that sent the renewal.
        to: usize,
        /// Time at which the renewal was sent.
        requested_at: u64,
        /// The cluster view, if it is newer than the one that the member acknowledged.
        view: Option<ViewSummary>,
    },
    /// An effect of a lease holder.
    Effect {
        /// The member that receives it.
        to: usize,
        /// Fencing token of the holder's term.
        token: FencingToken,
    },
}

/// Contents of a [`ClusterView`] with the only lease of the model, in a form that has an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ViewSummary {
    revision: u64,
    minimum_token: FencingToken,
    /// Session of the lease holder, and the token of its term.
    holder: Option<(SessionId, FencingToken)>,
}

/// State of the whole model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelState {
    now: u64,
    /// Index of the last log entry.
    index: u64,
    state_machine: StateMachine,
    leader_state: LeaderState,
    leader_changes: u8,
    members: Vec<Member>,
    in_transit: BTreeSet<Message>,
    /// Whether a receiver accepted an effect of an ended term.
    late_effect_accepted: bool,
    /// Whether a member passed the check of its lease after a later term was granted.
    overlapping_holders: bool,
    /// Whether the lease was granted a second time.
    handed_over: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Member {
    id: SessionId,
    lease_client: LeaseClient,
    last_renewal: Option<u64>,
    /// Token with which the member has passed the check of its lease; it may send effects of that term.
    checked_token: Option<FencingToken>,
}

/// An event that may happen next. Members are given by their position.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The clock advances.
    Tick,
    /// A member sends a renewal, and the coordinators process it at once. A renewal that is delayed on its way to them
    /// is left out: they would measure the session from a later time than the member does, which is safe.
    Renew(usize),
    /// A message arrives.
    Deliver(Message),
    /// The leading coordinator proposes the commands that are due.
    ProposeDueCommands,
    /// Another coordinator becomes leader.
    ChangeLeader,
    /// A lease holder checks whether it may send effects.
    CheckLease(usize),
    /// A lease holder that has passed the check sends an effect to another member.
    SendEffect {
        /// The lease holder.
        from: usize,
        /// The receiver.
        to: usize,
    },
}

fn lease() -> LeaseId {
    LeaseId::fleet("list")
}

fn summarize(view: &ClusterView) -> ViewSummary {
    let lease = &view.leases[0];
    ViewSummary {
        revision: view.revision,
        minimum_token: lease.minimum_token,
        holder: lease.holder.map(|holder| (holder.session, holder.token)),
    }
}

fn expand(summary: ViewSummary) -> ClusterView {
    let ViewSummary { revision, minimum_token, holder } = summary;
    let holder = holder.map(|(session, token)| coordination::LeaseHolder { session, token });
    ClusterView { revision, leases: vec![coordination::LeaseView { lease: lease(), minimum_token, holder }] }
}

impl ModelState {
    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        let outcome = self.state_machine.apply(self.index, command);
        self.leader_state.on_entries_applied(self.now, &self.state_machine);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.leader_state.proposal_rejected(command);
        }
        if matches!(outcome, CommandOutcome::LeaseGranted { .. })
            && self.state_machine.next_token() > FencingToken(2)
        {
            self.handed_over = true;
        }
        outcome
    }

    /// Returns the highest token that was granted.
    fn newest_token(&self) -> FencingToken {
        FencingToken(self.state_machine.next_token().0 - 1)
    }

    /// Puts a message in transit, or returns `None` at the bound.
    fn send(&mut self, message: Message, bounds: Bounds) -> Option<()> {
        (self.in_transit.len() < bounds.messages).then(|| {
            self.in_transit.insert(message);
        })
    }
}

impl Model for LeaseProtocol {
    type State = ModelState;
    type Action = Event;

    /// Returns the state in which all members have opened a session and one of them holds the only lease.
    fn init_states(&self) -> Vec<ModelState> {
        let timing = Timing {
            lease_duration: 2,
            renewal_interval: 1,
            call_timeout: 1,
            stability_period: 0,
            short_session_limit: 0,
            max_clock_skew_ppm: 0,
            election_timeout: 1,
            heartbeat_interval: 1,
        };
        let state_machine = StateMachine::new(1);
        let leader_state = LeaderState::new(timing, 0, &state_machine);
        let mut state = ModelState {
            now: 0,
            index: 0,
            state_machine,
            leader_state,
            leader_changes: 0,
            members: Vec::new(),
            in_transit: BTreeSet::new(),
            late_effect_accepted: false,
            overlapping_holders: false,
            handed_over: false,
        };
        for boot in 0..self.bounds.members {
            let name = format!("m{boot}");
            let open_session = Command::OpenSession {
                name,
                boot_id: boot,
                zone: String::new(),
                address: String::new(),
                eligible_leases: vec![lease()],
                short_lived: false,
            };
            let CommandOutcome::SessionOpened { session: id, incarnation } = state.apply(&open_session)
            else {
                return Vec::new();
            };
            let mut lease_client = LeaseClient::new(timing).with_injected_bug(self.injected_bug);
            lease_client.on_session_opened(id, incarnation, 0, 0, state.state_machine.view());
            state.members.push(Member { id, lease_client, last_renewal: None, checked_token: None });
        }
        for _ in 0..2 {
            for command in state.leader_state.due_commands(0, &state.state_machine) {
                state.apply(&command);
            }
        }
        let view = state.state_machine.view();
        for member in &mut state.members {
            member.lease_client.on_view_changed(member.id, view.clone());
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Event>) {
        if state.now < self.bounds.time {
            actions.push(Event::Tick);
        }
        if state.leader_changes < self.bounds.leader_changes {
            actions.push(Event::ChangeLeader);
        }
        if !state.leader_state.clone().due_commands(state.now, &state.state_machine).is_empty() {
            actions.push(Event::ProposeDueCommands);
        }
        actions.extend(state.in_transit.iter().cloned().map(Event::Deliver));
        for (position, member) in state.members.iter().enumerate() {
            if member.last_renewal.is_none_or(|sent_at| sent_at < state.now) {
                actions.push(Event::Renew(position));
            }
            let may_check = member
                .lease_client
                .held_leases(state.now)
                .first()
                .is_some_and(|held| member.checked_token != Some(held.token));
            if may_check {
                actions.push(Event::CheckLease(position));
            }
            if member.checked_token.is_some() {
                let receivers = (0..state.members.len()).filter(|to| *to != position);
                actions.extend(receivers.map(|to| Event::SendEffect { from: position, to }));
            }
        }
    }

    fn next_state(&self, state: &ModelState, event: Event) -> Option<ModelState> {
        let mut state = state.clone();
        let now = state.now;
        match event {
            Event::Tick => state.now += 1,
            Event::ChangeLeader => {
                state.leader_changes += 1;
                let timing = Timing { lease_duration: 2, ..Timing::default() };
                state.leader_state = LeaderState::new(
                    Timing { max_clock_skew_ppm: 0, stability_period: 0, short_session_limit: 0, ..timing },
                    now,
                    &state.state_machine,
                );
            }
            Event::ProposeDueCommands => {
                for command in state.leader_state.due_commands(now, &state.state_machine) {
                    state.apply(&command);
                }
            }
            Event::Renew(from) => {
                let member = &mut state.members[from];
                member.last_renewal = Some(now);
                let (id, applied_revision) = (member.id, member.lease_client.applied_revision());
                state.leader_state.renew_session(id, applied_revision, now, &state.state_machine).ok()?;
                let has_changed = state.state_machine.lease_revision() > applied_revision;
                let view = has_changed.then(|| summarize(&state.state_machine.view()));
                state.send(Message::RenewalResponse { to: from, requested_at: now, view }, self.bounds)?;
            }
            Event::CheckLease(member) => {
                let token = state.members[member].lease_client.held_leases(now).first()?.token;
                if state.members[member].lease_client.holds_lease(&lease(), token, now) {
                    state.members[member].checked_token = Some(token);
                    state.overlapping_holders |= token < state.newest_token();
                }
            }
            Event::SendEffect { from, to } => {
                let token = state.members[from].checked_token?;
                if self.injected_bug == Some(InjectedBug::SkipExpiryCheck) {
                    state.overlapping_holders |= token < state.newest_token();
                } else {
                    state.members[from].checked_token = None;
                }
                state.send(Message::Effect { to, token }, self.bounds)?;
            }
            Event::Deliver(message) => {
                state.in_transit.remove(&message);
                match message {
                    Message::RenewalResponse { to, requested_at, view } => {
                        let Member { id, lease_client, .. } = &mut state.members[to];
                        lease_client.on_session_renewed(*id, requested_at, now, view.map(expand));
                    }
                    Message::Effect { to, token } => {
                        if state.members[to].lease_client.accept_effect(&lease(), token, now).is_ok() {
                            state.late_effect_accepted |= token < state.newest_token();
                        }
                        state.members[to].lease_client.reset_effect_counts();
                    }
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect of an ended term is taken", |_, state: &ModelState| {
                !state.late_effect_accepted
            }),
            Property::always("no owner acts when a later term was granted", |_, state: &ModelState| {
                !state.overlapping_holders
            }),
            Property::sometimes("a lease is handed over", |_, state: &ModelState| state.handed_over),
        ]
    }
}

/// Result of a search.
#[derive(Debug, Clone)]
pub struct SearchResult {
    /// Number of distinct states.
    pub states: usize,
    /// Length of the longest sequence of events.
    pub depth: usize,
    /// The property that does not hold, if there is one, and the number of events that lead to its violation.
    pub violated: Option<(&'static str, usize)>,
    /// Whether some sequence of events led to a second grant of the lease; otherwise the search has checked nothing.
    pub handed_over: bool,
}

/// Searches all orders of events within the bounds, on this many threads.
pub fn search(injected_bug: Option<InjectedBug>, bounds: Bounds, threads: usize) -> SearchResult {
    let model = LeaseProtocol { injected_bug, bounds };
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let rules = ["no effect of an ended term is taken", "no owner acts when a later term was granted"];
    let violation =
        |name: &'static str| checker.discovery(name).map(|path| (name, path.into_actions().len()));
    SearchResult {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        violated: rules.into_iter().find_map(violation),
        handed_over: checker.discovery("a lease is handed over").is_some(),
    }
}
