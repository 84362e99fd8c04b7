//! The leases protocol, checked in every order of events up to a bound, on the very modules that the processes run.
//!
//! The coordinators are one agreed log here (what Raft gives); their leader may change at any moment. Time is a counter
//! that all see. Messages may be delivered in any order, late or never. An holder may stop between its look at the
//! clock and the effect.

use std::collections::BTreeSet;

use coordination::{
    ClusterView, Command, CommandOutcome, FencingToken, InjectedBug, LeaderState, LeaseClient, LeaseId,
    SessionId, StateMachine, Timing,
};
use stateright::{Checker, Model, Property};

/// Bounds of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How far the clock goes.
    pub time: u64,
    /// Members, the first of which owns the lease at the start.
    pub members: u64,
    /// Messages on their way at once.
    pub messages: usize,
    /// How often the leading coordinator changes.
    pub leader_changes: u8,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { time: 5, members: 2, messages: 3, leader_changes: 1 }
    }
}

/// The protocol with a bug or without.
#[derive(Debug, Clone)]
pub struct LeaseProtocol {
    /// The bug put in.
    pub injected_bug: Option<InjectedBug>,
    /// How far to look.
    pub bounds: Bounds,
}

/// A message on its way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The coordinators' answer to what was asked then, with the revision and the floor and holder that it shows.
    RenewalReply(usize, u64, Option<ViewSummary>),
    /// An effect of a term, to a receiver.
    Effect(usize, FencingToken),
}

type ViewSummary = (u64, FencingToken, Option<(SessionId, FencingToken)>);

/// All there is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Fleet {
    now: u64,
    index: u64,
    state: StateMachine,
    warden: LeaderState,
    leaders: u8,
    members: Vec<Member>,
    in_transit: BTreeSet<Message>,
    late_effect_accepted: bool,
    overlapping_holders: bool,
    handed_over: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Member {
    id: SessionId,
    holder: LeaseClient,
    last_renewal: Option<u64>,
    checked_token: Option<FencingToken>,
}

/// What may happen next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The clock goes on.
    Tick,
    /// A member asks for its renewal, and the coordinators confirm it. (If it were long on its way to them, they would
    /// count from later: that is on the safe side, so it is left out.)
    Renew(usize),
    /// A message arrives.
    Deliver(Message),
    /// The leading coordinator does what is due.
    Decide,
    /// Another coordinator leads.
    NewLeader,
    /// An holder looks whether it may act.
    CheckLease(usize),
    /// An holder that has looked acts, towards a receiver.
    Act(usize, usize),
}

fn lease() -> LeaseId {
    LeaseId::fleet("list")
}

fn summarize(view: &ClusterView) -> ViewSummary {
    let seat = &view.leases[0];
    (view.revision, seat.minimum_token, seat.holder.map(|owner| (owner.session, owner.token)))
}

fn view((revision, floor, owner): ViewSummary) -> ClusterView {
    let owner = owner.map(|(session, token)| coordination::LeaseHolder { session, token });
    ClusterView {
        revision,
        leases: vec![coordination::LeaseView { lease: lease(), minimum_token: floor, holder: owner }],
    }
}

impl Fleet {
    fn apply(&mut self, command: &Command) -> CommandOutcome {
        self.index += 1;
        let outcome = self.state.apply(self.index, command);
        self.warden.on_entries_applied(self.now, &self.state);
        if matches!(outcome, CommandOutcome::Rejected(_)) {
            self.warden.proposal_rejected(command);
        }
        if matches!(outcome, CommandOutcome::LeaseGranted { .. }) && self.state.next_token() > FencingToken(2)
        {
            self.handed_over = true;
        }
        outcome
    }

    /// The highest token that was granted.
    fn newest(&self) -> FencingToken {
        FencingToken(self.state.next_token().0 - 1)
    }

    fn send(&mut self, message: Message, bounds: Bounds) -> Option<()> {
        (self.in_transit.len() < bounds.messages).then(|| {
            self.in_transit.insert(message);
        })
    }
}

impl Model for LeaseProtocol {
    type State = Fleet;
    type Action = Event;

    /// Members that joined, one of them the holder of the only lease.
    fn init_states(&self) -> Vec<Fleet> {
        let times = Timing {
            lease_duration: 2,
            renewal_interval: 1,
            call_timeout: 1,
            stability_period: 0,
            short_session_limit: 0,
            max_clock_skew_ppm: 0,
            election_timeout: 1,
            heartbeat_interval: 1,
        };
        let state = StateMachine::new(1);
        let warden = LeaderState::new(times, 0, &state);
        let mut fleet = Fleet {
            now: 0,
            index: 0,
            state,
            warden,
            leaders: 0,
            members: Vec::new(),
            in_transit: BTreeSet::new(),
            late_effect_accepted: false,
            overlapping_holders: false,
            handed_over: false,
        };
        for boot in 0..self.bounds.members {
            let name = format!("m{boot}");
            let offers = vec![lease()];
            let join = Command::OpenSession {
                name,
                boot_id: boot,
                zone: String::new(),
                address: String::new(),
                eligible_leases: offers,
                short_lived: false,
            };
            let CommandOutcome::SessionOpened { session: id, incarnation } = fleet.apply(&join) else {
                return Vec::new();
            };
            let mut holder = LeaseClient::new(times).with_injected_bug(self.injected_bug);
            holder.on_session_opened(id, incarnation, 0, 0, fleet.state.view());
            fleet.members.push(Member { id, holder, last_renewal: None, checked_token: None });
        }
        for _ in 0..2 {
            for command in fleet.warden.due_commands(0, &fleet.state) {
                fleet.apply(&command);
            }
        }
        let view = fleet.state.view();
        for member in &mut fleet.members {
            member.holder.on_view_changed(member.id, view.clone());
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Event>) {
        if fleet.now < self.bounds.time {
            actions.push(Event::Tick);
        }
        if fleet.leaders < self.bounds.leader_changes {
            actions.push(Event::NewLeader);
        }
        if !fleet.warden.clone().due_commands(fleet.now, &fleet.state).is_empty() {
            actions.push(Event::Decide);
        }
        actions.extend(fleet.in_transit.iter().cloned().map(Event::Deliver));
        for (at, member) in fleet.members.iter().enumerate() {
            if member.last_renewal.is_none_or(|asked| asked < fleet.now) {
                actions.push(Event::Renew(at));
            }
            let owner = member
                .holder
                .held_leases(fleet.now)
                .first()
                .is_some_and(|held| member.checked_token != Some(held.token));
            if owner {
                actions.push(Event::CheckLease(at));
            }
            if member.checked_token.is_some() {
                actions.extend((0..fleet.members.len()).filter(|to| *to != at).map(|to| Event::Act(at, to)));
            }
        }
    }

    fn next_state(&self, fleet: &Fleet, event: Event) -> Option<Fleet> {
        let mut fleet = fleet.clone();
        let now = fleet.now;
        match event {
            Event::Tick => fleet.now += 1,
            Event::NewLeader => {
                fleet.leaders += 1;
                let times = Timing { lease_duration: 2, ..Timing::default() };
                fleet.warden = LeaderState::new(
                    Timing { max_clock_skew_ppm: 0, stability_period: 0, short_session_limit: 0, ..times },
                    now,
                    &fleet.state,
                );
            }
            Event::Decide => {
                for command in fleet.warden.due_commands(now, &fleet.state) {
                    fleet.apply(&command);
                }
            }
            Event::Renew(at) => {
                let member = &mut fleet.members[at];
                member.last_renewal = Some(now);
                let (id, seen) = (member.id, member.holder.applied_revision());
                fleet.warden.renew_session(id, seen, now, &fleet.state).ok()?;
                let news = (fleet.state.lease_revision() > seen).then(|| summarize(&fleet.state.view()));
                fleet.send(Message::RenewalReply(at, now, news), self.bounds)?;
            }
            Event::CheckLease(at) => {
                let token = fleet.members[at].holder.held_leases(now).first()?.token;
                if fleet.members[at].holder.holds_lease(&lease(), token, now) {
                    fleet.members[at].checked_token = Some(token);
                    fleet.overlapping_holders |= token < fleet.newest();
                }
            }
            Event::Act(at, to) => {
                let token = fleet.members[at].checked_token?;
                if self.injected_bug == Some(InjectedBug::SkipExpiryCheck) {
                    fleet.overlapping_holders |= token < fleet.newest();
                } else {
                    fleet.members[at].checked_token = None;
                }
                fleet.send(Message::Effect(to, token), self.bounds)?;
            }
            Event::Deliver(message) => {
                fleet.in_transit.remove(&message);
                match message {
                    Message::RenewalReply(at, asked, news) => {
                        let member = &mut fleet.members[at];
                        member.holder.on_session_renewed(member.id, asked, now, news.map(view));
                    }
                    Message::Effect(at, token) => {
                        if fleet.members[at].holder.accept_effect(&lease(), token, now).is_ok() {
                            fleet.late_effect_accepted |= token < fleet.newest();
                        }
                        fleet.members[at].holder.reset_effect_counts();
                    }
                }
            }
        }
        Some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no effect of an ended term is taken", |_, fleet: &Fleet| {
                !fleet.late_effect_accepted
            }),
            Property::always("no owner acts when a later term was granted", |_, fleet: &Fleet| {
                !fleet.overlapping_holders
            }),
            Property::sometimes("a duty is handed over", |_, fleet: &Fleet| fleet.handed_over),
        ]
    }
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct SearchResult {
    /// Different states.
    pub states: usize,
    /// The longest row of events.
    pub depth: usize,
    /// A property that does not hold, and how many events lead there.
    pub violated: Option<(&'static str, usize)>,
    /// Whether a hand-over was reached at all.
    pub handed_over: bool,
}

/// Searches all orders of events within the bounds.
pub fn search(flaw: Option<InjectedBug>, bounds: Bounds, threads: usize) -> SearchResult {
    let model = LeaseProtocol { injected_bug: flaw, bounds };
    let checker = model.checker().threads(threads).spawn_bfs().join();
    let broken = ["no effect of an ended term is taken", "no owner acts when a later term was granted"];
    let found = |name: &'static str| checker.discovery(name).map(|path| (name, path.into_actions().len()));
    SearchResult {
        states: checker.unique_state_count(),
        depth: checker.max_depth(),
        violated: broken.into_iter().find_map(found),
        handed_over: checker.discovery("a duty is handed over").is_some(),
    }
}
