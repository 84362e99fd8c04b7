//! Tests of every key of the settings with an example and the value that is read from it. Path=value pairs and nested
//! JSON must give the same values.

use dispatch_core::api::{Idempotency, KeyScope, LoadReport, LoadReports, Settings};
use dispatch_core::settings::parse_settings;
use dispatch_core::settings_pairs::SettingsPairs;

/// A key of the settings with an example, and the value that `read` must return for it.
struct Key {
    path: &'static str,
    example: &'static str,
    value: &'static str,
    read: fn(&Settings) -> String,
}

/// Further pairs without which some keys are not read.
const CONTEXT: &str = "profiles.count=2 projects.count=2 caps.retry-after=true report.names=x0,x1,eps";

/// Describes when a job of the first class may run again.
fn idempotency_of_first_class(settings: &Settings) -> String {
    match settings.classes[0].idempotency {
        Idempotency::Idempotent => "any time",
        Idempotency::WithKey(KeyScope::All) => "by key, everywhere",
        Idempotency::WithKey(KeyScope::Zone) => "by key, within a zone",
        Idempotency::WithKey(KeyScope::Cell) => "by key, within a cell",
        Idempotency::NotIdempotent => "never",
    }
    .to_owned()
}

/// Describes the source of load reports.
fn report_source(settings: &Settings) -> String {
    match settings.load_reports {
        LoadReports::None => "none",
        LoadReports::WithResponses => "with responses",
        LoadReports::WithProbes => "with probes",
    }
    .to_owned()
}

/// Returns the load that is read from a positional report with three figures.
fn parse_three_figures(settings: &Settings) -> String {
    let load = settings.load_report_format.parse_positional("3,40,0.5").expect("a report");
    let LoadReport { free_slots, free_memory, queue_length: queue, in_flight, latency, error_rate: errors } =
        load;
    format!("{free_slots:?} {free_memory:?} {queue:?} {in_flight:?} {latency:?} {errors:?}")
}

const KEYS: [Key; 45] = [
    Key { path: "slot-no", example: "3", value: "3", read: |s| s.instance.to_string() },
    Key { path: "balancers", example: "7", value: "7", read: |s| s.instances.to_string() },
    Key { path: "zone", example: "2", value: "2", read: |s| s.zone.to_string() },
    Key { path: "profiles.count", example: "3", value: "3", read: |s| s.classes.len().to_string() },
    Key {
        path: "profiles.0.idempotency",
        example: "free",
        value: "any time",
        read: idempotency_of_first_class,
    },
    Key {
        path: "profiles.0.idempotency",
        example: "guarded",
        value: "by key, everywhere",
        read: idempotency_of_first_class,
    },
    Key {
        path: "profiles.0.window-s",
        example: "12.5",
        value: "12.5",
        read: |s| s.classes[0].key_window.to_string(),
    },
    Key {
        path: "profiles.1.promise-s",
        example: "0.4",
        value: "0.4",
        read: |s| s.classes[1].latency_objective.to_string(),
    },
    Key {
        path: "profiles.1.aim-stretch",
        example: "2.5",
        value: "2.5",
        read: |s| s.classes[1].run_time_allowance.to_string(),
    },
    Key {
        path: "profiles.1.late-worth",
        example: "0.3",
        value: "0.3",
        read: |s| s.classes[1].late_weight.to_string(),
    },
    Key {
        path: "family-info.class-stretch",
        example: "1.5,3",
        value: "3",
        read: |s| s.classes[1].run_time_allowance.to_string(),
    },
    Key {
        path: "family-info.class-kind",
        example: "-1,4",
        value: "None Some(4)",
        read: |s| format!("{:?} {:?}", s.classes[0].required_kind, s.classes[1].required_kind),
    },
    Key { path: "projects.count", example: "4", value: "4", read: |s| s.tenants.len().to_string() },
    Key {
        path: "projects.1.share",
        example: "0.25",
        value: "0.25",
        read: |s| s.tenants[1].share.to_string(),
    },
    Key {
        path: "projects.1.quota-per-s",
        example: "40",
        value: "40",
        read: |s| s.tenants[1].quota.to_string(),
    },
    Key { path: "discovery", example: "ask", value: "true", read: |s| s.polls_endpoint_list.to_string() },
    Key {
        path: "obligations.ask-within-s",
        example: "9",
        value: "9",
        read: |s| s.max_poll_interval.to_string(),
    },
    Key {
        path: "obligations.cold-share",
        example: "0.3",
        value: "0.3",
        read: |s| s.slow_start_min_capacity.to_string(),
    },
    Key {
        path: "obligations.warm-within-s",
        example: "20",
        value: "20",
        read: |s| s.slow_start_duration.to_string(),
    },
    Key {
        path: "obligations.fall-multiple",
        example: "3",
        value: "3",
        read: |s| s.overload_multiple.to_string(),
    },
    Key {
        path: "obligations.tip-after-s",
        example: "1.5",
        value: "1.5",
        read: |s| s.overload_window.to_string(),
    },
    Key { path: "report.how", example: "answers", value: "with responses", read: report_source },
    Key { path: "report.how", example: "probe", value: "with probes", read: report_source },
    Key {
        path: "report.names",
        example: "inflight,queue,latency_ms",
        value: "None None Some(40.0) Some(3.0) Some(0.0005) None",
        read: parse_three_figures,
    },
    Key {
        path: "report.names",
        example: "free_slots,free_memory,eps",
        value: "Some(3.0) Some(40.0) None None None Some(0.5)",
        read: parse_three_figures,
    },
    Key {
        path: "family-info.report-x0",
        example: "free_slots",
        value: "Some(3.0) None None None None Some(0.5)",
        read: parse_three_figures,
    },
    Key {
        path: "family-info.report-x1",
        example: "free_memory",
        value: "None Some(40.0) None None None Some(0.5)",
        read: parse_three_figures,
    },
    Key {
        path: "clients.marks-retry",
        example: "true",
        value: "true",
        read: |s| s.clients_mark_retries.to_string(),
    },
    Key { path: "caps.probes", example: "true", value: "true", read: |s| s.probes_allowed.to_string() },
    Key { path: "caps.cancel", example: "true", value: "true", read: |s| s.cancellation_allowed.to_string() },
    Key { path: "caps.send-cap", example: "4", value: "4", read: |s| s.max_attempts.to_string() },
    Key {
        path: "caps.max-retry-after-s",
        example: "2.5",
        value: "2.5",
        read: |s| s.max_retry_after.to_string(),
    },
    Key {
        path: "caps.parallel-tries",
        example: "true",
        value: "true",
        read: |s| s.hedging_allowed.to_string(),
    },
    Key { path: "caps.keepalive-s", example: "6", value: "6", read: |s| s.keep_alive.to_string() },
    Key { path: "charges.probe", example: "0.002", value: "0.002", read: |s| s.probe_price.to_string() },
    Key {
        path: "charges.handshake",
        example: "0.03",
        value: "0.03",
        read: |s| s.handshake_price.to_string(),
    },
    Key {
        path: "charges.cross-zone",
        example: "0.01",
        value: "0.01",
        read: |s| s.cross_zone_price.to_string(),
    },
    Key {
        path: "family-info.progress-s",
        example: "1.25",
        value: "1.25",
        read: |s| s.progress_interval.to_string(),
    },
    Key {
        path: "family-info.tells-start",
        example: "true",
        value: "true",
        read: |s| s.reports_job_start.to_string(),
    },
    Key { path: "resolution-s", example: "0.004", value: "0.004", read: |s| s.clock_resolution.to_string() },
    Key {
        path: "profiles.1.window-s",
        example: "8",
        value: "8",
        read: |s| s.classes[1].key_window.to_string(),
    },
    Key {
        path: "profiles.0.promise-s",
        example: "0.7",
        value: "0.7",
        read: |s| s.classes[0].latency_objective.to_string(),
    },
    Key {
        path: "profiles.0.late-worth",
        example: "0.9",
        value: "0.9",
        read: |s| s.classes[0].late_weight.to_string(),
    },
    Key {
        path: "projects.0.share",
        example: "0.75",
        value: "0.75",
        read: |s| s.tenants[0].share.to_string(),
    },
    Key {
        path: "projects.0.quota-per-s",
        example: "60",
        value: "60",
        read: |s| s.tenants[0].quota.to_string(),
    },
];

fn read(text: &str) -> Settings {
    parse_settings(&SettingsPairs::parse(text.split_whitespace()).expect("pairs")).expect("settings")
}

#[test]
fn each_key_sets_its_value() {
    for Key { path, example, value, read: field } in &KEYS {
        let without = field(&read(CONTEXT));
        assert_ne!(&without, value, "{path}: the example must differ from the default");
        assert_eq!(field(&read(&format!("{CONTEXT} {path}={example}"))), *value, "{path}={example}");
    }
}

#[test]
fn the_key_scope_limits_the_workers_that_share_keys() {
    for (scope, value) in
        [("zone", "by key, within a zone"), ("cell", "by key, within a cell"), ("all", "by key, everywhere")]
    {
        let text = format!("profiles.count=1 profiles.0.idempotency=guarded profiles.0.key-scope={scope}");
        assert_eq!(idempotency_of_first_class(&read(&text)), value);
    }
}

#[test]
fn a_retry_after_must_be_enabled() {
    assert_eq!(read("caps.max-retry-after-s=2.5").max_retry_after, 0.0);
    assert_eq!(read("caps.max-retry-after-s=2.5 caps.retry-after=true").max_retry_after, 2.5);
}

#[test]
fn lists_have_names_and_counts() {
    let pairs =
        SettingsPairs::parse("projects.count=2 projects.0.name=web projects.1.name=batch azs=a,b".split(' '));
    let pairs = pairs.expect("pairs");
    assert_eq!(pairs.names("projects"), Ok(vec!["web".to_owned(), "batch".to_owned()]));
    assert_eq!(pairs.list("azs").collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(pairs.count("profiles"), Ok(0));
}

/// The same settings as nested JSON and as pairs must give the same value for each key.
#[test]
fn nested_json_gives_the_same_settings_as_pairs() {
    let json: serde_json::Value =
        serde_json::from_str(include_str!("fixtures/settings.json")).expect("the example is JSON");
    let nested = parse_settings(&SettingsPairs::from_json(&json)).expect("settings");
    let pairs = read(include_str!("fixtures/settings.pairs"));
    for Key { path, read: field, .. } in &KEYS {
        assert_eq!(field(&nested), field(&pairs), "{path}");
    }
    let values: Vec<String> =
        KEYS.iter().map(|key| format!("{} -> {}", key.path, (key.read)(&nested))).collect();
    insta::assert_snapshot!("settings_of_the_example", values.join("\n"));
}

/// The error for an invalid value must name the path of the setting.
#[test]
fn errors_name_the_path() {
    for (text, path) in [
        ("slot-no=x", "slot-no"),
        ("zone=-1", "zone"),
        ("resolution-s=nan", "resolution-s"),
        ("caps.probes=perhaps", "caps.probes"),
        ("profiles.count=1 profiles.0.window-s=-3", "profiles.0.window-s"),
        // Guards against reading an unknown scope as the widest one. With a misspelled scope, a request with a key was
        // retried at a worker that did not have the key, and its job ran twice.
        (
            "profiles.count=1 profiles.0.idempotency=guarded profiles.0.key-scope=zones",
            "profiles.0.key-scope",
        ),
        ("profiles.count=1 profiles.0.idempotency=guarded profiles.0.key-scope=Cell", "profiles.0.key-scope"),
        ("profiles.count=1 family-info.class-stretch=wide", "family-info.class-stretch"),
        ("projects.count=1 projects.0.quota-per-s=many", "projects.0.quota-per-s"),
    ] {
        let error = parse_settings(&SettingsPairs::parse(text.split(' ')).expect("pairs")).expect_err(text);
        assert_eq!(error.expected, path, "{text}");
    }
}
