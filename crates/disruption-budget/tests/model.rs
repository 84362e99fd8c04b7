//! Account and permits in every order of events up to a bound, with askers that sleep, observers that are late, targets
//! that fail: on the very module that the keepers run.

use std::collections::BTreeSet;

use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState,
    InjectedBug, PermitId, PermitState, Target, TargetKind, TargetStatus,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

#[derive(Clone, Debug)]
struct Permits {
    injected_bug: Option<InjectedBug>,
    targets: usize,
    /// How often targets fail by themselves, observers change, and askers begin anew, together.
    faults: u8,
    /// How many changes there may be in the log.
    entries: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Requester {
    Idle,
    Asked(PermitId),
    /// It was told that it may do the step now at the target with this number, and has not done it.
    May(PermitId, u64),
    /// It did it; its target is out until it returns.
    Did(PermitId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: u64,
    out_by_plan: bool,
    /// Failed by itself when the log was so long.
    lost: Option<u64>,
    requester: Requester,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A permit, and the number of the target.
    Begin(PermitId, u64),
    Begun(PermitId, u64),
    /// Token, entries known, and each target's condition and number.
    Look(u64, u64, Vec<(bool, u64)>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    state: DisruptionState,
    index: u64,
    processes: Vec<Process>,
    net: BTreeSet<Message>,
    token: u64,
    faults: u8,
    /// A permit was granted although what was lost before it was asked for had used the budget up.
    over: bool,
    closed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Ask(usize),
    /// An asker that sees its permit granted asks to begin, or asks again.
    Begin(usize),
    Act(usize),
    /// The target comes back and its asker says so, or comes back and nobody says so.
    Return(usize, bool),
    Void(PermitId),
    Look,
    Deliver(Message),
    Fail(usize),
    Recover(usize),
    NewObserver,
    /// The asker begins anew, without memory.
    Forget(usize),
}

const MOST: usize = 1;

fn target(n: usize) -> Target {
    Target { kind: TargetKind::Worker, name: n.to_string() }
}

impl World {
    fn apply(&mut self, change: &DisruptionCommand) -> DisruptionOutcome {
        self.index += 1;
        self.state.apply(self.index, change)
    }
}

impl Model for Permits {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let budget = Budget {
            name: "one".into(),
            kind: TargetKind::Worker,
            scope: BudgetScope::Fleet,
            max_unavailable: Some(Amount::Count(MOST as u32)),
            min_available: None,
        };
        let process = Process { incarnation: 1, out_by_plan: false, lost: None, requester: Requester::Idle };
        let mut world = World {
            state: DisruptionState::default().with_injected_bug(self.injected_bug),
            index: 0,
            processes: vec![process; self.targets],
            net: BTreeSet::new(),
            token: 1,
            faults: 0,
            over: false,
            closed: false,
        };
        world.apply(&DisruptionCommand::SetBudgets { expected_version: 0, budgets: vec![budget] });
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        let room = world.index < self.entries;
        actions.extend(world.net.iter().cloned().map(Event::Deliver));
        if room && world.net.len() < 2 {
            actions.push(Event::Look);
        }
        for (n, process) in world.processes.iter().enumerate() {
            let there = !process.out_by_plan && process.lost.is_none();
            match process.requester {
                Requester::Idle if room => actions.push(Event::Ask(n)),
                Requester::Asked(id) => {
                    let granted =
                        world.state.permits().get(&id).is_some_and(|p| p.state != PermitState::Waiting);
                    if granted && world.net.len() < 2 {
                        actions.push(Event::Begin(n));
                    }
                }
                Requester::May(_, incarnation) if there && incarnation == process.incarnation => {
                    actions.push(Event::Act(n))
                }
                Requester::Did(_) if room => {
                    actions.extend([Event::Return(n, true), Event::Return(n, false)])
                }
                _ => {}
            }
            if world.faults < self.faults {
                actions.push(Event::Forget(n));
                if there {
                    actions.push(Event::Fail(n));
                }
            }
            if process.lost.is_some() {
                actions.push(Event::Recover(n));
            }
        }
        if world.faults < self.faults {
            actions.push(Event::NewObserver);
        }
        if room {
            let granted =
                world.state.permits().iter().filter(|(_, permit)| permit.state == PermitState::Granted);
            actions.extend(granted.map(|(id, _)| Event::Void(*id)));
        }
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut world = world.clone();
        match event {
            Event::Ask(n) => {
                let (reason, requester) = (String::new(), n.to_string());
                let ask =
                    DisruptionCommand::RequestPermit { target: target(n), reason, requester, force: false };
                if let DisruptionOutcome::PermitRequested(id, _) = world.apply(&ask) {
                    world.processes[n].requester = Requester::Asked(id);
                }
            }
            Event::Begin(n) => {
                let Requester::Asked(id) = world.processes[n].requester else { return None };
                let incarnation = world.processes[n].incarnation;
                world.net.insert(Message::Begin(id, incarnation));
            }
            Event::Act(n) => {
                let Requester::May(id, _) = world.processes[n].requester else { return None };
                (world.processes[n].out_by_plan, world.processes[n].requester) = (true, Requester::Did(id));
            }
            Event::Return(n, said) => {
                let Requester::Did(id) = world.processes[n].requester else { return None };
                let process = &mut world.processes[n];
                (process.out_by_plan, process.requester) = (false, Requester::Idle);
                process.incarnation += 1;
                if said {
                    world.apply(&DisruptionCommand::CompletePermit { permit: id });
                }
            }
            Event::Void(id) => {
                world.apply(&DisruptionCommand::CancelPermit { permit: id });
            }
            Event::Look => {
                let there = |p: &Process| (!p.out_by_plan && p.lost.is_none(), p.incarnation);
                let seen = world.processes.iter().map(there).collect();
                world.net.insert(Message::Look(world.token, world.index, seen));
            }
            Event::Fail(n) => {
                world.faults += 1;
                world.processes[n].lost = Some(world.index);
            }
            Event::Recover(n) => {
                world.processes[n].lost = None;
                world.processes[n].incarnation += 1;
            }
            Event::NewObserver => {
                world.faults += 1;
                world.token += 1;
            }
            Event::Forget(n) => {
                world.faults += 1;
                // What it did is done; the target comes back without anybody saying so.
                if world.processes[n].out_by_plan {
                    world.processes[n].out_by_plan = false;
                    world.processes[n].incarnation += 1;
                }
                world.processes[n].requester = Requester::Idle;
            }
            Event::Deliver(message) => {
                world.net.remove(&message);
                match message {
                    Message::Begin(permit, incarnation) => {
                        if let DisruptionOutcome::PermitBegun(id) =
                            world.apply(&DisruptionCommand::BeginPermit { permit, incarnation })
                        {
                            world.net.insert(Message::Begun(id, incarnation));
                        }
                    }
                    Message::Begun(id, incarnation) => {
                        let waits = world.processes.iter_mut().find(|p| p.requester == Requester::Asked(id));
                        waits?.requester = Requester::May(id, incarnation);
                    }
                    Message::Look(token, seen, targets) => {
                        let one = |(n, (there, incarnation)): (usize, &(bool, u64))| TargetStatus {
                            target: target(n),
                            zone: String::new(),
                            pool: String::new(),
                            availability: if *there {
                                Availability::Available
                            } else {
                                Availability::Unavailable
                            },
                            incarnation: *incarnation,
                        };
                        let targets = targets.iter().enumerate().map(one).collect();
                        let change = DisruptionCommand::RecordObservation {
                            fencing_token: token,
                            known_revision: seen,
                            changed: targets,
                            removed: Vec::new(),
                        };
                        if let DisruptionOutcome::ObservationRecorded { granted, closed, .. } =
                            world.apply(&change)
                        {
                            world.closed |= !closed.is_empty();
                            let planned = world.state.active_permits().count();
                            for id in granted {
                                let has_permit =
                                    |n: usize| world.state.active_permits().any(|g| g.target == target(n));
                                let lost = |(n, p): &(usize, &Process)| {
                                    p.lost.is_some_and(|at| at < id) && !has_permit(*n)
                                };
                                let lost = world.processes.iter().enumerate().filter(lost).count();
                                world.over |= planned + lost > MOST;
                            }
                        }
                    }
                }
            }
        }
        (world.index <= self.entries + 2).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never more out by plan than the budget", |_, world: &World| {
                world.processes.iter().filter(|process| process.out_by_plan).count() <= MOST
            }),
            Property::always("no permit while losses have used the budget up", |_, world: &World| {
                !world.over
            }),
            Property::sometimes("a target is proven in again", |_, world: &World| world.closed),
        ]
    }
}

fn search(model: Permits) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if !name.starts_with("a target") {
            println!("{name}: {:#?}", path.into_actions());
        }
    }
    let found = checker.discoveries().into_keys().collect::<BTreeSet<_>>().into_iter().collect();
    println!("{} states, {} deep: {found:?}", checker.unique_state_count(), checker.max_depth());
    (checker.unique_state_count(), found)
}

const BASE: Permits = Permits { injected_bug: None, targets: 2, faults: 1, entries: 7 };

#[test]
fn permits_hold_in_every_order_of_events() {
    let (states, found) = search(BASE);
    assert!(states > 10_000);
    assert_eq!(found, ["a target is proven in again"]);
}

#[test]
fn every_injected_bug_is_found() {
    for (name, injected_bug) in InjectedBug::names() {
        let (_, found) = search(Permits { injected_bug: Some(*injected_bug), ..BASE });
        let broken: Vec<_> = found.into_iter().filter(|found| !found.starts_with("a target")).collect();
        assert!(!broken.is_empty(), "{name}");
    }
}
