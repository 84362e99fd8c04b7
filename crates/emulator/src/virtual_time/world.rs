//! All parties of a day, and the queue of events between them.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

use dispatch_core::api::{
    Action, Class, Endpoint, Event, Idempotency, ListScope, Outcome, Request, RequestId, Seconds, Settings,
    Tenant, WorkerId, WorkerState,
};
use dispatch_core::settings::worker_id;
use rand::Rng as _;
use rand_distr::{Distribution as _, LogNormal};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::checker::{Checker, Limits};
use crate::day::{micros, seconds, stream, Day, Micros, Mishap, DAWN};
use crate::figures::{End, Ran, Record};
use crate::router::{Router, Sight};
use crate::spec::{Arm, Experiment};
use crate::standin::worker::{progress, Fall, Note, Phase, Task, Worker};

/// A dispatcher handles what came in this often at the finest, in seconds; it is told so.
const RESOLUTION: Seconds = 0.005;
/// A request that a router still holds this long after its deadline is answered without it.
const OVERDUE: Micros = 10_000;
/// What is not over this long after the last client came is not waited for.
const TAIL: Micros = 120_000_000;
/// A retry with less time than this is not worth a client's while.
const SHORTEST_RETRY: Micros = 100_000;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
enum Happens {
    Try(u32),
    Leave(u32),
    Deadline(u32),
    Overdue(u32),
    AttemptDeadline(u32),
    Timer(u32, u32, u64),
    Write(u32),
    Reach(u32),
    Wake(u32, u32),
    Back(u32, Note),
    Unconnected(u32),
    Mishap(u32),
    Publish(u32),
    Told(u32, u32),
    Ends(u32, u32),
    Starts(u32),
    Up(u32),
}

struct Due {
    at: Micros,
    order: u64,
    happens: Happens,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A dispatcher: its router, and what surrounds it in the real program.
struct Host {
    router: Option<Box<dyn Router>>,
    zone: u32,
    life: u32,
    /// The list, as the agent on its machine has it, and as it last held it itself.
    agent: BTreeMap<u64, Endpoint>,
    /// Tries that it took and has not concluded, or whose attempts are out.
    open: FxHashMap<RequestId, Open>,
    /// When the idle connections to each worker were last used.
    idle: FxHashMap<u32, Vec<Micros>>,
}

struct Open {
    attempt: Vec<u32>,
    answered: bool,
    never_ran: bool,
}

/// One go of a client at a job.
struct Try {
    job: u32,
    second: bool,
    deadline: Micros,
}

/// One push of a try to a worker.
struct Attempt {
    host: u32,
    life: u32,
    try_no: u32,
    number: u32,
    worker: u32,
    /// The worker's process: a later one of the same name knows nothing of it.
    process: u32,
    out: bool,
    /// Its number among the sends that the checker knows, once it is written.
    send: Option<usize>,
    /// The run, while it runs.
    run: Option<u32>,
}

/// A day being played.
pub(super) struct World<'a> {
    experiment: &'a Experiment,
    day: &'a Day,
    arm: &'a Arm,
    make: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    hosts: Vec<Host>,
    workers: Vec<Worker>,
    ids: Vec<WorkerId>,
    wakes: Vec<u32>,
    processes: Vec<u32>,
    connections: Vec<u32>,
    index: FxHashMap<WorkerId, u32>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    lists: Vec<Vec<Endpoint>>,
    publications: BTreeMap<Micros, u32>,
    noise: Vec<Option<LogNormal<f64>>>,
    checker: Checker,
    record: Record,
    /// Tries to come, and those that are open.
    coming: u64,
    open: u64,
    notes: Vec<Note>,
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    pub(super) fn new(
        experiment: &'a Experiment,
        arm: &'a Arm,
        day: &'a Day,
        make: &'a dyn Fn(Settings, u64) -> Box<dyn Router>,
    ) -> World<'a> {
        let rules = &experiment.rules;
        let limits =
            Limits { drain_grace: micros(rules.drain_grace), answer_slack: micros(rules.answer_slack) };
        let jobs = day.jobs.len();
        let noise = day.noise.iter().map(|cv| LogNormal::new(-cv * cv / 2.0, *cv).ok()).collect();
        let mut world = World {
            experiment,
            day,
            arm,
            make,
            rng: stream(day.seed, 4),
            now: DAWN,
            queue: BinaryHeap::new(),
            order: 0,
            hosts: Vec::new(),
            workers: Vec::new(),
            ids: Vec::new(),
            wakes: Vec::new(),
            processes: Vec::new(),
            connections: Vec::new(),
            index: FxHashMap::default(),
            tries: Vec::with_capacity(jobs),
            attempts: Vec::with_capacity(jobs),
            lists: Vec::new(),
            publications: BTreeMap::new(),
            noise,
            checker: Checker::new(limits),
            record: Record {
                ends: vec![None; jobs],
                admitted: vec![false; jobs],
                sent: vec![None; jobs],
                ..Record::default()
            },
            coming: 0,
            open: 0,
            notes: Vec::new(),
            actions: Vec::new(),
        };
        for plan in &day.workers {
            world.enlist(Worker::new(plan.clone(), None, DAWN, progress()));
        }
        let members: Vec<Endpoint> = (0..world.workers.len()).map(|w| world.member(w as u32)).collect();
        for plan in &day.dispatchers {
            world.hosts.push(Host {
                router: None,
                zone: plan.zone,
                life: 0,
                agent: members.iter().map(|m| (m.worker.0, *m)).collect(),
                open: FxHashMap::default(),
                idle: FxHashMap::default(),
            });
        }
        (0..world.hosts.len()).for_each(|host| world.up(host as u32));
        for n in 0..jobs {
            let job = &day.jobs[n];
            let class = &experiment.traffic.classes[job.class as usize];
            world.coming(n as u32, false, job.at, job.at + micros(class.patience));
        }
        for (n, (at, _)) in day.mishaps.iter().enumerate() {
            world.at(*at, Happens::Mishap(n as u32));
        }
        world
    }

    pub(super) fn run(mut self) -> Record {
        while let Some(Reverse(due)) = self.queue.pop() {
            if (self.coming == 0 && self.open == 0) || due.at > self.day.end + TAIL {
                break;
            }
            self.now = due.at;
            self.record.events += 1;
            self.happen(due.happens);
        }
        // What still runs at the end has no end.
        for (w, worker) in self.workers.iter().enumerate() {
            if let Some(entry) = self.record.workers.get_mut(w) {
                if worker.phase == Phase::Serving {
                    entry.3 = Micros::MAX;
                }
            }
        }
        self.record.rules = self.checker.finish();
        self.record.tries = self.tries.len() as u64;
        self.record
    }

    fn at(&mut self, at: Micros, happens: Happens) {
        self.order += 1;
        self.queue.push(Reverse(Due { at, order: self.order, happens }));
    }

    fn happen(&mut self, happens: Happens) {
        match happens {
            Happens::Try(n) => self.on_try(n),
            Happens::Leave(n) => self.on_leave(n),
            Happens::Deadline(n) => self.on_deadline(n),
            Happens::Overdue(n) => self.on_overdue(n),
            Happens::AttemptDeadline(n) => self.give_up(n, Outcome::Timeout),
            Happens::Timer(host, life, token) => {
                if self.hosts[host as usize].life == life {
                    self.tell(host, Event::Timer(token));
                }
            }
            Happens::Write(n) => self.on_write(n),
            Happens::Reach(n) => self.on_reach(n),
            Happens::Wake(w, turn) => {
                if self.wakes[w as usize] == turn {
                    let mut notes = std::mem::take(&mut self.notes);
                    self.workers[w as usize].wake(self.now, &mut notes);
                    self.said(w, notes);
                }
            }
            Happens::Back(n, note) => self.on_back(n, note),
            Happens::Unconnected(n) => self.end(n, Outcome::ConnectFailed),
            Happens::Mishap(n) => self.on_mishap(self.day.mishaps[n as usize].1),
            Happens::Publish(list) => {
                for host in 0..self.hosts.len() {
                    let spread = self.day.dispatchers[host].spread;
                    self.at(self.now + spread, Happens::Told(host as u32, list));
                }
            }
            Happens::Told(host, list) => self.on_told(host, list),
            Happens::Ends(w, process) => {
                if self.processes[w as usize] == process {
                    self.kill(w);
                    self.publish(self.member_as(w, WorkerState::Removed), self.day.discovery.notice);
                }
            }
            Happens::Starts(w) => self.on_start(w),
            Happens::Up(host) => self.up(host),
        }
    }

    // Clients.

    fn coming(&mut self, job: u32, second: bool, at: Micros, deadline: Micros) {
        self.coming += 1;
        let n = self.tries.len() as u32;
        self.tries.push(Try { job, second, deadline });
        self.at(at, Happens::Try(n));
    }

    fn request(n: u32) -> RequestId {
        RequestId(u64::from(n) + 1)
    }

    fn on_try(&mut self, n: u32) {
        self.coming -= 1;
        let (job_no, deadline) = (self.tries[n as usize].job, self.tries[n as usize].deadline);
        let job = &self.day.jobs[job_no as usize];
        let host = job.dispatcher;
        if job.leaves.is_some_and(|leaves| leaves <= self.now) {
            return self.conclude(n, End::Left);
        }
        if self.hosts[host as usize].router.is_none() {
            // Nobody listens: any class may try again.
            return self.retry_or(n, None, End::Failed(self.now));
        }
        self.open += 1;
        let id = Self::request(n);
        let class = &self.experiment.traffic.classes[job.class as usize];
        self.checker.took(id.0, class.repeat, micros(class.window), deadline);
        let open = Open { attempt: Vec::new(), answered: false, never_ran: true };
        self.hosts[host as usize].open.insert(id, open);
        self.at(deadline, Happens::Deadline(n));
        if let Some(leaves) = job.leaves.filter(|leaves| *leaves < deadline) {
            self.at(leaves, Happens::Leave(n));
        }
        let request = Request {
            id,
            class: job.class,
            tenant: job.tenant,
            slots: f64::from(job.slots),
            memory: 0.0,
            timeout: seconds(deadline - self.now),
            is_retry: false,
            expected_run_time: None,
            affinity_key: None,
        };
        self.tell(host, Event::Request(request));
        let answered = self.hosts[host as usize].open.get(&id).is_none_or(|open| open.answered);
        if !answered {
            self.record.admitted[job_no as usize] = true;
        }
    }

    fn is_open(&self, n: u32) -> bool {
        let host = self.day.jobs[self.tries[n as usize].job as usize].dispatcher;
        self.hosts[host as usize].open.get(&Self::request(n)).is_some_and(|open| !open.answered)
    }

    fn on_leave(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request(n);
        self.checker.excuse(id.0);
        self.conclude(n, End::Left);
        self.settle(n);
        let host = self.day.jobs[self.tries[n as usize].job as usize].dispatcher;
        self.tell(host, Event::ClientDisconnected(id));
        self.tidy(host, id);
    }

    fn on_deadline(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let host = self.day.jobs[self.tries[n as usize].job as usize].dispatcher;
        let out = self.hosts[host as usize].open.get(&Self::request(n)).map(|o| o.attempt.clone());
        for attempt in out.unwrap_or_default() {
            self.give_up(attempt, Outcome::Timeout);
        }
        if self.is_open(n) {
            self.at(self.now + OVERDUE, Happens::Overdue(n));
        }
    }

    fn on_overdue(&mut self, n: u32) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request(n);
        let host = self.day.jobs[self.tries[n as usize].job as usize].dispatcher;
        let open = self.hosts[host as usize].open.get(&id);
        let harmless =
            open.is_some_and(|o| o.never_ran && !o.attempt.iter().any(|a| self.attempts[*a as usize].out));
        self.answer(n, harmless.then_some(None));
        self.tell(host, Event::ClientDisconnected(id));
        self.tidy(host, id);
    }

    /// Gives the client its answer: refused with when to come back, or failed.
    fn answer(&mut self, n: u32, refused: Option<Option<Seconds>>) {
        if !self.is_open(n) {
            return;
        }
        let id = Self::request(n);
        self.checker.answered(id.0, refused.is_some(), self.now);
        let job = &self.day.jobs[self.tries[n as usize].job as usize];
        let class = &self.experiment.traffic.classes[job.class as usize];
        match refused {
            Some(after) => self.retry_or(n, after, End::Refused(self.now)),
            None if class.repeat == Idempotency::Idempotent => self.retry_or(n, None, End::Failed(self.now)),
            None => self.conclude(n, End::Failed(self.now)),
        }
        self.settle(n);
    }

    /// The client tries once more where it does that, or takes the end as it is.
    fn retry_or(&mut self, n: u32, after: Option<Seconds>, end: End) {
        let (job_no, second, deadline) = {
            let t = &self.tries[n as usize];
            (t.job, t.second, t.deadline)
        };
        let job = &self.day.jobs[job_no as usize];
        let Some(wait) = job.retries.filter(|_| !second) else { return self.conclude(n, end) };
        let asked = after.filter(|_| job.honours).map_or(0, micros);
        let at = self.now + wait.max(asked);
        if at + SHORTEST_RETRY > deadline {
            return self.conclude(n, end);
        }
        self.coming(job_no, true, at, deadline);
    }

    fn conclude(&mut self, n: u32, end: End) {
        let job = self.tries[n as usize].job as usize;
        self.record.ends[job] = Some(end);
    }

    /// The try has its answer, or is owed none.
    fn settle(&mut self, n: u32) {
        let host = self.day.jobs[self.tries[n as usize].job as usize].dispatcher;
        if let Some(open) = self.hosts[host as usize].open.get_mut(&Self::request(n)) {
            if !open.answered {
                open.answered = true;
                self.open -= 1;
            }
        }
    }

    // Dispatchers.

    fn settings(&self, host: usize) -> Settings {
        let rules = &self.experiment.rules;
        let classes = self.experiment.traffic.classes.iter();
        let tenants = self.experiment.traffic.tenants.iter().zip(&self.day.quotas);
        Settings {
            instance: host as u32,
            instances: self.day.dispatchers.len() as u32,
            zone: self.day.dispatchers[host].zone,
            classes: classes
                .map(|c| Class {
                    idempotency: c.repeat,
                    key_window: c.window,
                    latency_objective: c.aim,
                    run_time_allowance: c.stretch,
                    late_weight: c.late_worth,
                    required_kind: None,
                })
                .collect(),
            tenants: tenants
                .map(|(t, quota)| Tenant { share: t.share, quota: quota * self.arm.quota })
                .collect(),
            cancellation_allowed: true,
            max_attempts: self.arm.attempts.unwrap_or(rules.attempts),
            max_retry_after: self.experiment.clients.retry_after,
            reports_job_start: true,
            progress_interval: seconds(progress()),
            hedging_allowed: self.arm.copies,
            slow_start_min_capacity: rules.cold_share,
            slow_start_duration: rules.warm,
            overload_multiple: rules.fall_multiple,
            overload_window: rules.fall,
            cross_zone_price: rules.cross_zone_price,
            clock_resolution: RESOLUTION,
            capacity_reservation: self.arm.room,
            ..Settings::default()
        }
    }

    /// A dispatcher starts with its last list, and asks for the whole one at once.
    fn up(&mut self, host: u32) {
        let settings = self.settings(host as usize);
        let h = &mut self.hosts[host as usize];
        let seed = self.day.seed ^ (u64::from(host) << 32) ^ (u64::from(h.life) << 48);
        h.router = Some((self.make)(settings, seed));
        let known: Vec<Endpoint> = h.agent.values().copied().collect();
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(router) = &mut h.router {
            router.start(seconds(self.now), &mut actions);
        }
        self.act(host, actions);
        self.tell(host, Event::EndpointList { scope: ListScope::Cached, endpoints: &known });
        self.told_of(host, &known);
        self.tell(host, Event::EndpointList { scope: ListScope::Full, endpoints: &known });
    }

    fn told_of(&mut self, host: u32, members: &[Endpoint]) {
        let life = self.life(host);
        for member in members.iter().filter(|m| m.state != WorkerState::Serving) {
            self.checker.told_drain(life, member.worker.0, self.now);
        }
    }

    /// A number of this life of the dispatcher, for the checker.
    fn life(&self, host: u32) -> u32 {
        self.hosts[host as usize].life * self.hosts.len() as u32 + host
    }

    fn on_told(&mut self, host: u32, list: u32) {
        let members = std::mem::take(&mut self.lists[list as usize]);
        let h = &mut self.hosts[host as usize];
        h.agent.extend(members.iter().map(|m| (m.worker.0, *m)));
        if h.router.is_some() {
            self.told_of(host, &members);
            self.tell(host, Event::EndpointList { scope: ListScope::Incremental, endpoints: &members });
        }
        self.lists[list as usize] = members;
    }

    fn tell(&mut self, host: u32, event: Event<'_>) {
        let Some(mut router) = self.hosts[host as usize].router.take() else { return };
        let mut actions = std::mem::take(&mut self.actions);
        router.on_event(seconds(self.now), event, &mut actions, self);
        self.hosts[host as usize].router = Some(router);
        self.act(host, actions);
    }

    fn act(&mut self, host: u32, mut actions: Vec<Action>) {
        let life = self.hosts[host as usize].life;
        for action in actions.drain(..) {
            match action {
                Action::Send { request, worker, timeout } => self.send(host, request, worker, timeout),
                Action::Reject { request, retry_after } => {
                    self.answer((request.0 - 1) as u32, Some(retry_after));
                    self.tidy(host, request);
                }
                Action::Fail { request } => {
                    self.answer((request.0 - 1) as u32, None);
                    self.tidy(host, request);
                }
                Action::Cancel { request, attempt } => {
                    let open = self.hosts[host as usize].open.get(&request);
                    if let Some(n) = open.and_then(|o| o.attempt.get(attempt as usize)).copied() {
                        self.give_up(n, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after, token } => {
                    self.at(self.now + micros(after).max(1), Happens::Timer(host, life, token));
                }
                Action::CloseIdle(worker) => {
                    if let Some(w) = self.index.get(&worker) {
                        self.hosts[host as usize].idle.remove(w);
                    }
                }
                Action::Watch(_)
                | Action::FetchEndpointList
                | Action::Probe(_)
                | Action::SendToPeer { .. }
                | Action::Log(_) => {}
            }
        }
        // Actions may cause more, which were carried out with a buffer of their own.
        if actions.capacity() > self.actions.capacity() {
            self.actions = actions;
        }
    }

    /// Forgets a try that is concluded and has no attempt out.
    fn tidy(&mut self, host: u32, id: RequestId) {
        let over = self.hosts[host as usize]
            .open
            .get(&id)
            .is_some_and(|o| o.answered && !o.attempt.iter().any(|a| self.attempts[*a as usize].out));
        if over {
            self.hosts[host as usize].open.remove(&id);
            self.checker.close(id.0);
        }
    }

    fn send(&mut self, host: u32, request: RequestId, worker: WorkerId, timeout: Option<Seconds>) {
        let Some(&w) = self.index.get(&worker) else { return };
        let try_no = (request.0 - 1) as u32;
        let n = self.attempts.len() as u32;
        let h = &mut self.hosts[host as usize];
        let Some(open) = h.open.get_mut(&request) else { return };
        let number = open.attempt.len() as u32;
        open.attempt.push(n);
        let late = open.answered || self.now >= self.tries[try_no as usize].deadline;
        self.attempts.push(Attempt {
            host,
            life: h.life,
            try_no,
            number,
            worker: w,
            process: self.processes[w as usize],
            out: true,
            send: None,
            run: None,
        });
        if late {
            return self.end(n, Outcome::NotSent);
        }
        if let Some(timeout) = timeout {
            self.at(self.now + micros(timeout), Happens::AttemptDeadline(n));
        }
        let kept = self.hosts[host as usize].idle.get_mut(&w).and_then(|idle| {
            let before = idle.len();
            idle.retain(|used| used + self.day.network.idle > self.now);
            let gone = (before - idle.len()) as u32;
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(gone);
            idle.pop()
        });
        if kept.is_some() {
            return self.on_write(n);
        }
        self.record.connects += 1;
        let net = &self.day.network;
        let way = self.way(host, w);
        let up = self.workers[w as usize].phase != Phase::Ended;
        if !up || self.connections[w as usize] >= self.workers[w as usize].plan.connections {
            return self.at(self.now + 2 * way, Happens::Unconnected(n));
        }
        self.connections[w as usize] += 1;
        let shake = (2.0 * way as f64 * net.handshake_rtts) as Micros + micros(net.handshake);
        self.at(self.now + shake, Happens::Write(n));
    }

    /// One way between a dispatcher and a worker, for this message.
    fn way(&mut self, host: u32, worker: u32) -> Micros {
        let net = &self.day.network;
        let near = self.hosts[host as usize].zone == self.workers[worker as usize].plan.zone;
        let way = if near { net.same_zone } else { net.cross_zone };
        micros(way * (1.0 + net.jitter * self.rng.random_range(0.0..1.0))).max(1)
    }

    /// The connection stands: the request is written, unless the worker was told to drain meanwhile.
    fn on_write(&mut self, n: u32) {
        let (host, w, try_no, out) = {
            let a = &self.attempts[n as usize];
            (a.host, a.worker, a.try_no, a.out && self.hosts[a.host as usize].life == a.life)
        };
        if !out {
            return;
        }
        let serving = self.hosts[host as usize]
            .agent
            .get(&self.ids[w as usize].0)
            .is_some_and(|m| m.state == WorkerState::Serving);
        if !serving {
            return self.end(n, Outcome::NotSent);
        }
        let place = (self.workers[w as usize].plan.zone, self.workers[w as usize].plan.rack);
        let life = self.life(host);
        let send = self.checker.sent(life, Self::request(try_no).0, self.ids[w as usize].0, place, self.now);
        self.attempts[n as usize].send = Some(send);
        self.record.sends += 1;
        let job = self.tries[try_no as usize].job as usize;
        self.record.sent[job] = self.record.sent[job].or(Some(self.now));
        self.record.crossings += u64::from(place.0 != self.hosts[host as usize].zone);
        let way = self.way(host, w);
        self.at(self.now + way, Happens::Reach(n));
    }

    /// Stops waiting for an attempt that is out.
    fn give_up(&mut self, n: u32, outcome: Outcome) {
        let (out, w) = (self.attempts[n as usize].out, self.attempts[n as usize].worker);
        if !out {
            return;
        }
        let mut notes = std::mem::take(&mut self.notes);
        if self.workers[w as usize].cancel(n as usize, self.now, &mut notes) {
            // It never began, though nobody tells the dispatcher.
            self.attempts[n as usize].run = None;
        }
        self.said(w, notes);
        self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
        self.end(n, outcome);
    }

    /// An attempt ends for its dispatcher.
    fn end(&mut self, n: u32, outcome: Outcome) {
        let (host, life, number, try_no, send) = {
            let a = &mut self.attempts[n as usize];
            if !std::mem::replace(&mut a.out, false) {
                return;
            }
            (a.host, a.life, a.number, a.try_no, a.send)
        };
        if self.hosts[host as usize].life != life {
            return;
        }
        let id = Self::request(try_no);
        if let (Some(send), true) = (send, outcome.never_ran()) {
            self.checker.never_ran(id.0, send);
        }
        if let Some(open) = self.hosts[host as usize].open.get_mut(&id) {
            open.never_ran &= outcome.never_ran();
        }
        if outcome == Outcome::Ok && self.is_open(try_no) {
            self.checker.answered(id.0, false, self.now);
            self.conclude(try_no, End::Served(self.now));
            self.settle(try_no);
        }
        let complete = !self.is_open(try_no);
        self.tell(host, Event::AttemptEnded { request: id, attempt: number, outcome, complete, load: None });
        self.tidy(host, id);
    }

    // Workers.

    fn enlist(&mut self, worker: Worker) -> u32 {
        let w = self.workers.len() as u32;
        let id = worker_id(&format!("w-{w}"));
        let warm_from = worker.since.map_or(0, |since| since + micros(worker.plan.warm));
        self.record.workers.push((worker.plan.speed, worker.plan.slots, warm_from, Micros::MAX));
        self.index.insert(id, w);
        self.ids.push(id);
        self.workers.push(worker);
        self.wakes.push(0);
        self.processes.push(0);
        self.connections.push(0);
        w
    }

    fn member(&self, w: u32) -> Endpoint {
        self.member_as(w, WorkerState::Serving)
    }

    fn member_as(&self, w: u32, state: WorkerState) -> Endpoint {
        let worker = &self.workers[w as usize];
        Endpoint {
            worker: self.ids[w as usize],
            kind: worker.plan.kind as u32,
            zone: worker.plan.zone,
            cell: worker.plan.rack,
            started_at: worker.since.map_or(0.0, seconds),
            state,
        }
    }

    /// A change of the list goes out with the others of its period.
    fn publish(&mut self, member: Endpoint, after: Micros) {
        let period = self.day.discovery.period.max(1);
        let at = (self.now + after).div_ceil(period) * period;
        let list = match self.publications.get(&at) {
            Some(list) => *list,
            None => {
                let list = self.lists.len() as u32;
                self.lists.push(Vec::new());
                self.publications.insert(at, list);
                self.at(at, Happens::Publish(list));
                list
            }
        };
        self.lists[list as usize].push(member);
    }

    fn on_reach(&mut self, n: u32) {
        let (w, process, host, try_no) = {
            let a = &self.attempts[n as usize];
            (a.worker, a.process, a.host, a.try_no)
        };
        if self.processes[w as usize] != process || self.workers[w as usize].phase == Phase::Ended {
            let way = self.way(host, w);
            return self.at(self.now + way, Happens::Back(n, Note::Lost(n as usize)));
        }
        let job = &self.day.jobs[self.tries[try_no as usize].job as usize];
        let noise = match &self.noise[job.class as usize] {
            Some(noise) => noise.sample(&mut self.rng),
            None => 1.0,
        };
        let worker = &self.workers[w as usize];
        let fails = self.rng.random_bool(worker.plan.errors);
        let known = self.hosts[host as usize].agent.get(&self.ids[w as usize].0);
        let since = worker.since.map_or(0.0, seconds);
        let informed = known.is_some_and(|m| m.started_at >= since);
        let usual = self.day.means[job.class as usize] * f64::from(job.slots);
        let work = job.work * noise;
        let task = Task { attempt: n as usize, slots: job.slots, work, usual, fails, informed };
        let fall =
            Fall { multiple: self.experiment.rules.fall_multiple, span: micros(self.experiment.rules.fall) };
        let mut notes = std::mem::take(&mut self.notes);
        let fallen = self.workers[w as usize].take(task, self.now, fall, &mut notes);
        if let Some(fallen) = fallen {
            self.checker.fell_over(fallen.by_informed);
            self.processes[w as usize] += 1;
            self.publish(self.member_as(w, WorkerState::Removed), self.day.discovery.silent);
        }
        self.said(w, notes);
    }

    /// Takes what a worker says, and wakes it when it is due next.
    fn said(&mut self, w: u32, mut notes: Vec<Note>) {
        for note in notes.drain(..) {
            let n = match note {
                Note::Started(n)
                | Note::Running(n, _)
                | Note::Done(n)
                | Note::Failed(n)
                | Note::Returned(n)
                | Note::Lost(n) => n as u32,
            };
            match note {
                Note::Started(_) => {
                    let job = self.tries[self.attempts[n as usize].try_no as usize].job;
                    self.attempts[n as usize].run = Some(self.record.ran.len() as u32);
                    self.record.ran.push(Ran { job, worker: w, from: self.now, to: Micros::MAX });
                }
                Note::Done(_) | Note::Failed(_) | Note::Lost(_) => {
                    if let Some(run) = self.attempts[n as usize].run.take() {
                        self.record.ran[run as usize].to = self.now;
                    }
                }
                _ => {}
            }
            let host = self.attempts[n as usize].host;
            let way = self.way(host, w);
            self.at(self.now + way, Happens::Back(n, note));
        }
        self.notes = notes;
        self.wakes[w as usize] += 1;
        if let Some(next) = self.workers[w as usize].next() {
            self.at(next, Happens::Wake(w, self.wakes[w as usize]));
        }
    }

    fn on_back(&mut self, n: u32, note: Note) {
        let (host, life, w, process, number, try_no, out) = {
            let a = &self.attempts[n as usize];
            (a.host, a.life, a.worker, a.process, a.number, a.try_no, a.out)
        };
        if !out || self.hosts[host as usize].life != life {
            return;
        }
        let (request, attempt) = (Self::request(try_no), number);
        let outcome = match note {
            Note::Started(_) => return self.tell(host, Event::JobStarted { request, attempt }),
            Note::Running(_, done) => return self.tell(host, Event::Progress { request, attempt, done }),
            Note::Done(_) => Outcome::Ok,
            Note::Failed(_) => Outcome::Error,
            Note::Returned(_) => Outcome::Overloaded,
            Note::Lost(_) => Outcome::Reset,
        };
        if outcome != Outcome::Reset && self.processes[w as usize] == process {
            self.hosts[host as usize].idle.entry(w).or_default().push(self.now);
        }
        self.end(n, outcome);
    }

    /// A worker's process ends: what it has is lost, and so are the connections to it.
    fn kill(&mut self, w: u32) {
        self.processes[w as usize] += 1;
        self.connections[w as usize] = 0;
        self.record.workers[w as usize].3 = self.now;
        for host in &mut self.hosts {
            host.idle.remove(&w);
        }
        let mut notes = std::mem::take(&mut self.notes);
        self.workers[w as usize].end(self.now, &mut notes);
        self.said(w, notes);
    }

    fn on_mishap(&mut self, mishap: Mishap) {
        match mishap {
            Mishap::Hang(w, hung) => {
                let mut notes = std::mem::take(&mut self.notes);
                self.workers[w].hang(hung, self.now, &mut notes);
                self.said(w as u32, notes);
            }
            Mishap::Neighbour(w, part) => {
                self.workers[w].take_away(part, self.now);
                self.said(w as u32, Vec::new());
            }
            Mishap::Replace(w, lasts) => {
                if self.workers[w].phase == Phase::Serving {
                    let mut notes = std::mem::take(&mut self.notes);
                    self.workers[w].drain(self.now, &mut notes);
                    self.record.workers[w].3 = self.now;
                    self.said(w as u32, notes);
                    self.publish(self.member_as(w as u32, WorkerState::Draining), self.day.discovery.notice);
                    let process = self.processes[w];
                    self.at(self.now + lasts, Happens::Ends(w as u32, process));
                    // Its successor has another name.
                    let plan = self.workers[w].plan.clone();
                    let since = self.now + lasts;
                    let mut successor = Worker::new(plan, Some(since), since, progress());
                    successor.phase = Phase::Ended;
                    let next = self.enlist(successor);
                    self.at(since, Happens::Starts(next));
                }
            }
            Mishap::Crash(w, lasts) => {
                self.kill(w as u32);
                self.at(self.now + lasts, Happens::Starts(w as u32));
            }
            Mishap::Restart(host, lasts) => self.on_restart(host as u32, lasts),
        }
    }

    fn on_start(&mut self, w: u32) {
        let plan = self.workers[w as usize].plan.clone();
        let warm = micros(plan.warm);
        self.workers[w as usize] = Worker::new(plan, Some(self.now), self.now, progress());
        (self.record.workers[w as usize].2, self.record.workers[w as usize].3) =
            (self.now + warm, Micros::MAX);
        self.publish(self.member(w), self.day.discovery.add);
    }

    /// A dispatcher is killed outright, and comes back with nothing but its last list.
    fn on_restart(&mut self, host: u32, lasts: Micros) {
        let h = &mut self.hosts[host as usize];
        if h.router.take().is_none() {
            return;
        }
        h.life += 1;
        for (w, idle) in std::mem::take(&mut h.idle) {
            self.connections[w as usize] = self.connections[w as usize].saturating_sub(idle.len() as u32);
        }
        let mut open: Vec<(RequestId, Open)> = std::mem::take(&mut h.open).into_iter().collect();
        open.sort_unstable_by_key(|(id, _)| *id);
        for (id, open) in open {
            let n = (id.0 - 1) as u32;
            self.checker.excuse(id.0);
            self.checker.close(id.0);
            for attempt in open.attempt {
                if std::mem::replace(&mut self.attempts[attempt as usize].out, false) {
                    let w = self.attempts[attempt as usize].worker;
                    self.connections[w as usize] = self.connections[w as usize].saturating_sub(1);
                    let mut notes = std::mem::take(&mut self.notes);
                    self.workers[w as usize].cancel(attempt as usize, self.now, &mut notes);
                    self.said(w, notes);
                }
            }
            if !open.answered {
                self.open -= 1;
                let job = &self.day.jobs[self.tries[n as usize].job as usize];
                let class = &self.experiment.traffic.classes[job.class as usize];
                match class.repeat {
                    Idempotency::Idempotent => self.retry_or(n, None, End::Failed(self.now)),
                    _ => self.conclude(n, End::Failed(self.now)),
                }
            }
        }
        self.at(self.now + lasts.max(1), Happens::Up(host));
    }
}

impl Sight for World<'_> {
    fn foresee(&self, worker: WorkerId, request: RequestId) -> Option<Seconds> {
        let w = *self.index.get(&worker)?;
        let job = &self.day.jobs[self.tries[(request.0 - 1) as usize].job as usize];
        self.workers[w as usize].foresee(self.now, job.slots, job.work)
    }

    fn left(&self, request: RequestId) -> Seconds {
        let n = self.tries[(request.0 - 1) as usize].job as usize;
        let wanted = self.day.jobs[n].at + crate::figures::wanted(self.experiment, self.day, n);
        (wanted as f64 - self.now as f64) / 1e6
    }
}
