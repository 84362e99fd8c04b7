//! Parser for the settings of a dispatcher, from path=value pairs. The simulator adapter receives the pairs in its
//! first message; the dispatcher process reads the same settings as nested JSON.

use crate::api::{Class, Idempotency, KeyScope, LoadReports, Settings, Tenant};
use crate::load_report::LoadReportFormat;
use crate::settings_pairs::{InvalidValue, SettingsPairs};

/// Parses the settings of the decision module.
///
/// # Errors
/// Returns [`InvalidValue`] with the path of the value, if a value has the wrong type, is negative or is not finite.
pub fn parse_settings(pairs: &SettingsPairs<'_>) -> Result<Settings, InvalidValue> {
    let defaults = Settings::default();
    let class_count = pairs.count("profiles")?;
    let classes = (0..class_count).map(|index| parse_class(pairs, index)).collect::<Result<_, _>>()?;
    let tenant_count = pairs.count("projects")?;
    let tenants = (0..tenant_count).map(|index| parse_tenant(pairs, index)).collect::<Result<_, _>>()?;
    Ok(Settings {
        instance: pairs.get("slot-no", defaults.instance)?,
        instances: pairs.get("balancers", defaults.instances)?,
        zone: pairs.get("zone", defaults.zone)?,
        classes,
        tenants,
        dropped: defaults.dropped.clone(),
        polls_endpoint_list: pairs.text("discovery") == "ask",
        max_poll_interval: pairs.non_negative("obligations.ask-within-s", defaults.max_poll_interval)?,
        load_reports: parse_load_reports(pairs),
        load_report_format: LoadReportFormat::from_settings(pairs),
        clients_mark_retries: pairs.get("clients.marks-retry", defaults.clients_mark_retries)?,
        probes_allowed: pairs.get("caps.probes", defaults.probes_allowed)?,
        probe_price: pairs.non_negative("charges.probe", defaults.probe_price)?,
        cancellation_allowed: pairs.get("caps.cancel", defaults.cancellation_allowed)?,
        max_attempts: pairs.get("caps.send-cap", defaults.max_attempts)?,
        max_retry_after: parse_max_retry_after(pairs, &defaults)?,
        progress_interval: pairs.non_negative("family-info.progress-s", defaults.progress_interval)?,
        hedging_allowed: pairs.get("caps.parallel-tries", defaults.hedging_allowed)?,
        reports_job_start: pairs.get("family-info.tells-start", defaults.reports_job_start)?,
        slow_start_min_capacity: pairs
            .non_negative("obligations.cold-share", defaults.slow_start_min_capacity)?,
        slow_start_duration: pairs.non_negative("obligations.warm-within-s", defaults.slow_start_duration)?,
        overload_multiple: pairs.non_negative("obligations.fall-multiple", defaults.overload_multiple)?,
        overload_window: pairs.non_negative("obligations.tip-after-s", defaults.overload_window)?,
        handshake_price: pairs.non_negative("charges.handshake", defaults.handshake_price)?,
        keep_alive: pairs.non_negative("caps.keepalive-s", defaults.keep_alive)?,
        cross_zone_price: pairs.non_negative("charges.cross-zone", defaults.cross_zone_price)?,
        clock_resolution: pairs.non_negative("resolution-s", defaults.clock_resolution)?,
        capacity_reservation: defaults.capacity_reservation,
    })
}

fn parse_class(pairs: &SettingsPairs<'_>, index: usize) -> Result<Class, InvalidValue> {
    let defaults = Class::default();
    let path = |key: &str| format!("profiles.{index}.{key}");
    let allowance = pairs.nth("family-info.class-stretch", index)?.unwrap_or(defaults.run_time_allowance);
    Ok(Class {
        idempotency: parse_idempotency(pairs.text(&path("idempotency")), pairs, &path("key-scope"))?,
        key_window: pairs.non_negative(&path("window-s"), defaults.key_window)?,
        latency_objective: pairs.non_negative(&path("promise-s"), defaults.latency_objective)?,
        run_time_allowance: pairs.non_negative(&path("aim-stretch"), allowance)?,
        late_weight: pairs.non_negative(&path("late-worth"), defaults.late_weight)?,
        // A negative kind stands for no required kind.
        required_kind: pairs
            .nth::<i64>("family-info.class-kind", index)?
            .and_then(|kind| u32::try_from(kind).ok()),
    })
}

fn parse_idempotency(
    idempotency: &str,
    pairs: &SettingsPairs<'_>,
    scope_path: &str,
) -> Result<Idempotency, InvalidValue> {
    Ok(match idempotency {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::WithKey(parse_key_scope(scope_path, pairs.text(scope_path))?),
        _ => Idempotency::NotIdempotent,
    })
}

/// Parses a key scope; an empty one means all workers. An unknown scope is an error: if it were read as a wider scope
/// than intended, a request could be retried at a worker that does not have its key, and its job would run twice.
fn parse_key_scope(path: &str, scope: &str) -> Result<KeyScope, InvalidValue> {
    match scope {
        "" | "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        _ => Err(InvalidValue::new(path, scope)),
    }
}

fn parse_tenant(pairs: &SettingsPairs<'_>, index: usize) -> Result<Tenant, InvalidValue> {
    Ok(Tenant {
        share: pairs.non_negative(&format!("projects.{index}.share"), 1.0)?,
        quota: pairs.non_negative(&format!("projects.{index}.quota-per-s"), 0.0)?,
    })
}

fn parse_load_reports(pairs: &SettingsPairs<'_>) -> LoadReports {
    match pairs.text("report.how") {
        "answers" => LoadReports::WithResponses,
        "probe" => LoadReports::WithProbes,
        _ => LoadReports::None,
    }
}

/// Parses the maximum retry-after of a rejection; zero unless the settings allow rejections to carry one.
fn parse_max_retry_after(pairs: &SettingsPairs<'_>, defaults: &Settings) -> Result<f64, InvalidValue> {
    if pairs.get("caps.retry-after", false)? {
        pairs.non_negative("caps.max-retry-after-s", defaults.max_retry_after)
    } else {
        Ok(0.0)
    }
}
