//! Model check of the disruption state that the coordinators run: explores every order of events up to a bound, with
//! requesters that are paused, observations that arrive late, and targets that fail.

use std::collections::BTreeSet;

use disruption_budget::{
    Amount, Availability, Budget, BudgetScope, DisruptionCommand, DisruptionOutcome, DisruptionState,
    InjectedBug, PermitId, PermitState, Target, TargetKind, TargetStatus,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Maximum number of unavailable targets that the budget allows.
const MAX_UNAVAILABLE: usize = 1;
/// Maximum number of messages in flight.
const MAX_MESSAGES: usize = 2;
/// Number of entries by which messages in flight may exceed the bound on the log.
const MESSAGE_ENTRIES: u64 = 2;

const WITHIN_BUDGET: &str = "planned disruptions never exceed the budget";
const NO_GRANT_ON_LOSSES: &str = "no permit is granted while unplanned losses use up the budget";
const TARGET_RECOVERS: &str = "some target is proven available again";

/// Bounds of the model.
#[derive(Clone, Debug)]
struct PermitModel {
    injected_bug: Option<InjectedBug>,
    targets: usize,
    /// Maximum number of faults in total: failures of targets, changes of the observer, and restarts of requesters.
    faults: u8,
    /// Maximum number of entries in the log.
    entries: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Requester {
    Idle,
    Requested(PermitId),
    /// May carry out the disruption of the target with this incarnation, and has not done so yet.
    MayAct {
        permit: PermitId,
        incarnation: u64,
    },
    /// Carried out the disruption; the target is unavailable until it returns.
    Acted(PermitId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    incarnation: u64,
    is_drained: bool,
    /// Last log entry at the time of an unplanned failure of the process; `None` unless it has failed.
    failed_at: Option<u64>,
    requester: Requester,
}

impl Process {
    fn is_available(&self) -> bool {
        !self.is_drained && self.failed_at.is_none()
    }
}

/// Status of a target in an observation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct ObservedTarget {
    is_available: bool,
    incarnation: u64,
}

impl ObservedTarget {
    fn status(&self, process: usize) -> TargetStatus {
        TargetStatus {
            target: target(process),
            zone: String::new(),
            pool: String::new(),
            availability: if self.is_available { Availability::Available } else { Availability::Unavailable },
            incarnation: self.incarnation,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Begin { permit: PermitId, incarnation: u64 },
    Begun { permit: PermitId, incarnation: u64 },
    Observation { fencing_token: u64, known_revision: u64, targets: Vec<ObservedTarget> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    state: DisruptionState,
    index: u64,
    processes: Vec<Process>,
    in_flight: BTreeSet<Message>,
    fencing_token: u64,
    faults: u8,
    /// Whether a permit was granted although losses before its request had used up the budget.
    granted_on_losses: bool,
    /// Whether an observation closed a permit.
    recovered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Request(usize),
    /// A requester whose permit is granted sends the command to begin it, possibly again.
    Begin(usize),
    Act(usize),
    /// The target returns to service; its requester may or may not report that the disruption is complete.
    Return {
        process: usize,
        is_reported: bool,
    },
    Cancel(PermitId),
    Observe,
    Deliver(Message),
    Fail(usize),
    Recover(usize),
    NewObserver,
    /// The requester restarts and loses its state.
    Restart(usize),
}

fn target(process: usize) -> Target {
    Target { kind: TargetKind::Worker, name: process.to_string() }
}

impl World {
    fn apply(&mut self, command: &DisruptionCommand) -> DisruptionOutcome {
        self.index += 1;
        self.state.apply(self.index, command)
    }

    fn request(&mut self, process: usize) {
        let request = DisruptionCommand::RequestPermit {
            target: target(process),
            reason: String::new(),
            requester: process.to_string(),
            force: false,
        };
        if let DisruptionOutcome::PermitRequested { permit, .. } = self.apply(&request) {
            self.processes[process].requester = Requester::Requested(permit);
        }
    }

    /// Sends the command to begin a permit; `None` if the requester has requested none.
    fn begin(&mut self, process: usize) -> Option<()> {
        let Requester::Requested(permit) = self.processes[process].requester else { return None };
        let incarnation = self.processes[process].incarnation;
        self.in_flight.insert(Message::Begin { permit, incarnation });
        Some(())
    }

    /// Carries out the disruption; `None` if the requester may not.
    fn act(&mut self, process: usize) -> Option<()> {
        let Requester::MayAct { permit, .. } = self.processes[process].requester else { return None };
        self.processes[process].is_drained = true;
        self.processes[process].requester = Requester::Acted(permit);
        Some(())
    }

    /// Returns the target to service; `None` if the requester has not carried out the disruption.
    fn return_to_service(&mut self, process: usize, is_reported: bool) -> Option<()> {
        let Requester::Acted(permit) = self.processes[process].requester else { return None };
        let process = &mut self.processes[process];
        process.is_drained = false;
        process.requester = Requester::Idle;
        process.incarnation += 1;
        if is_reported {
            self.apply(&DisruptionCommand::CompletePermit { permit });
        }
        Some(())
    }

    fn observe(&mut self) {
        let observed = self.processes.iter().map(|process| ObservedTarget {
            is_available: process.is_available(),
            incarnation: process.incarnation,
        });
        let observation = Message::Observation {
            fencing_token: self.fencing_token,
            known_revision: self.index,
            targets: observed.collect(),
        };
        self.in_flight.insert(observation);
    }

    fn fail(&mut self, process: usize) {
        self.faults += 1;
        self.processes[process].failed_at = Some(self.index);
    }

    fn recover(&mut self, process: usize) {
        self.processes[process].failed_at = None;
        self.processes[process].incarnation += 1;
    }

    fn restart_requester(&mut self, process: usize) {
        self.faults += 1;
        let process = &mut self.processes[process];
        // If the disruption was carried out, the target returns to service without a report that it is complete.
        if process.is_drained {
            process.is_drained = false;
            process.incarnation += 1;
        }
        process.requester = Requester::Idle;
    }

    /// Delivers a message; `None` if it has no effect because no requester waits for it.
    fn deliver(&mut self, message: Message) -> Option<()> {
        self.in_flight.remove(&message);
        match message {
            Message::Begin { permit, incarnation } => {
                let begin = DisruptionCommand::BeginPermit { permit, incarnation };
                if let DisruptionOutcome::PermitBegun(permit) = self.apply(&begin) {
                    self.in_flight.insert(Message::Begun { permit, incarnation });
                }
            }
            Message::Begun { permit, incarnation } => {
                let requested = Requester::Requested(permit);
                let waiting = self.processes.iter_mut().find(|process| process.requester == requested);
                waiting?.requester = Requester::MayAct { permit, incarnation };
            }
            Message::Observation { fencing_token, known_revision, targets } => {
                self.record_observation(fencing_token, known_revision, &targets);
            }
        }
        Some(())
    }

    fn record_observation(&mut self, fencing_token: u64, known_revision: u64, targets: &[ObservedTarget]) {
        let changed =
            targets.iter().enumerate().map(|(process, observed)| observed.status(process)).collect();
        let observation = DisruptionCommand::RecordObservation {
            fencing_token,
            known_revision,
            changed,
            removed: Vec::new(),
        };
        if let DisruptionOutcome::ObservationRecorded { granted, closed, .. } = self.apply(&observation) {
            self.recovered |= !closed.is_empty();
            for permit in granted {
                let unavailable = self.state.active_permits().count() + self.losses_before(permit);
                self.granted_on_losses |= unavailable > MAX_UNAVAILABLE;
            }
        }
    }

    /// Returns the number of targets without an active permit that failed before this permit was requested.
    fn losses_before(&self, permit: PermitId) -> usize {
        let has_permit =
            |process: usize| self.state.active_permits().any(|active| active.target == target(process));
        let failed_before = |process: &Process| process.failed_at.is_some_and(|failed_at| failed_at < permit);
        let failed = self.processes.iter().enumerate().filter(|(_, process)| failed_before(process));
        failed.filter(|(process, _)| !has_permit(*process)).count()
    }

    fn can_log(&self, model: &PermitModel) -> bool {
        self.index < model.entries
    }

    fn can_send(&self) -> bool {
        self.in_flight.len() < MAX_MESSAGES
    }

    fn requester_actions(&self, model: &PermitModel, process: usize, actions: &mut Vec<Event>) {
        let Process { incarnation, requester, .. } = &self.processes[process];
        match requester {
            Requester::Idle if self.can_log(model) => actions.push(Event::Request(process)),
            Requester::Requested(id) => {
                let permit = self.state.permits().get(id);
                let is_active = permit.is_some_and(|permit| permit.state != PermitState::Waiting);
                if is_active && self.can_send() {
                    actions.push(Event::Begin(process));
                }
            }
            Requester::MayAct { incarnation: begun_incarnation, .. }
                if self.processes[process].is_available() && begun_incarnation == incarnation =>
            {
                actions.push(Event::Act(process));
            }
            Requester::Acted(_) if self.can_log(model) => {
                actions.extend([true, false].map(|is_reported| Event::Return { process, is_reported }));
            }
            _ => {}
        }
    }

    fn fault_actions(&self, model: &PermitModel, process: usize, actions: &mut Vec<Event>) {
        if self.faults < model.faults {
            actions.push(Event::Restart(process));
            if self.processes[process].is_available() {
                actions.push(Event::Fail(process));
            }
        }
        if self.processes[process].failed_at.is_some() {
            actions.push(Event::Recover(process));
        }
    }
}

impl Model for PermitModel {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let budget = Budget {
            name: "one".into(),
            kind: TargetKind::Worker,
            scope: BudgetScope::Fleet,
            max_unavailable: Some(Amount::Count(MAX_UNAVAILABLE as u32)),
            min_available: None,
        };
        let process =
            Process { incarnation: 1, is_drained: false, failed_at: None, requester: Requester::Idle };
        let mut world = World {
            state: DisruptionState::default().with_injected_bug(self.injected_bug),
            index: 0,
            processes: vec![process; self.targets],
            in_flight: BTreeSet::new(),
            fencing_token: 1,
            faults: 0,
            granted_on_losses: false,
            recovered: false,
        };
        world.apply(&DisruptionCommand::SetBudgets { expected_version: 0, budgets: vec![budget] });
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        actions.extend(world.in_flight.iter().cloned().map(Event::Deliver));
        if world.can_log(self) && world.can_send() {
            actions.push(Event::Observe);
        }
        for process in 0..world.processes.len() {
            world.requester_actions(self, process, actions);
            world.fault_actions(self, process, actions);
        }
        if world.faults < self.faults {
            actions.push(Event::NewObserver);
        }
        if world.can_log(self) {
            let granted =
                world.state.permits().iter().filter(|(_, permit)| permit.state == PermitState::Granted);
            actions.extend(granted.map(|(id, _)| Event::Cancel(*id)));
        }
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut world = world.clone();
        match event {
            Event::Request(process) => world.request(process),
            Event::Begin(process) => world.begin(process)?,
            Event::Act(process) => world.act(process)?,
            Event::Return { process, is_reported } => world.return_to_service(process, is_reported)?,
            Event::Cancel(permit) => {
                world.apply(&DisruptionCommand::CancelPermit { permit });
            }
            Event::Observe => world.observe(),
            Event::Fail(process) => world.fail(process),
            Event::Recover(process) => world.recover(process),
            Event::NewObserver => {
                world.faults += 1;
                world.fencing_token += 1;
            }
            Event::Restart(process) => world.restart_requester(process),
            Event::Deliver(message) => world.deliver(message)?,
        }
        (world.index <= self.entries + MESSAGE_ENTRIES).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(WITHIN_BUDGET, |_, world: &World| {
                world.processes.iter().filter(|process| process.is_drained).count() <= MAX_UNAVAILABLE
            }),
            Property::always(NO_GRANT_ON_LOSSES, |_, world: &World| !world.granted_on_losses),
            Property::sometimes(TARGET_RECOVERS, |_, world: &World| world.recovered),
        ]
    }
}

/// Returns the number of states, and the properties for which an example or a counterexample was found.
fn search(model: PermitModel) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if name != TARGET_RECOVERS {
            println!("{name}: {:#?}", path.into_actions());
        }
    }
    let found = checker.discoveries().into_keys().collect::<BTreeSet<_>>().into_iter().collect();
    println!("{} states, {} deep: {found:?}", checker.unique_state_count(), checker.max_depth());
    (checker.unique_state_count(), found)
}

const BASE: PermitModel = PermitModel { injected_bug: None, targets: 2, faults: 1, entries: 7 };

#[test]
fn permits_stay_within_budgets_in_every_order_of_events() {
    let (states, found) = search(BASE);
    assert!(states > 10_000);
    assert_eq!(found, [TARGET_RECOVERS]);
}

#[test]
fn every_injected_bug_is_found() {
    for (name, injected_bug) in InjectedBug::names() {
        let (_, found) = search(PermitModel { injected_bug: Some(*injected_bug), ..BASE });
        let violated: Vec<_> = found.into_iter().filter(|found| *found != TARGET_RECOVERS).collect();
        assert!(!violated.is_empty(), "{name}");
    }
}
