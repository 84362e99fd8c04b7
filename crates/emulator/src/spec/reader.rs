//! Reads an experiment from HCL, with defaults from `base.hcl`.

use dispatch_core::api::{CapacityReservation, Idempotency, KeyScope};
use hcl_config::{HclResult, Section, Value};

use super::faults::FAULT_KINDS;
use super::layer::{required, seconds, Layer, MILLISECONDS_PER_SECOND};
use super::{
    Arm, Case, ClassSpec, ClientSpec, DiscoverySpec, Experiment, FaultKind, FaultSpec, KindSpec, NetworkSpec,
    RouterKind, RuleSpec, TenantSpec, TrafficSpec, WorkShape,
};

/// Defaults for all blocks and keys except cases and arms.
const BASE: &str = include_str!("../base.hcl");

/// Longest time within which jobs may arrive, in seconds: 400 days.
const LONGEST_DAY_S: f64 = 86_400.0 * 400.0;

/// Reads an experiment; errors contain `file` as its name.
///
/// # Errors
/// Returns the first error in the text, with file, line and key.
pub fn read(file: &str, text: &str) -> HclResult<Experiment> {
    let own = Section::parse(file, text)?;
    let base = Section::parse("base.hcl", BASE)?;
    let head = required(&own, "experiment", own.section("experiment")?)?;
    if head.label().is_empty() {
        return Err(head.error("", "expected a name, as in experiment \"large-jobs\""));
    }
    let experiment = experiment(head, Layer { overrides: Some(head), base: &base })?;
    check_arms(head, &experiment.arms)?;
    own.deny_unknown_keys()?;
    Ok(experiment)
}

fn experiment(head: &Section, top: Layer<'_>) -> HclResult<Experiment> {
    let fleet = top.block("fleet")?;
    Ok(Experiment {
        name: head.label().to_owned(),
        about: head.string("about")?.unwrap_or_default(),
        length: top.number("length_s", 1.0, LONGEST_DAY_S)?,
        large_slots: top.integer("large_slots", 1, 1024)? as u32,
        workers: fleet.range("workers", 1.0, 100_000.0)?,
        dispatchers: fleet.range("dispatchers", 1.0, 10_000.0)?,
        zones: fleet.integer("zones", 1, 250)? as u32,
        rack_size: fleet.range("rack", 1.0, 100_000.0)?,
        kinds: fleet.blocks("kind").into_iter().map(kind_spec).collect::<HclResult<_>>()?,
        network: network_spec(top.block("connections")?)?,
        traffic: traffic_spec(top.block("traffic")?)?,
        clients: client_spec(top.block("clients")?)?,
        discovery: discovery_spec(top.block("discovery")?)?,
        rules: rule_spec(top.block("rules")?)?,
        cases: cases(top)?,
        arms: head.sections("arm").map(arm).collect::<HclResult<_>>()?,
    })
}

/// Rejects an experiment without arms or with two arms of the same name.
fn check_arms(head: &Section, arms: &[Arm]) -> HclResult<()> {
    if arms.is_empty() {
        return Err(
            head.error("arm", "expected one arm or more, as in arm \"now\" { router = \"cairncrank\" }")
        );
    }
    for (n, arm) in arms.iter().enumerate() {
        if arms[..n].iter().any(|other| other.name == arm.name) {
            return Err(head.error("arm", format!("two arms are named \"{}\"", arm.name)));
        }
    }
    Ok(())
}

fn kind_spec(section: &Section) -> HclResult<KindSpec> {
    Ok(KindSpec {
        name: section.label().to_owned(),
        share: required(section, "share", section.number("share", 0.0..=1000.0)?)?,
        cores: required(section, "cores", section.number("cores", 0.25..=1024.0)?)?,
        speed: required(section, "speed", section.number_range("speed", 0.01..=100.0)?)?,
        speed_cv: section.number_range("speed_cv", 0.0..=2.0)?.unwrap_or_default(),
        slots_per_core: section.number_range("slots_per_core", 0.25..=64.0)?.unwrap_or((1.0, 1.0)),
        queue_per_core: section.number_range("queue_per_core", 0.0..=10_000.0)?.unwrap_or((6.0, 6.0)),
        initial_capacity: section.number_range("cold_share", 0.01..=1.0)?.unwrap_or((1.0, 1.0)),
        warm_up: section.number_range("warm_s", 0.0..=3600.0)?.unwrap_or_default(),
        error_rate: section.number_range("errors", 0.0..=1.0)?.unwrap_or_default(),
    })
}

fn network_spec(layer: Layer<'_>) -> HclResult<NetworkSpec> {
    Ok(NetworkSpec {
        same_zone: seconds(layer.range("same_zone_ms", 0.0, 1000.0)?),
        cross_zone: seconds(layer.range("cross_zone_ms", 0.0, 10_000.0)?),
        jitter: layer.range("jitter", 0.0, 10.0)?,
        handshake_rtts: layer.range("handshake_rtts", 0.0, 10.0)?,
        handshake: seconds(layer.range("handshake_ms", 0.0, 1000.0)?),
        idle: layer.number("idle_s", 0.0, 86_400.0)?,
        connect_timeout: layer.number("connect_timeout_ms", 1.0, 60_000.0)? / MILLISECONDS_PER_SECOND,
        max_connections_per_core: layer.range("most_per_core", 1.0, 1e6)?,
    })
}

fn traffic_spec(layer: Layer<'_>) -> HclResult<TrafficSpec> {
    Ok(TrafficSpec {
        swing: layer.range("swing", 0.0, 0.95)?,
        stream_cv: layer.range("stream_cv", 0.1, 10.0)?,
        skew: layer.range("skew", 0.0, 5.0)?,
        quota: layer.range("quota", 0.0, 100.0)?,
        over_quota_weight: layer.number("over_share_worth", 0.0, 1.0)?,
        classes: layer.blocks("class").into_iter().map(class_spec).collect::<HclResult<_>>()?,
        tenants: layer.blocks("tenant").into_iter().map(tenant_spec).collect::<HclResult<_>>()?,
    })
}

/// Reads the numbers of slots, each with the share of the class's jobs that need it.
fn slots(section: &Section) -> HclResult<Vec<(u32, f64)>> {
    let slots = match section.value("slots") {
        None => vec![(1, 1.0)],
        Some(Value::Object(parts)) => {
            let part = |(name, part): &(String, Value)| match (name.parse::<u32>(), part) {
                (Ok(slots), Value::Number(part)) if (1..=1024).contains(&slots) && *part >= 0.0 => {
                    Ok((slots, *part))
                }
                _ => {
                    let problem = format!("expected NUMBER_OF_SLOTS = SHARE_OF_JOBS, found {name} = {part}");
                    Err(section.error("slots", problem))
                }
            };
            parts.iter().map(part).collect::<HclResult<Vec<_>>>()?
        }
        Some(other) => {
            return Err(section.error("slots", format!("expected {{ 1 = 0.8, 4 = 0.2 }}, found {other}")))
        }
    };
    if slots.iter().map(|(_, part)| part).sum::<f64>() <= 0.0 {
        return Err(section.error("slots", "the shares of the jobs sum to 0"));
    }
    Ok(slots)
}

fn class_spec(section: &Section) -> HclResult<ClassSpec> {
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
    let slots = slots(section)?;
    Ok(ClassSpec {
        name: section.label().to_owned(),
        share: required(section, "share", section.number_range("share", 0.0..=1000.0)?)?,
        work: seconds(required(section, "work_ms", section.number_range("work_ms", 0.01..=1e9)?)?),
        work_shape: section.keyword("dist", &dists)?.unwrap_or(WorkShape::Exponential),
        cv: section.number_range("cv", 0.05..=20.0)?.unwrap_or((1.0, 1.0)),
        noise: section.number_range("noise", 0.0..=3.0)?.unwrap_or_default(),
        slots,
        latency_objective: required(section, "aim_ms", section.number("aim_ms", 1.0..=1e9)?)?
            / MILLISECONDS_PER_SECOND,
        stretch: section.number("stretch", 0.0..=1000.0)?.unwrap_or(0.0),
        timeout: required(section, "patience_s", section.number("patience_s", 0.001..=1e6)?)?,
        priority_weight: section.number("worth", 0.0..=1e6)?.unwrap_or(1.0),
        late_weight: section.number("late_worth", 0.0..=1.0)?.unwrap_or(0.0),
        idempotency: section.keyword("repeat", &repeats)?.unwrap_or(Idempotency::Idempotent),
        retry_window: section.number("window_s", 0.0..=86_400.0)?.unwrap_or(0.0),
    })
}

fn tenant_spec(section: &Section) -> HclResult<TenantSpec> {
    Ok(TenantSpec {
        name: section.label().to_owned(),
        share: required(section, "share", section.number("share", 0.0..=1000.0)?)?,
        usage: section.number_range("usage", 0.0..=1000.0)?.unwrap_or((1.0, 1.0)),
    })
}

fn client_spec(layer: Layer<'_>) -> HclResult<ClientSpec> {
    Ok(ClientSpec {
        retry: layer.range("retry", 0.0, 1.0)?,
        honour_retry_after: layer.range("honour", 0.0, 1.0)?,
        backoff: seconds(layer.range("backoff_ms", 0.0, 1e6)?),
        max_retry_after: layer.number("retry_after_s", 0.0, 3600.0)?,
        impatient_share: layer.range("impatient", 0.0, 1.0)?,
    })
}

fn discovery_spec(layer: Layer<'_>) -> HclResult<DiscoverySpec> {
    Ok(DiscoverySpec {
        drain_notice: layer.range("notice_s", 0.0, 3600.0)?,
        death_notice: layer.range("silent_s", 0.0, 3600.0)?,
        start_notice: layer.range("add_s", 0.0, 3600.0)?,
        publish_period: layer.range("period_s", 0.001, 3600.0)?,
        list_delay: layer.range("spread_s", 0.0, 3600.0)?,
    })
}

fn rule_spec(layer: Layer<'_>) -> HclResult<RuleSpec> {
    Ok(RuleSpec {
        drain_grace: layer.number("drain_grace_s", 0.0, 3600.0)?,
        answer_slack: layer.number("answer_slack_s", 0.0, 3600.0)?,
        cold_share: layer.number("cold_share", 0.001, 1.0)?,
        warm_up: layer.number("warm_s", 0.0, 3600.0)?,
        overload_multiple: layer.number("fall_multiple", 0.1, 1000.0)?,
        overload_window: layer.number("fall_s", 0.01, 3600.0)?,
        max_attempts: layer.integer("attempts", 1, 100)? as u32,
        cross_zone_price: layer.number("cross_zone_price", 0.0, 1.0)?,
    })
}

fn fault_spec(section: &Section, kind: FaultKind) -> HclResult<FaultSpec> {
    Ok(FaultSpec {
        kind,
        length: required(section, "length_s", section.number_range("length_s", 0.0..=1e7)?)?,
        affected_share: section.number_range("part", 0.0..=1.0)?.unwrap_or((1.0, 1.0)),
        magnitude: section.number_range("size", 0.0..=100.0)?.unwrap_or((0.2, 0.2)),
        interval: section.number_range("extra_s", 0.0..=1e6)?.unwrap_or((1.0, 1.0)),
    })
}

/// Reads the cases; without any, returns one case with the load of the traffic block and no faults.
fn cases(top: Layer<'_>) -> HclResult<Vec<Case>> {
    let faults = fault_sections(top)?;
    let usual_load = top.block("traffic")?.range("load", 0.0, 100.0)?;
    let mut cases = Vec::new();
    for section in top.overrides.into_iter().flat_map(|own| own.sections("case")) {
        let faults = case_faults(section, &faults)?;
        let load = section.number_range("load", 0.0..=100.0)?.unwrap_or(usual_load);
        cases.push(Case { name: section.label().to_owned(), load, faults });
    }
    if cases.is_empty() {
        cases.push(Case { name: "usual".to_owned(), load: usual_load, faults: Vec::new() });
    }
    Ok(cases)
}

/// Returns the blocks with the parameters of faults, those of the experiment before those of the base.
fn fault_sections(top: Layer<'_>) -> HclResult<Vec<&Section>> {
    let own = top.overrides.into_iter().flat_map(|own| own.sections("trouble"));
    let sections: Vec<&Section> = own.chain(top.base.sections("trouble")).collect();
    for section in &sections {
        if FaultKind::by_name(section.label()).is_none() {
            let names: Vec<&str> = FAULT_KINDS.iter().map(|(name, _)| *name).collect();
            return Err(section.error("", format!("expected one of {}", names.join(", "))));
        }
    }
    Ok(sections)
}

/// Returns the faults that a case names.
fn case_faults(case: &Section, sections: &[&Section]) -> HclResult<Vec<FaultSpec>> {
    match case.value("troubles") {
        None => Ok(Vec::new()),
        Some(Value::List(names)) => names.iter().map(|name| named_fault(case, name, sections)).collect(),
        Some(other) => Err(case.error("troubles", format!("expected a list of names, found {other}"))),
    }
}

fn named_fault(case: &Section, name: &Value, sections: &[&Section]) -> HclResult<FaultSpec> {
    let Value::String(name) = name else {
        return Err(case.error("troubles", format!("expected each name as a string, found {name}")));
    };
    let Some(kind) = FaultKind::by_name(name) else {
        return Err(case.error("troubles", format!("unknown trouble \"{name}\"")));
    };
    let Some(parameters) = sections.iter().find(|section| section.label() == name) else {
        let problem = format!("\"{name}\" needs a block trouble \"{name}\" with its parameters");
        return Err(case.error("troubles", problem));
    };
    fault_spec(parameters, kind)
}

fn arm(section: &Section) -> HclResult<Arm> {
    let routers = [
        ("cairncrank", RouterKind::DecisionModule),
        ("random", RouterKind::Random),
        ("round-robin", RouterKind::RoundRobin),
        ("least-outstanding", RouterKind::LeastOutstanding),
        ("power-of-two", RouterKind::PowerOfTwo),
        ("oracle", RouterKind::Oracle),
    ];
    Ok(Arm {
        name: section.label().to_owned(),
        router: required(section, "router", section.keyword("router", &routers)?)?,
        quota: section.number("quota", 0.0..=100.0)?.unwrap_or(1.0),
        attempts: section.integer("attempts", 1..=100)?.map(|attempts| attempts as u32),
        clock_error: section.number("clock_error_s", 0.0..=1e6)?.unwrap_or(0.0),
        hedging: section.boolean("copies")?.unwrap_or(true),
        capacity_reservation: match section.section("room")? {
            None => None,
            Some(room) => Some(CapacityReservation {
                min_slots: room.number("from_slots", 2.0..=1024.0)?.unwrap_or(4.0),
                price: room.number("price", 0.0..=1000.0)?.unwrap_or(16.0),
            }),
        },
    })
}
