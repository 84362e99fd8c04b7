//! Account and permits in every order of events up to a bound, with askers that sleep, observers that are late, targets
//! that fail: on the very module that the keepers run.

use std::collections::BTreeSet;

use disruption_budget::{
    Account, Amount, Budget, Change, Condition, Cover, Flaw, Kind, Observed, Outcome, PermitId, State, Target,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

#[derive(Clone, Debug)]
struct Permits {
    flaw: Option<Flaw>,
    targets: usize,
    /// How often targets fail by themselves, observers change, and askers begin anew, together.
    troubles: u8,
    /// How many changes there may be in the log.
    entries: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Asker {
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
    asker: Asker,
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
    account: Account,
    index: u64,
    processes: Vec<Process>,
    net: BTreeSet<Message>,
    token: u64,
    troubles: u8,
    /// A permit was granted although what was lost before it was asked for had used the budget up.
    over: bool,
    proven: bool,
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
    Target { kind: Kind::Worker, name: n.to_string() }
}

impl World {
    fn apply(&mut self, change: &Change) -> Outcome {
        self.index += 1;
        self.account.apply(self.index, change)
    }
}

impl Model for Permits {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let budget = Budget {
            name: "one".into(),
            kind: Kind::Worker,
            cover: Cover::Fleet,
            most_out: Some(Amount::Count(MOST as u32)),
            least_in: None,
        };
        let process = Process { incarnation: 1, out_by_plan: false, lost: None, asker: Asker::Idle };
        let mut world = World {
            account: Account::default().with_flaw(self.flaw),
            index: 0,
            processes: vec![process; self.targets],
            net: BTreeSet::new(),
            token: 1,
            troubles: 0,
            over: false,
            proven: false,
        };
        world.apply(&Change::Budgets { seen: 0, budgets: vec![budget] });
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
            match process.asker {
                Asker::Idle if room => actions.push(Event::Ask(n)),
                Asker::Asked(id) => {
                    let granted = world.account.permits().get(&id).is_some_and(|p| p.state != State::Waiting);
                    if granted && world.net.len() < 2 {
                        actions.push(Event::Begin(n));
                    }
                }
                Asker::May(_, incarnation) if there && incarnation == process.incarnation => {
                    actions.push(Event::Act(n))
                }
                Asker::Did(_) if room => actions.extend([Event::Return(n, true), Event::Return(n, false)]),
                _ => {}
            }
            if world.troubles < self.troubles {
                actions.push(Event::Forget(n));
                if there {
                    actions.push(Event::Fail(n));
                }
            }
            if process.lost.is_some() {
                actions.push(Event::Recover(n));
            }
        }
        if world.troubles < self.troubles {
            actions.push(Event::NewObserver);
        }
        if room {
            let granted = world.account.permits().iter().filter(|(_, permit)| permit.state == State::Granted);
            actions.extend(granted.map(|(id, _)| Event::Void(*id)));
        }
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut world = world.clone();
        match event {
            Event::Ask(n) => {
                let (reason, asker) = (String::new(), n.to_string());
                let ask = Change::Ask { target: target(n), reason, asker, force: false };
                if let Outcome::Asked(id, _) = world.apply(&ask) {
                    world.processes[n].asker = Asker::Asked(id);
                }
            }
            Event::Begin(n) => {
                let Asker::Asked(id) = world.processes[n].asker else { return None };
                let incarnation = world.processes[n].incarnation;
                world.net.insert(Message::Begin(id, incarnation));
            }
            Event::Act(n) => {
                let Asker::May(id, _) = world.processes[n].asker else { return None };
                (world.processes[n].out_by_plan, world.processes[n].asker) = (true, Asker::Did(id));
            }
            Event::Return(n, said) => {
                let Asker::Did(id) = world.processes[n].asker else { return None };
                let process = &mut world.processes[n];
                (process.out_by_plan, process.asker) = (false, Asker::Idle);
                process.incarnation += 1;
                if said {
                    world.apply(&Change::Done { permit: id });
                }
            }
            Event::Void(id) => {
                world.apply(&Change::Void { permit: id });
            }
            Event::Look => {
                let there = |p: &Process| (!p.out_by_plan && p.lost.is_none(), p.incarnation);
                let seen = world.processes.iter().map(there).collect();
                world.net.insert(Message::Look(world.token, world.index, seen));
            }
            Event::Fail(n) => {
                world.troubles += 1;
                world.processes[n].lost = Some(world.index);
            }
            Event::Recover(n) => {
                world.processes[n].lost = None;
                world.processes[n].incarnation += 1;
            }
            Event::NewObserver => {
                world.troubles += 1;
                world.token += 1;
            }
            Event::Forget(n) => {
                world.troubles += 1;
                // What it did is done; the target comes back without anybody saying so.
                if world.processes[n].out_by_plan {
                    world.processes[n].out_by_plan = false;
                    world.processes[n].incarnation += 1;
                }
                world.processes[n].asker = Asker::Idle;
            }
            Event::Deliver(message) => {
                world.net.remove(&message);
                match message {
                    Message::Begin(permit, incarnation) => {
                        if let Outcome::Begun(id) = world.apply(&Change::Begin { permit, incarnation }) {
                            world.net.insert(Message::Begun(id, incarnation));
                        }
                    }
                    Message::Begun(id, incarnation) => {
                        let waits = world.processes.iter_mut().find(|p| p.asker == Asker::Asked(id));
                        waits?.asker = Asker::May(id, incarnation);
                    }
                    Message::Look(token, seen, targets) => {
                        let one = |(n, (there, incarnation)): (usize, &(bool, u64))| Observed {
                            target: target(n),
                            zone: String::new(),
                            pool: String::new(),
                            condition: if *there { Condition::In } else { Condition::Out },
                            incarnation: *incarnation,
                        };
                        let targets = targets.iter().enumerate().map(one).collect();
                        let change = Change::Observe { token, seen, targets, gone: Vec::new() };
                        if let Outcome::Observed { granted, proven, .. } = world.apply(&change) {
                            world.proven |= !proven.is_empty();
                            let planned = world.account.granted().count();
                            for id in granted {
                                let by_plan =
                                    |n: usize| world.account.granted().any(|g| g.target == target(n));
                                let lost = |(n, p): &(usize, &Process)| {
                                    p.lost.is_some_and(|at| at < id) && !by_plan(*n)
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
            Property::sometimes("a target is proven in again", |_, world: &World| world.proven),
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

const BASE: Permits = Permits { flaw: None, targets: 2, troubles: 1, entries: 7 };

#[test]
fn permits_hold_in_every_order_of_events() {
    let (states, found) = search(BASE);
    assert!(states > 10_000);
    assert_eq!(found, ["a target is proven in again"]);
}

#[test]
fn every_flaw_is_found() {
    for (name, flaw) in Flaw::names() {
        let (_, found) = search(Permits { flaw: Some(*flaw), ..BASE });
        let broken: Vec<_> = found.into_iter().filter(|found| !found.starts_with("a target")).collect();
        assert!(!broken.is_empty(), "{name}");
    }
}
