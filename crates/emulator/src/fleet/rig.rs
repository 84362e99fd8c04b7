//! Plays one schedule: real keepers and members, every link between two of them through a proxy, faults as drawn.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use cluster_member::clock;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::{kill_process, Pid, Signal};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::checker::{self, Done, Records, Violations, RULES};
use super::light::Light;
use super::plan::{Arm, Fault, Kind, Plan};
use super::proxy::{self, Name, Net, Shared};

/// The programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// `coordinator`.
    pub keeper: PathBuf,
    /// This tool, which also is the light member.
    pub lab: PathBuf,
}

/// What came of a schedule.
#[derive(Debug)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// Rules that were broken.
    pub violations: Violations,
    /// Faults by kind.
    pub faults: BTreeMap<Kind, u64>,
    /// Connections that the proxies reset and doubled.
    pub resets: u64,
    /// See `resets`.
    pub doubles: u64,
    /// Takeover times by kind, in microseconds.
    pub takeovers: BTreeMap<Kind, Vec<u64>>,
    /// Effects taken and refused.
    pub taken: u64,
    /// See `taken`.
    pub refused: u64,
    /// Terms that were granted.
    pub terms: u64,
}

/// Each schedule of this process gets addresses of its own.
static NEXT: AtomicU8 = AtomicU8::new(0);

/// The installation's name in all rigs.
const INSTALLATION: &str = "rig";
const DUTY: &str = "pulse";

enum Task {
    Keeper { number: u64 },
    Member { light: Box<Light> },
}

struct Process {
    task: Task,
    listen: SocketAddr,
    child: Option<Child>,
    /// Not to be started again: its disk is an old copy, or gone.
    spoilt: bool,
}

struct Rig<'a> {
    dir: PathBuf,
    programs: &'a Programs,
    plan: &'a Plan,
    arm: &'a Arm,
    net: Shared,
    processes: Vec<Process>,
    bug: Option<&'a str>,
    base: [u8; 2],
    done: Vec<Done>,
    later: Vec<(Instant, Later)>,
    tasks: Vec<JoinHandle<()>>,
    violations: Violations,
    random: Pcg64,
}

/// What ends a fault.
enum Later {
    Start(Name),
    Continue(u32),
    /// The ends of a cut, of a delay, and of what was wrong with all links; what else is wrong with them stays. (A cut
    /// that ended with another fault looked like a takeover of 6 s: seed 3018.)
    Join(Vec<(Name, Name)>),
    Hasten(Vec<(Name, Name)>),
    Stop(Name, f64),
    Mend,
    Kill(Name),
    /// The steps to an old disk: copied, started once more, put back.
    OldDisk(Name, u8),
}

fn io(what: impl std::fmt::Display) -> impl FnOnce(std::io::Error) -> String {
    move |error| format!("{what}: {error}")
}

/// Plays the schedule of a seed. What the processes leave is in a folder of its own below `out`.
///
/// # Errors
/// The rig itself could not do its work; a broken rule is no error here.
pub fn play(
    plan: &Plan,
    arm: &Arm,
    seed: u64,
    programs: &Programs,
    out: &Path,
    bug: Option<&str>,
) -> Result<Played, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io("runtime"))?;
    LocalSet::new().block_on(&runtime, async {
        let mut rig = Rig::new(plan, arm, seed, programs, out, bug).await?;
        let played = rig.schedule(seed).await;
        rig.end().await;
        played?;
        rig.judge(seed)
    })
}

impl<'a> Rig<'a> {
    async fn new(
        plan: &'a Plan,
        arm: &'a Arm,
        seed: u64,
        programs: &'a Programs,
        out: &Path,
        bug: Option<&'a str>,
    ) -> Result<Rig<'a>, String> {
        let dir = out.join(format!("{}-{seed}", arm.name));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(io(dir.display()))?;
        let base = [16 + (std::process::id() % 200) as u8, NEXT.fetch_add(1, Ordering::Relaxed)];
        let count = arm.keepers + arm.members;
        let ip = |last: usize| IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], last as u8));
        let names = (0..count).map(|name| (ip(1 + name), name)).collect();
        let net = Net::new(names, seed);
        let (mut targets, mut doors, mut tasks) = (Vec::new(), Vec::new(), Vec::new());
        for name in 0..count {
            // The port stays free: nobody else has this address.
            let probe = std::net::TcpListener::bind((ip(1 + name), 0)).map_err(io("a free port"))?;
            let target = probe.local_addr().map_err(io("a free port"))?;
            let door = TcpListener::bind((ip(101 + name), 0)).await.map_err(io("a proxy"))?;
            doors.push(door.local_addr().map_err(io("a proxy"))?);
            targets.push(target);
            tasks.push(spawn_local(proxy::stand_before(net.clone(), door, name, target)));
        }
        let keepers: BTreeMap<u64, SocketAddr> =
            (0..arm.keepers).map(|name| (name as u64 + 1, doors[name])).collect();
        let mut processes = Vec::new();
        for (name, listen) in targets.iter().enumerate() {
            let task = match name < arm.keepers {
                true => Task::Keeper { number: name as u64 + 1 },
                false => Task::Member {
                    light: Box::new(Light {
                        installation: INSTALLATION.to_owned(),
                        name: format!("m{}", name - arm.keepers),
                        listen: *listen,
                        address: doors[name],
                        bind: Some(ip(1 + name)),
                        keepers: keepers.clone(),
                        duties: vec![DUTY.to_owned()],
                        times: plan.times,
                        record: Some(dir.join(format!("m{}.jsonl", name - arm.keepers))),
                        bug: bug.map(str::to_owned),
                        seed: seed ^ (name as u64) << 32,
                    }),
                },
            };
            processes.push(Process { task, listen: *listen, child: None, spoilt: false });
        }
        let random = Pcg64::seed_from_u64(seed ^ 0x5eed);
        let mut rig = Rig {
            dir,
            programs,
            plan,
            arm,
            net,
            processes,
            bug,
            base,
            done: Vec::new(),
            later: Vec::new(),
            tasks,
            violations: Violations::new(),
            random,
        };
        for name in 0..arm.keepers {
            rig.keeper_file(name, &keepers)?;
            let boot = std::process::Command::new(&programs.keeper)
                .args(["bootstrap", "--config"])
                .arg(rig.path(name, "hcl"))
                .stdout(Stdio::null())
                .status()
                .map_err(io(programs.keeper.display()))?;
            if !boot.success() {
                return Err(format!("keeper {}: bootstrap ended with {boot}", name + 1));
            }
        }
        (0..count).try_for_each(|name| rig.start(name))?;
        Ok(rig)
    }

    fn path(&self, name: Name, ending: &str) -> PathBuf {
        match &self.processes[name].task {
            Task::Keeper { number } => self.dir.join(format!("k{number}.{ending}")),
            Task::Member { light } => self.dir.join(format!("{}-{name}.{ending}", light.name)),
        }
    }

    fn keeper_file(&self, name: Name, keepers: &BTreeMap<u64, SocketAddr>) -> Result<(), String> {
        let process = &self.processes[name];
        let mut text = format!("installation = \"{INSTALLATION}\"\n");
        for (number, door) in keepers {
            text += &format!("keeper \"{number}\" {{\n  address = \"{door}\"\n}}\n");
        }
        let times = &self.plan.times;
        text += &format!(
            "times {{\n  lease_ms = {}\n  renew_ms = {}\n  call_ms = {}\n  stay_ms = {}\n  short_ms = {}\n  \
             election_ms = {}\n  heartbeat_ms = {}\n  skew_ppm = {}\n}}\n",
            times.lease_duration / 1_000,
            times.renewal_interval / 1_000,
            times.call_timeout / 1_000,
            times.stability_period / 1_000,
            times.short_session_limit / 1_000,
            times.election_timeout / 1_000,
            times.heartbeat_interval / 1_000,
            times.max_clock_skew_ppm
        );
        text += &format!(
            "serve {{\n  keeper = {}\n  listen = \"{}\"\n  bind = \"{}\"\n  store = \"{}\"\n}}\n",
            name + 1,
            process.listen,
            process.listen.ip(),
            self.path(name, "store").display()
        );
        let path = self.path(name, "hcl");
        fs::write(&path, text).map_err(io(path.display()))
    }

    fn start(&mut self, name: Name) -> Result<(), String> {
        self.start_with(name, None)
    }

    /// Starts a process; a keeper perhaps with a bound: on the size of its files, as if its disk were full, or on its
    /// descriptors.
    fn start_with(&mut self, name: Name, bound: Option<&str>) -> Result<(), String> {
        if self.processes[name].child.is_some() {
            return Ok(());
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.path(name, "log"))
            .map_err(io("a log"))?;
        let mut command = match &self.processes[name].task {
            Task::Keeper { number } => {
                let mut command = match bound {
                    None => Command::new(&self.programs.keeper),
                    Some(bound) => {
                        // Ignored signals and limits go over to what is executed: a write then fails, as on a full disk.
                        let mut command = Command::new("/bin/sh");
                        command.arg("-c").arg(format!("trap '' XFSZ; ulimit {bound}; exec \"$0\" \"$@\""));
                        command.arg(&self.programs.keeper);
                        command
                    }
                };
                command.args(["serve", "--config"]).arg(self.path(name, "hcl"));
                // The record is on the full disk too, where there is one: what it misses, other keepers recorded.
                command.arg("--record").arg(self.dir.join(format!("k{number}.jsonl")));
                command
            }
            Task::Member { light } => {
                let path = self.path(name, "json");
                let text = serde_json::to_vec(light).map_err(|error| error.to_string())?;
                fs::write(&path, text).map_err(io(path.display()))?;
                let mut command = Command::new(&self.programs.lab);
                command.arg("light-member").arg(path);
                command
            }
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true).spawn();
        self.processes[name].child = Some(child.map_err(io("a process"))?);
        Ok(())
    }

    fn signal(&self, name: Name, signal: Signal) -> Option<u32> {
        let id = self.processes[name].child.as_ref()?.id()?;
        let pid = Pid::from_raw(i32::try_from(id).ok()?)?;
        kill_process(pid, signal).ok().map(|()| id)
    }

    /// Kills a process and waits until it is gone.
    async fn kill(&mut self, name: Name) {
        if let Some(mut child) = self.processes[name].child.take() {
            let _ = child.kill().await;
        }
    }

    /// Ends a process in good order, or kills it where it does not end.
    async fn terminate(&mut self, name: Name) {
        self.signal(name, Signal::TERM);
        if let Some(mut child) = self.processes[name].child.take() {
            if timeout(Duration::from_secs(3), child.wait()).await.is_err() {
                let _ = child.kill().await;
            }
        }
    }

    fn keepers(&self) -> std::ops::Range<Name> {
        0..self.arm.keepers
    }

    fn members(&self) -> std::ops::Range<Name> {
        self.arm.keepers..self.arm.keepers + self.arm.members
    }

    fn keeper_records(&self) -> Result<Records, String> {
        let read = |number: u64| Ok((number, checker::read(&self.dir.join(format!("k{number}.jsonl")))?));
        let keepers: Result<_, String> = (1..=self.arm.keepers as u64).map(read).collect();
        Ok(Records { keepers: keepers?, members: BTreeMap::new() })
    }

    /// Who owned the duty last, by the keepers' records, and in which term.
    fn owner(&self) -> Result<Option<(Name, u64)>, String> {
        let records = self.keeper_records()?;
        let Some((token, session)) = checker::newest(&records) else { return Ok(None) };
        let Some(member) = checker::member_of(&records, session) else { return Ok(None) };
        let number = member.strip_prefix('m').and_then(|number| number.parse::<usize>().ok());
        Ok(number.map(|number| (number + self.arm.keepers, token)))
    }

    fn leader(&self) -> Result<Name, String> {
        Ok(checker::leader(&self.keeper_records()?).map_or(0, |number| number as usize - 1))
    }

    async fn schedule(&mut self, seed: u64) -> Result<(), String> {
        let start = Instant::now();
        for fault in self.plan.draw(self.arm, seed) {
            self.wait(start + Duration::from_secs_f64(fault.at)).await?;
            self.inject(fault).await?;
        }
        self.wait(start + Duration::from_secs_f64(self.plan.length)).await?;
        // Everything is healed at once, and then the fleet has to be well again by itself.
        self.net.borrow_mut().heal();
        let later: Vec<Later> = std::mem::take(&mut self.later).into_iter().map(|(_, later)| later).collect();
        for later in later {
            match later {
                Later::Continue(_) | Later::Kill(_) | Later::OldDisk(..) => self.after(later).await?,
                _ => {}
            }
        }
        self.later.clear();
        for name in 0..self.arm.keepers + self.arm.members {
            let gone = self.processes[name]
                .child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
            if gone && !self.processes[name].spoilt {
                self.processes[name].child = None;
            }
            if !self.processes[name].spoilt {
                self.start(name)?;
            }
        }
        let calm = Duration::from_secs_f64(self.plan.calm);
        sleep(calm).await;
        let records = self.records()?;
        if !checker::alive_after(&records, clock::now().saturating_sub(1_000_000)) {
            let text = format!("nothing was done in the last of {} s after all was healed", self.plan.calm);
            self.violations.entry(RULES[6]).or_default().push(text);
        }
        for name in self.keepers() {
            let process = &mut self.processes[name];
            // Found by seed 3008: a store that a full disk had spoilt, unnoticed while the others were a majority.
            let ended = process.child.as_mut().filter(|_| !process.spoilt).map(Child::try_wait);
            if let Some(Ok(Some(status))) = ended {
                let text = format!("keeper {}, whose disk is whole, ended with {status}", name + 1);
                self.violations.entry(RULES[6]).or_default().push(text);
            }
        }
        for name in self.keepers() {
            let process = &mut self.processes[name];
            let state = process.child.as_mut().filter(|_| process.spoilt).map(Child::try_wait);
            // One that another fault has killed is gone for good; one that ended by itself says why by its code.
            let text = match state {
                Some(Ok(None)) => format!("keeper {} goes on with an old disk or none", name + 1),
                Some(Ok(Some(status))) if !matches!(status.code(), Some(3 | 4)) => {
                    format!(
                        "keeper {} with an old disk or none ended with {status}, not with 3 or 4",
                        name + 1
                    )
                }
                _ => continue,
            };
            self.violations.entry(RULES[7]).or_default().push(text);
        }
        Ok(())
    }

    /// Waits, and ends faults whose time is over meanwhile.
    async fn wait(&mut self, until: Instant) -> Result<(), String> {
        loop {
            let next = self.later.iter().map(|(at, _)| *at).min().filter(|at| *at <= until);
            let Some(next) = next else { break };
            sleep_until(next).await;
            let at = self.later.iter().position(|(at, _)| *at == next).unwrap_or(0);
            let (_, later) = self.later.remove(at);
            self.after(later).await?;
        }
        sleep_until(until).await;
        Ok(())
    }

    async fn after(&mut self, later: Later) -> Result<(), String> {
        match later {
            Later::Start(name) => {
                if self.processes[name]
                    .child
                    .as_mut()
                    .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
                {
                    self.processes[name].child = None;
                }
                self.start(name)?;
            }
            Later::Continue(id) => {
                let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
                // Only while it is a child of this rig: the number may be somebody else's after its end.
                let ours = self
                    .processes
                    .iter()
                    .any(|process| process.child.as_ref().and_then(Child::id) == Some(id));
                if let Some(pid) = pid.filter(|_| ours) {
                    let _ = kill_process(pid, Signal::CONT);
                }
            }
            Later::Join(pairs) => {
                let mut net = self.net.borrow_mut();
                pairs.into_iter().for_each(|(from, to)| net.set(from, to, |trouble| trouble.cut = false));
            }
            Later::Hasten(pairs) => {
                let mut net = self.net.borrow_mut();
                let quick = |trouble: &mut proxy::Trouble| trouble.delay = Duration::ZERO;
                pairs.into_iter().for_each(|(from, to)| net.set(from, to, quick));
            }
            Later::Stop(name, lasts) => {
                if let Some(id) = self.signal(name, Signal::STOP) {
                    self.then(lasts, Later::Continue(id));
                }
            }
            Later::Mend => self.net.borrow_mut().mend(),
            Later::Kill(name) => self.kill(name).await,
            Later::OldDisk(name, step) => self.old_disk(name, step).await?,
        }
        Ok(())
    }

    fn then(&mut self, after: f64, later: Later) {
        self.later.push((Instant::now() + Duration::from_secs_f64(after), later));
    }

    fn cut(&mut self, pairs: Vec<(Name, Name)>, lasts: f64) {
        {
            let mut net = self.net.borrow_mut();
            pairs.iter().for_each(|(from, to)| net.set(*from, *to, |trouble| trouble.cut = true));
        }
        self.then(lasts, Later::Join(pairs));
    }

    async fn inject(&mut self, fault: Fault) -> Result<(), String> {
        let (owner, token) = match self.owner()? {
            Some((owner, token)) => (owner, Some(token)),
            None => (self.members().start, None),
        };
        let member = self.members().start + fault.pick % self.arm.members;
        let keeper = fault.pick % self.arm.keepers;
        let (members, keepers) = (self.members(), self.keepers());
        let of_owner = matches!(
            fault.kind,
            Kind::KillOwner
                | Kind::StopOwner
                | Kind::EndOwner
                | Kind::CutOwnerKeepers
                | Kind::CutOwnerMembers
                | Kind::OneWayOwner
                | Kind::StopAsking
        );
        let t = clock::now();
        let until = t + (fault.lasts * 1e6) as u64;
        // The owner of a stop while it asks goes on for the first second.
        let t = if fault.kind == Kind::StopAsking { t + 1_000_000 } else { t };
        self.done.push(Done { t, kind: fault.kind, until, token: token.filter(|_| of_owner) });
        let both = |one: Name, others: std::ops::Range<Name>| -> Vec<(Name, Name)> {
            others.filter(|other| *other != one).flat_map(|other| [(one, other), (other, one)]).collect()
        };
        match fault.kind {
            Kind::KillOwner | Kind::KillMember | Kind::KillLeader => {
                let whom = match fault.kind {
                    Kind::KillOwner => owner,
                    Kind::KillMember => member,
                    _ => self.leader()?,
                };
                self.kill(whom).await;
                if !self.processes[whom].spoilt {
                    self.then(fault.lasts, Later::Start(whom));
                }
            }
            Kind::EndOwner => {
                self.signal(owner, Signal::TERM);
                self.then(fault.lasts.max(0.5), Later::Start(owner));
            }
            Kind::StopOwner | Kind::StopMember | Kind::StopLeader => {
                let whom = match fault.kind {
                    Kind::StopOwner => owner,
                    Kind::StopMember => member,
                    _ => self.leader()?,
                };
                if let Some(id) = self.signal(whom, Signal::STOP) {
                    self.then(fault.lasts, Later::Continue(id));
                }
            }
            Kind::StopAsking => {
                let pairs: Vec<(Name, Name)> = keepers.map(|keeper| (keeper, owner)).collect();
                for (from, to) in &pairs {
                    self.net
                        .borrow_mut()
                        .set(*from, *to, |trouble| trouble.delay = Duration::from_millis(300));
                }
                // Renewals go on all the time; after this one of them is under way most likely.
                self.then(1.0, Later::Stop(owner, fault.lasts - 1.0));
                self.then(fault.lasts + 0.5, Later::Hasten(pairs));
            }
            Kind::CutOwnerKeepers => self.cut(both(owner, keepers), fault.lasts),
            Kind::CutOwnerMembers => self.cut(both(owner, members), fault.lasts),
            Kind::OneWayOwner => self.cut(keepers.map(|keeper| (keeper, owner)).collect(), fault.lasts),
            Kind::HalfAnew => {
                let half: Vec<Name> = members.filter(|name| (name + fault.pick) % 2 == 0).collect();
                for (at, name) in half.iter().enumerate() {
                    let after = 2.0 * at as f64 / half.len() as f64;
                    self.then(after, Later::Kill(*name));
                    self.then(after + 0.1, Later::Start(*name));
                }
            }
            Kind::Twin => self.twin(owner, fault.lasts)?,
            Kind::CutKeeper => self.cut(both(keeper, keepers), fault.lasts),
            Kind::OneWayKeeper => {
                let others = keepers.filter(|other| *other != keeper);
                self.cut(others.map(|other| (keeper, other)).collect(), fault.lasts);
            }
            Kind::KillAllKeepers => {
                for name in keepers {
                    self.kill(name).await;
                    if !self.processes[name].spoilt {
                        self.then(fault.lasts, Later::Start(name));
                    }
                }
            }
            Kind::SlowNet | Kind::Doubles | Kind::Narrow => {
                let count = self.processes.len();
                {
                    let mut net = self.net.borrow_mut();
                    let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
                    for (from, to) in pairs.filter(|(from, to)| from != to) {
                        net.set(from, to, |trouble| match fault.kind {
                            Kind::SlowNet => {
                                trouble.delay = Duration::from_millis(200);
                                trouble.resets = 0.05;
                            }
                            Kind::Doubles => trouble.doubles = 0.25,
                            _ if from == keeper || to == keeper => trouble.rate = 4_000,
                            _ => {}
                        });
                    }
                }
                self.then(fault.lasts, Later::Mend);
            }
            Kind::FullDisk | Kind::FewDescriptors => {
                let leader = self.leader()?;
                if !self.processes[leader].spoilt {
                    self.kill(leader).await;
                    let bound = if fault.kind == Kind::FullDisk { "-f 256" } else { "-n 24" };
                    self.start_with(leader, Some(bound))?;
                    self.then(fault.lasts, Later::Kill(leader));
                    self.then(fault.lasts + 0.05, Later::Start(leader));
                }
            }
            Kind::OldDisk => self.old_disk(keeper, 0).await?,
            Kind::LostDisk => {
                self.kill(keeper).await;
                let store = self.path(keeper, "store");
                fs::remove_dir_all(&store).map_err(io(store.display()))?;
                self.processes[keeper].spoilt = true;
                self.start(keeper)?;
            }
        }
        Ok(())
    }

    /// Copies a keeper's disk, lets it start twice more, and puts the copy back.
    async fn old_disk(&mut self, name: Name, step: u8) -> Result<(), String> {
        let (store, copy) = (self.path(name, "store"), self.path(name, "copy"));
        if self.processes[name].spoilt {
            return Ok(());
        }
        self.kill(name).await;
        match step {
            0 => {
                fs::create_dir_all(&copy).map_err(io(copy.display()))?;
                fs::copy(store.join("keeper.redb"), copy.join("keeper.redb")).map_err(io(copy.display()))?;
            }
            2 => {
                fs::copy(copy.join("keeper.redb"), store.join("keeper.redb")).map_err(io(store.display()))?;
                self.processes[name].spoilt = true;
            }
            _ => {}
        }
        self.start(name)?;
        if step < 2 {
            self.then(0.8, Later::OldDisk(name, step + 1));
        }
        Ok(())
    }

    /// Starts a second process of a member's name, at an address of its own, and kills it later.
    fn twin(&mut self, of: Name, lasts: f64) -> Result<(), String> {
        let Task::Member { light } = &self.processes[of].task else { return Ok(()) };
        let name = self.processes.len();
        if name >= 100 {
            return Ok(());
        }
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.base[0], self.base[1], 1 + name as u8));
        let probe = std::net::TcpListener::bind((ip, 0)).map_err(io("a free port"))?;
        let listen = probe.local_addr().map_err(io("a free port"))?;
        drop(probe);
        let record = self.dir.join(format!("{}-twin{name}.jsonl", light.name));
        let seed = light.seed ^ (name as u64) << 40;
        let twin = Light {
            listen,
            address: listen,
            bind: Some(ip),
            record: Some(record),
            seed,
            ..(**light).clone()
        };
        self.processes.push(Process {
            task: Task::Member { light: Box::new(twin) },
            listen,
            child: None,
            spoilt: true,
        });
        self.start(name)?;
        self.then(lasts, Later::Kill(name));
        // The first one is no member any more and does not become one again by itself; it is started anew after it.
        self.then(lasts + 0.1, Later::Kill(of));
        self.then(lasts + 0.2, Later::Start(of));
        Ok(())
    }

    fn records(&self) -> Result<Records, String> {
        let mut records = self.keeper_records()?;
        for entry in fs::read_dir(&self.dir).map_err(io(self.dir.display()))? {
            let path = entry.map_err(io(self.dir.display()))?.path();
            let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default().to_owned();
            if path.extension().is_some_and(|ending| ending == "jsonl") && stem.starts_with('m') {
                records.members.insert(stem, checker::read(&path)?);
            }
        }
        Ok(records)
    }

    async fn end(&mut self) {
        for name in self.members().chain(self.arm.keepers + self.arm.members..self.processes.len()) {
            self.signal(name, Signal::CONT);
            self.terminate(name).await;
        }
        for name in self.keepers() {
            self.signal(name, Signal::CONT);
            self.terminate(name).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    fn judge(mut self, seed: u64) -> Result<Played, String> {
        let records = self.records()?;
        let mut violations = checker::check(&records);
        for (rule, texts) in std::mem::take(&mut self.violations) {
            violations.entry(rule).or_default().extend(texts);
        }
        let mut faults = BTreeMap::new();
        self.done.iter().for_each(|done| *faults.entry(done.kind).or_default() += 1);
        let played = Played {
            seed,
            faults,
            resets: self.net.borrow().resets,
            doubles: self.net.borrow().doubles,
            takeovers: checker::takeovers(&records, &self.done, self.plan.times.lease_duration),
            taken: checker::taken(&records),
            refused: checker::refused(&records),
            terms: checker::terms(&records),
            violations,
        };
        let slow = played.takeovers.values().flatten().any(|takeover| *takeover > 3_000_000);
        let lines: String = self.done.iter().map(|done| format!("{done:?}\n")).collect();
        let _ = fs::write(self.dir.join("faults.txt"), lines);
        // What a sound schedule left is of no more use; what a broken or slow one left is all there is.
        if played.violations.is_empty() && !slow && self.bug.is_none() && self.random.random_range(0..20) != 0
        {
            let _ = fs::remove_dir_all(&self.dir);
        }
        Ok(played)
    }
}
