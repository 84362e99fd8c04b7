//! All keys of the settings file and of a budgets file, their defaults, and the errors of invalid values.

use std::fmt::Write as _;
use std::net::IpAddr;
use std::path::Path;

use coordination::Timing;
use coordinator::config::{parse, parse_budgets, read, read_budgets};
use disruption_budget::{Amount, Budget, BudgetScope, TargetKind};

const REPLICAS: &str = r#"installation = "north"
keeper "1" {
  address = "192.0.2.11:7100"
}
keeper "2" {
  address = "192.0.2.12:7100"
}
keeper "3" {
  address = "192.0.2.13:7100"
}
"#;
const SERVE: &str = "serve {\n  keeper = 1\n  store = \"/var/lib/keeper\"\n}\n";

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/fixtures").join(name)
}

#[test]
fn parses_every_key() {
    let config = read(&example("every-key.hcl")).unwrap();
    assert_eq!(config.installation, "north");
    let addresses: Vec<(u64, String)> =
        config.replicas.iter().map(|(number, address)| (*number, address.to_string())).collect();
    let expected = [(1, "192.0.2.11:7100"), (2, "192.0.2.12:7100"), (7, "[2001:db8::13]:7100")];
    assert_eq!(addresses, expected.map(|(number, address)| (number, address.to_owned())));
    assert_eq!(config.first_token, 5_000);
    let timing = Timing {
        lease_duration: 2_000_000,
        renewal_interval: 500_000,
        call_timeout: 600_000,
        stability_period: 1_100_000,
        short_session_limit: 11_000_000,
        max_clock_skew_ppm: 2_000,
        election_timeout: 480_000,
        heartbeat_interval: 90_000,
    };
    assert_eq!(config.timing, timing);
    let serve = config.serve.unwrap();
    assert_eq!(serve.replica_id, 7);
    assert_eq!(serve.listen.to_string(), "0.0.0.0:7101");
    assert_eq!(serve.store_directory, Path::new("/var/lib/keeper"));
    assert_eq!(serve.bind_address, Some("192.0.2.13".parse::<IpAddr>().unwrap()));
    assert_eq!(serve.max_connections, 4_000);
    assert_eq!(serve.protocol_version, 2);
    assert_eq!(serve.injected_bug, None);
}

#[test]
fn omitted_keys_have_defaults() {
    let config = parse("keeper.hcl", &format!("{REPLICAS}{SERVE}")).unwrap();
    assert_eq!((config.first_token, config.timing), (1, Timing::default()));
    let serve = config.serve.unwrap();
    assert_eq!(serve.listen.to_string(), "192.0.2.11:7100");
    assert_eq!(
        (serve.bind_address, serve.max_connections, serve.protocol_version, serve.injected_bug),
        (None, 1_024, 3, None)
    );
    assert!(parse("keeper.hcl", REPLICAS).unwrap().serve.is_none());
}

#[test]
fn parses_every_key_of_a_budget() {
    let budget = |name: &str, kind, scope, max_unavailable, min_available| Budget {
        name: name.to_owned(),
        kind,
        scope,
        max_unavailable,
        min_available,
    };
    let (count, percent) = (|count| Some(Amount::Count(count)), |percent| Some(Amount::Percent(percent)));
    let (east, large) = (BudgetScope::Zone("east".to_owned()), BudgetScope::Pool("large".to_owned()));
    let expected = [
        budget("all", TargetKind::Worker, BudgetScope::Fleet, count(3), None),
        budget("fleet", TargetKind::Dispatcher, BudgetScope::Fleet, percent(25), count(2)),
        budget("zones", TargetKind::Worker, BudgetScope::EachZone, None, percent(50)),
        budget("pools", TargetKind::Worker, BudgetScope::EachPool, count(1), None),
        budget("east", TargetKind::Dispatcher, east, count(1), None),
        budget("large", TargetKind::Worker, large, None, count(4)),
    ];
    assert_eq!(read_budgets(&example("every-budget-key.hcl")).unwrap(), expected);
}

#[test]
fn errors_name_file_line_and_key() {
    let replicas = |text: &str| format!("{REPLICAS}{text}");
    let serve = |text: &str| format!("{REPLICAS}{}", SERVE.replace("}\n", &format!("{text}\n}}\n")));
    let cases = [
        String::new(),
        replicas("sevre {\n}\n"),
        replicas("installation = \"south\"\n"),
        replicas("first_token = 0\n"),
        replicas("times {\n  lease_ms = 1000\n}\n"),
        replicas("times {\n  lease = 1000\n}\n"),
        replicas("keeper \"3\" {\n  address = \"192.0.2.1:1\"\n}\n"),
        replicas("keeper \"x\" {\n  address = \"192.0.2.1:1\"\n}\n"),
        replicas("keeper \"4\" {\n  address = \"192.0.2.1:1\"\n}\n"),
        replicas("keeper \"4\" {\n  address = \"here\"\n}\n"),
        replicas("serve {\n  store = \"x\"\n}\n"),
        replicas("serve {\n  keeper = 4\n  store = \"x\"\n}\n"),
        replicas("serve {\n  keeper = 1\n}\n"),
        serve("  listen = \"here\""),
        serve("  bind = \"here\""),
        serve("  connections = 7"),
        serve("  speaks = 1"),
        serve("  speaks = 4"),
        serve("  speeks = 2"),
        "installation = ".to_owned(),
    ];
    let mut all = String::new();
    for text in cases {
        let _ = writeln!(all, "{}", parse("keeper.hcl", &text).unwrap_err());
    }
    let _ = writeln!(all, "{}", read(Path::new("nowhere/keeper.hcl")).unwrap_err());
    insta::assert_snapshot!("faults", all);
}

#[test]
fn errors_of_budgets_name_file_line_and_key() {
    let budget = |text: &str| format!("budget \"b\" {{\n  targets = \"workers\"\n{text}\n}}\n");
    let cases = [
        "budget {\n}\n".to_owned(),
        "budget \"b\" {\n}\n".to_owned(),
        "budget \"b\" {\n  targets = \"servers\"\n}\n".to_owned(),
        format!("{}{}", budget("  most_out = 1"), budget("  most_out = 1")),
        budget(""),
        budget("  of = \"zone/\"\n  most_out = 1"),
        budget("  most_out = 0"),
        budget("  most_out = \"101%\""),
        budget("  most_out = \"some\""),
        budget("  least_in = \"100%\""),
        budget("  least_in = 0"),
        budget("  most_in = 1"),
        "budgets {\n}\n".to_owned(),
    ];
    let mut all = String::new();
    for text in cases {
        let _ = writeln!(all, "{}", parse_budgets("budgets.hcl", &text).unwrap_err());
    }
    let _ = writeln!(all, "{}", read_budgets(Path::new("nowhere/budgets.hcl")).unwrap_err());
    insta::assert_snapshot!("budget_faults", all);
}

fn with_injected_bug(name: &str) -> String {
    format!("{REPLICAS}{}", SERVE.replace("}\n", &format!("  flaw = \"{name}\"\n}}\n")))
}

#[cfg(feature = "seeded-bugs")]
#[test]
fn parses_the_name_of_each_injected_bug() {
    use disruption_budget::InjectedBug;
    for (name, bug) in [
        ("any-process", InjectedBug::AnyIncarnation),
        ("planned-only", InjectedBug::PlannedOnly),
        ("old-observation", InjectedBug::StaleObservation),
        ("begin-unasked", InjectedBug::BeginUnknownPermit),
    ] {
        let config = parse("keeper.hcl", &with_injected_bug(name)).unwrap();
        assert_eq!(config.serve.unwrap().injected_bug, Some(bug));
    }
    let error = parse("keeper.hcl", &with_injected_bug("unknown")).unwrap_err().to_string();
    assert_eq!(error, "keeper.hcl:14: serve.flaw: there is no flaw \"unknown\"");
}

#[cfg(not(feature = "seeded-bugs"))]
#[test]
fn build_without_injected_bugs_rejects_their_key() {
    let error = parse("keeper.hcl", &with_injected_bug("any-process")).unwrap_err().to_string();
    assert!(error.starts_with("keeper.hcl:14: ") && error.contains("flaw"), "{error}");
}
