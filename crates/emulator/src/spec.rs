//! What an experiment says: the fleet, the traffic, the troubles, the cases and the arms, read from HCL.
//!
//! Where the file says nothing, `base.hcl` holds: a key that is absent in a block is looked for there, and a list of
//! labelled blocks (kinds, classes, tenants) is taken from there whole. What still is a span of figures is drawn for
//! each day by [`crate::day`].

use dispatch_core::api::{CapacityReservation, Idempotency, KeyScope};
use hcl_config::{HclResult, Section, Value};

/// The figures that hold where an experiment says nothing.
const BASE: &str = include_str!("base.hcl");

/// A lower and an upper figure.
pub type Span = (f64, f64);

/// How work is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkShape {
    /// A power law: few jobs hold much of the work.
    Pareto,
    /// The logarithm is normal.
    Lognormal,
    /// Memoryless.
    Exponential,
}

/// A kind of machine.
#[derive(Clone, Debug)]
pub struct KindSpec {
    /// Its name.
    pub name: String,
    /// Its part of the fleet.
    pub share: f64,
    /// Cores.
    pub cores: f64,
    /// Work done by a core in a second.
    pub speed: Span,
    /// How speeds differ within the kind.
    pub speed_cv: Span,
    /// Slots for each core.
    pub slots_per_core: Span,
    /// Waiting jobs for each core.
    pub queue_per_core: Span,
    /// The part of its capacity that a worker starts with.
    pub initial_capacity: Span,
    /// Seconds until it is warm.
    pub warm_up: Span,
    /// The part of jobs that ends in an error.
    pub error_rate: Span,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its part of the jobs.
    pub share: Span,
    /// Its mean work, in seconds at speed 1.
    pub work: Span,
    /// How work is spread, and how widely.
    pub work_shape: WorkShape,
    /// See there.
    pub cv: Span,
    /// How far one attempt's work differs from another's.
    pub noise: Span,
    /// Slots, with the part of the class's jobs that need so many.
    pub slots: Vec<(u32, f64)>,
    /// Wanted within this many seconds ...
    pub latency_objective: f64,
    /// ... and so many times its work.
    pub stretch: f64,
    /// Given up after so many seconds.
    pub timeout: f64,
    /// Worth of a unit of work.
    pub priority_weight: f64,
    /// The part of it that a late answer earns.
    pub late_weight: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How long a rack drops repeats, in seconds.
    pub retry_window: f64,
}

/// A tenant.
#[derive(Clone, Debug)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// What it asks for, in parts of its share.
    pub usage: Span,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Workers take jobs and answer nothing.
    Hang,
    /// Another program takes a part of machines, on and off.
    NoisyNeighbour,
    /// Traffic jumps.
    Burst,
    /// Workers are replaced, batch by batch; successors start cold.
    Deploy,
    /// Dispatchers are killed and come back, batch by batch.
    RestartDispatchers,
    /// Workers die and start again cold.
    Crash,
}

/// The names of troubles in experiments.
const FAULT_KINDS: [(&str, FaultKind); 6] = [
    ("hang", FaultKind::Hang),
    ("neighbour", FaultKind::NoisyNeighbour),
    ("burst", FaultKind::Burst),
    ("deploy", FaultKind::Deploy),
    ("restarts", FaultKind::RestartDispatchers),
    ("crash", FaultKind::Crash),
];

/// A trouble with its figures; what each means goes by the kind.
#[derive(Clone, Debug)]
pub struct FaultSpec {
    /// Which.
    pub kind: FaultKind,
    /// How long it goes on, in seconds.
    pub length: Span,
    /// The part of workers or dispatchers that it meets.
    pub affected_share: Span,
    /// The share taken, the factor of the rate, or the part replaced at a time.
    pub magnitude: Span,
    /// Seconds on and off, of draining, or down.
    pub interval: Span,
}

/// One kind of day of an experiment.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// Work asked for, in parts of what the fleet can do.
    pub load: Span,
    /// What goes wrong.
    pub faults: Vec<FaultSpec>,
}

/// Who decides in an arm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterKind {
    /// The decision module of `dispatch-core`.
    DecisionModule,
    /// Any worker.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one that holds the fewest of ours.
    LeastOutstanding,
    /// The better of two.
    PowerOfTwo,
    /// Sees the true state of every worker.
    Oracle,
}

/// One of the routers compared.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Who decides.
    pub router: RouterKind,
    /// Multiplies the quotas that the module is told: a setting to rank by.
    pub quota: f64,
    /// The most attempts of a request, where the arm sets it.
    pub attempts: Option<u32>,
    /// Every second dispatcher is told a time that is later by this, in seconds, as if its machine's clock were wrong.
    pub clock_error: f64,
    /// Second copies are allowed.
    pub hedging: bool,
    /// Room for large jobs.
    pub capacity_reservation: Option<CapacityReservation>,
}

/// An experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is about.
    pub about: String,
    /// How long clients come, in seconds.
    pub length: f64,
    /// Jobs of so many slots count as large.
    pub large_slots: u32,
    /// Workers and dispatchers.
    pub workers: Span,
    /// See there.
    pub dispatchers: Span,
    /// Data centres.
    pub zones: u32,
    /// Workers of a rack.
    pub rack_size: Span,
    /// Kinds of machine.
    pub kinds: Vec<KindSpec>,
    /// The network.
    pub network: NetworkSpec,
    /// What clients ask for.
    pub traffic: TrafficSpec,
    /// How clients behave.
    pub clients: ClientSpec,
    /// How the worker list travels.
    pub discovery: DiscoverySpec,
    /// The figures of the rules.
    pub rules: RuleSpec,
    /// Kinds of day.
    pub cases: Vec<Case>,
    /// Routers compared.
    pub arms: Vec<Arm>,
}

/// The network and connections.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    /// One way, in seconds.
    pub same_zone: Span,
    /// One way, in seconds.
    pub cross_zone: Span,
    /// Each message takes up to this part longer.
    pub jitter: Span,
    /// Round trips of a handshake.
    pub handshake_rtts: Span,
    /// What a handshake costs the worker, in seconds.
    pub handshake: Span,
    /// Idle connections are closed after this, in seconds.
    pub idle: f64,
    /// Dials end after this, in seconds.
    pub connect_timeout: f64,
    /// Connections that a worker holds for each core.
    pub max_connections_per_core: Span,
}

/// What clients ask for.
#[derive(Clone, Debug)]
pub struct TrafficSpec {
    /// How far the rate swings over the day.
    pub swing: Span,
    /// How unevenly requests come.
    pub stream_cv: Span,
    /// How unevenly they come to the dispatchers.
    pub skew: Span,
    /// What is sold of the fleet.
    pub quota: Span,
    /// The part of the worth that traffic beyond a share has.
    pub over_quota_weight: f64,
    /// Classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants.
    pub tenants: Vec<TenantSpec>,
}

/// How clients behave.
#[derive(Clone, Debug)]
pub struct ClientSpec {
    /// The part of clients that retry once.
    pub retry: Span,
    /// The part of them that wait for as long as a refusal says.
    pub honour_retry_after: Span,
    /// What they wait otherwise, in seconds.
    pub backoff: Span,
    /// The longest wait that a refusal may ask for, in seconds.
    pub max_retry_after: f64,
    /// The part of clients that leave before their time is up.
    pub impatient_share: Span,
}

/// How the worker list travels, in seconds.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// Until a drain or an end is known.
    pub drain_notice: Span,
    /// Until a death is.
    pub death_notice: Span,
    /// Until a start is.
    pub start_notice: Span,
    /// Changes go out together, so often.
    pub publish_period: Span,
    /// To one dispatcher later than to another by this at the most.
    pub list_delay: Span,
}

/// The figures of the rules; times in seconds.
#[derive(Clone, Debug)]
pub struct RuleSpec {
    /// New work to a draining worker ends this long after it was told.
    pub drain_grace: f64,
    /// Answers come this long after the deadline at the latest.
    pub answer_slack: f64,
    /// What dispatchers are told of cold workers.
    pub cold_share: f64,
    /// See there.
    pub warm_up: f64,
    /// A cold worker sent more than this many times what it can do ...
    pub overload_multiple: f64,
    /// ... within this span falls over.
    pub overload_window: f64,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// The price of crossing zones once a request.
    pub cross_zone_price: f64,
}

/// A block of the experiment over the same block of the base.
#[derive(Clone, Copy)]
struct Layer<'a> {
    overrides: Option<&'a Section>,
    base: &'a Section,
}

impl<'a> Layer<'a> {
    fn block(self, kind: &str) -> HclResult<Layer<'a>> {
        let own = match self.overrides {
            Some(own) => own.section(kind)?,
            None => None,
        };
        match self.base.section(kind)? {
            Some(base) => Ok(Layer { overrides: own, base }),
            None => Err(self.base.error(kind, "the base lacks this block")),
        }
    }

    /// The labelled blocks: the experiment's own, or else those of the base.
    fn blocks(self, kind: &'a str) -> Vec<&'a Section> {
        let own: Vec<&Section> = self.overrides.map(|own| own.sections(kind).collect()).unwrap_or_default();
        if own.is_empty() {
            self.base.sections(kind).collect()
        } else {
            own
        }
    }

    fn span(self, key: &str, low: f64, high: f64) -> HclResult<Span> {
        let own = match self.overrides {
            Some(own) => own.number_range(key, low..=high)?,
            None => None,
        };
        match own {
            Some(span) => Ok(span),
            None => required(self.base, key, self.base.number_range(key, low..=high)?),
        }
    }

    fn number(self, key: &str, low: f64, high: f64) -> HclResult<f64> {
        let own = match self.overrides {
            Some(own) => own.number(key, low..=high)?,
            None => None,
        };
        match own {
            Some(number) => Ok(number),
            None => required(self.base, key, self.base.number(key, low..=high)?),
        }
    }

    fn whole(self, key: &str, low: u64, high: u64) -> HclResult<u64> {
        let own = match self.overrides {
            Some(own) => own.integer(key, low..=high)?,
            None => None,
        };
        match own {
            Some(number) => Ok(number),
            None => required(self.base, key, self.base.integer(key, low..=high)?),
        }
    }
}

fn required<T>(section: &Section, key: &str, value: Option<T>) -> HclResult<T> {
    value.ok_or_else(|| section.error(key, "missing"))
}

fn milliseconds(span: Span) -> Span {
    (span.0 / 1e3, span.1 / 1e3)
}

/// Reads an experiment; `file` is its name in faults.
///
/// # Errors
/// The first fault, with file, line and key.
pub fn read(file: &str, text: &str) -> HclResult<Experiment> {
    let own = Section::parse(file, text)?;
    let base = Section::parse("base.hcl", BASE)?;
    let head = required(&own, "experiment", own.section("experiment")?)?;
    if head.label().is_empty() {
        return Err(head.error("", "expected a name, as in experiment \"large-jobs\""));
    }
    let top = Layer { overrides: Some(head), base: &base };
    let fleet = top.block("fleet")?;
    let experiment = Experiment {
        name: head.label().to_owned(),
        about: head.string("about")?.unwrap_or_default(),
        length: top.number("length_s", 1.0, 86_400.0 * 400.0)?,
        large_slots: top.whole("large_slots", 1, 1024)? as u32,
        workers: fleet.span("workers", 1.0, 100_000.0)?,
        dispatchers: fleet.span("dispatchers", 1.0, 10_000.0)?,
        zones: fleet.whole("zones", 1, 250)? as u32,
        rack_size: fleet.span("rack", 1.0, 100_000.0)?,
        kinds: fleet.blocks("kind").into_iter().map(kind_spec).collect::<HclResult<_>>()?,
        network: network_spec(top.block("connections")?)?,
        traffic: traffic_spec(top.block("traffic")?)?,
        clients: client_spec(top.block("clients")?)?,
        discovery: discovery_spec(top.block("discovery")?)?,
        rules: rule_spec(top.block("rules")?)?,
        cases: cases(top)?,
        arms: head.sections("arm").map(arm).collect::<HclResult<_>>()?,
    };
    if experiment.arms.is_empty() {
        return Err(
            head.error("arm", "expected one arm or more, as in arm \"now\" { router = \"cairncrank\" }")
        );
    }
    for (n, arm) in experiment.arms.iter().enumerate() {
        if experiment.arms[..n].iter().any(|other| other.name == arm.name) {
            return Err(head.error("arm", format!("two arms are named \"{}\"", arm.name)));
        }
    }
    own.deny_unknown_keys()?;
    Ok(experiment)
}

fn kind_spec(s: &Section) -> HclResult<KindSpec> {
    Ok(KindSpec {
        name: s.label().to_owned(),
        share: required(s, "share", s.number("share", 0.0..=1000.0)?)?,
        cores: required(s, "cores", s.number("cores", 0.25..=1024.0)?)?,
        speed: required(s, "speed", s.number_range("speed", 0.01..=100.0)?)?,
        speed_cv: s.number_range("speed_cv", 0.0..=2.0)?.unwrap_or_default(),
        slots_per_core: s.number_range("slots_per_core", 0.25..=64.0)?.unwrap_or((1.0, 1.0)),
        queue_per_core: s.number_range("queue_per_core", 0.0..=10_000.0)?.unwrap_or((6.0, 6.0)),
        initial_capacity: s.number_range("cold_share", 0.01..=1.0)?.unwrap_or((1.0, 1.0)),
        warm_up: s.number_range("warm_s", 0.0..=3600.0)?.unwrap_or_default(),
        error_rate: s.number_range("errors", 0.0..=1.0)?.unwrap_or_default(),
    })
}

fn network_spec(l: Layer<'_>) -> HclResult<NetworkSpec> {
    Ok(NetworkSpec {
        same_zone: milliseconds(l.span("same_zone_ms", 0.0, 1000.0)?),
        cross_zone: milliseconds(l.span("cross_zone_ms", 0.0, 10_000.0)?),
        jitter: l.span("jitter", 0.0, 10.0)?,
        handshake_rtts: l.span("handshake_rtts", 0.0, 10.0)?,
        handshake: milliseconds(l.span("handshake_ms", 0.0, 1000.0)?),
        idle: l.number("idle_s", 0.0, 86_400.0)?,
        connect_timeout: l.number("connect_timeout_ms", 1.0, 60_000.0)? / 1e3,
        max_connections_per_core: l.span("most_per_core", 1.0, 1e6)?,
    })
}

fn traffic_spec(l: Layer<'_>) -> HclResult<TrafficSpec> {
    Ok(TrafficSpec {
        swing: l.span("swing", 0.0, 0.95)?,
        stream_cv: l.span("stream_cv", 0.1, 10.0)?,
        skew: l.span("skew", 0.0, 5.0)?,
        quota: l.span("quota", 0.0, 100.0)?,
        over_quota_weight: l.number("over_share_worth", 0.0, 1.0)?,
        classes: l.blocks("class").into_iter().map(class_spec).collect::<HclResult<_>>()?,
        tenants: l.blocks("tenant").into_iter().map(tenant_spec).collect::<HclResult<_>>()?,
    })
}

fn class_spec(s: &Section) -> HclResult<ClassSpec> {
    let repeats = [
        ("safe", Idempotency::Idempotent),
        ("rack", Idempotency::WithKey(KeyScope::Cell)),
        ("zone", Idempotency::WithKey(KeyScope::Zone)),
        ("all", Idempotency::WithKey(KeyScope::All)),
        ("unsafe", Idempotency::NotIdempotent),
    ];
    let dists = [
        ("pareto", WorkShape::Pareto),
        ("lognormal", WorkShape::Lognormal),
        ("exponential", WorkShape::Exponential),
    ];
    let slots = match s.value("slots") {
        None => vec![(1, 1.0)],
        Some(Value::Object(parts)) => {
            let part = |(name, part): &(String, Value)| match (name.parse::<u32>(), part) {
                (Ok(slots), Value::Number(part)) if (1..=1024).contains(&slots) && *part >= 0.0 => {
                    Ok((slots, *part))
                }
                _ => Err(s.error("slots", format!("expected slots = part, found {name} = {part}"))),
            };
            parts.iter().map(part).collect::<HclResult<Vec<_>>>()?
        }
        Some(other) => {
            return Err(s.error("slots", format!("expected {{ 1 = 0.8, 4 = 0.2 }}, found {other}")))
        }
    };
    if slots.iter().map(|(_, part)| part).sum::<f64>() <= 0.0 {
        return Err(s.error("slots", "the parts sum to nothing"));
    }
    Ok(ClassSpec {
        name: s.label().to_owned(),
        share: required(s, "share", s.number_range("share", 0.0..=1000.0)?)?,
        work: milliseconds(required(s, "work_ms", s.number_range("work_ms", 0.01..=1e9)?)?),
        work_shape: s.keyword("dist", &dists)?.unwrap_or(WorkShape::Exponential),
        cv: s.number_range("cv", 0.05..=20.0)?.unwrap_or((1.0, 1.0)),
        noise: s.number_range("noise", 0.0..=3.0)?.unwrap_or_default(),
        slots,
        latency_objective: required(s, "aim_ms", s.number("aim_ms", 1.0..=1e9)?)? / 1e3,
        stretch: s.number("stretch", 0.0..=1000.0)?.unwrap_or(0.0),
        timeout: required(s, "patience_s", s.number("patience_s", 0.001..=1e6)?)?,
        priority_weight: s.number("worth", 0.0..=1e6)?.unwrap_or(1.0),
        late_weight: s.number("late_worth", 0.0..=1.0)?.unwrap_or(0.0),
        idempotency: s.keyword("repeat", &repeats)?.unwrap_or(Idempotency::Idempotent),
        retry_window: s.number("window_s", 0.0..=86_400.0)?.unwrap_or(0.0),
    })
}

fn tenant_spec(s: &Section) -> HclResult<TenantSpec> {
    Ok(TenantSpec {
        name: s.label().to_owned(),
        share: required(s, "share", s.number("share", 0.0..=1000.0)?)?,
        usage: s.number_range("usage", 0.0..=1000.0)?.unwrap_or((1.0, 1.0)),
    })
}

fn client_spec(l: Layer<'_>) -> HclResult<ClientSpec> {
    Ok(ClientSpec {
        retry: l.span("retry", 0.0, 1.0)?,
        honour_retry_after: l.span("honour", 0.0, 1.0)?,
        backoff: milliseconds(l.span("backoff_ms", 0.0, 1e6)?),
        max_retry_after: l.number("retry_after_s", 0.0, 3600.0)?,
        impatient_share: l.span("impatient", 0.0, 1.0)?,
    })
}

fn discovery_spec(l: Layer<'_>) -> HclResult<DiscoverySpec> {
    Ok(DiscoverySpec {
        drain_notice: l.span("notice_s", 0.0, 3600.0)?,
        death_notice: l.span("silent_s", 0.0, 3600.0)?,
        start_notice: l.span("add_s", 0.0, 3600.0)?,
        publish_period: l.span("period_s", 0.001, 3600.0)?,
        list_delay: l.span("spread_s", 0.0, 3600.0)?,
    })
}

fn rule_spec(l: Layer<'_>) -> HclResult<RuleSpec> {
    Ok(RuleSpec {
        drain_grace: l.number("drain_grace_s", 0.0, 3600.0)?,
        answer_slack: l.number("answer_slack_s", 0.0, 3600.0)?,
        cold_share: l.number("cold_share", 0.001, 1.0)?,
        warm_up: l.number("warm_s", 0.0, 3600.0)?,
        overload_multiple: l.number("fall_multiple", 0.1, 1000.0)?,
        overload_window: l.number("fall_s", 0.01, 3600.0)?,
        max_attempts: l.whole("attempts", 1, 100)? as u32,
        cross_zone_price: l.number("cross_zone_price", 0.0, 1.0)?,
    })
}

fn fault_spec(s: &Section, kind: FaultKind) -> HclResult<FaultSpec> {
    Ok(FaultSpec {
        kind,
        length: required(s, "length_s", s.number_range("length_s", 0.0..=1e7)?)?,
        affected_share: s.number_range("part", 0.0..=1.0)?.unwrap_or((1.0, 1.0)),
        magnitude: s.number_range("size", 0.0..=100.0)?.unwrap_or((0.2, 0.2)),
        interval: s.number_range("extra_s", 0.0..=1e6)?.unwrap_or((1.0, 1.0)),
    })
}

/// The cases: those named, or one of the usual load.
fn cases(top: Layer<'_>) -> HclResult<Vec<Case>> {
    let own = top.overrides.into_iter().flat_map(|own| own.sections("trouble"));
    let known: Vec<&Section> = own.chain(top.base.sections("trouble")).collect();
    for section in &known {
        if !FAULT_KINDS.iter().any(|(name, _)| *name == section.label()) {
            let names: Vec<&str> = FAULT_KINDS.iter().map(|(name, _)| *name).collect();
            return Err(section.error("", format!("expected one of {}", names.join(", "))));
        }
    }
    let usual = top.block("traffic")?.span("load", 0.0, 100.0)?;
    let named: Vec<&Section> = top.overrides.map(|own| own.sections("case").collect()).unwrap_or_default();
    let mut cases = Vec::new();
    for s in named {
        let mut troubles = Vec::new();
        match s.value("troubles") {
            None => {}
            Some(Value::List(names)) => {
                for name in names {
                    let Value::String(name) = name else {
                        return Err(s.error("troubles", format!("expected names, found {name}")));
                    };
                    let kind = FAULT_KINDS.iter().find(|(known, _)| known == name).map(|(_, kind)| *kind);
                    let figures = known.iter().find(|section| section.label() == name);
                    match (kind, figures) {
                        (Some(kind), Some(figures)) => troubles.push(fault_spec(figures, kind)?),
                        (Some(_), None) => {
                            let problem =
                                format!("\"{name}\" needs a block trouble \"{name}\" with its figures");
                            return Err(s.error("troubles", problem));
                        }
                        _ => return Err(s.error("troubles", format!("there is no trouble \"{name}\""))),
                    }
                }
            }
            Some(other) => {
                return Err(s.error("troubles", format!("expected a list of names, found {other}")))
            }
        }
        let load = s.number_range("load", 0.0..=100.0)?.unwrap_or(usual);
        cases.push(Case { name: s.label().to_owned(), load, faults: troubles });
    }
    if cases.is_empty() {
        cases.push(Case { name: "usual".to_owned(), load: usual, faults: Vec::new() });
    }
    Ok(cases)
}

fn arm(s: &Section) -> HclResult<Arm> {
    let routers = [
        ("cairncrank", RouterKind::DecisionModule),
        ("random", RouterKind::Random),
        ("round-robin", RouterKind::RoundRobin),
        ("least-outstanding", RouterKind::LeastOutstanding),
        ("power-of-two", RouterKind::PowerOfTwo),
        ("oracle", RouterKind::Oracle),
    ];
    Ok(Arm {
        name: s.label().to_owned(),
        router: required(s, "router", s.keyword("router", &routers)?)?,
        quota: s.number("quota", 0.0..=100.0)?.unwrap_or(1.0),
        attempts: s.integer("attempts", 1..=100)?.map(|attempts| attempts as u32),
        clock_error: s.number("clock_error_s", 0.0..=1e6)?.unwrap_or(0.0),
        hedging: s.boolean("copies")?.unwrap_or(true),
        capacity_reservation: match s.section("room")? {
            None => None,
            Some(room) => Some(CapacityReservation {
                min_slots: room.number("from_slots", 2.0..=1024.0)?.unwrap_or(4.0),
                price: room.number("price", 0.0..=1000.0)?.unwrap_or(16.0),
            }),
        },
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(text: &str) -> String {
        read("e.hcl", text).map(|_| String::new()).unwrap_or_else(|fault| fault.to_string())
    }

    #[test]
    fn the_base_holds_where_an_experiment_says_nothing() {
        let text = "experiment \"one\" {\n  fleet {\n    workers = 7\n  }\n  arm \"a\" {\n    router = \"random\"\n  }\n}\n";
        let experiment = read("e.hcl", text).expect("no fault");
        assert_eq!((experiment.workers, experiment.kinds.len()), ((7.0, 7.0), 3));
        assert_eq!((experiment.cases.len(), experiment.traffic.classes.len()), (1, 3));
    }

    #[test]
    fn faults_name_file_line_and_key() {
        let of = |body: &str| {
            fault(&format!("experiment \"one\" {{\n  {body}\n  arm \"a\" {{ router = \"random\" }}\n}}\n"))
        };
        assert_eq!(of("length = 3"), "e.hcl:2: experiment[one].length: there is no such key here");
        assert!(
            of("length_s = -3").starts_with("e.hcl:2: experiment[one].length_s: expected a number from 1")
        );
        assert!(of("case \"x\" { troubles = [\"flood\"] }").contains("there is no trouble \"flood\""));
        assert!(of("case \"x\" { troubles = [\"crash\"] }").contains("needs a block trouble \"crash\""));
        assert!(of("arm \"a\" { router = \"oracle\" }").contains("two arms are named \"a\""));
        assert!(of("arm \"b\" { router = \"best\" }")
            .contains("arm[b].router: expected one of cairncrank, random"));
        assert!(fault("experiment \"x\" {\n}\n").contains("expected one arm or more"));
    }
}
