//! Settings shared by members and coordinators: all keys, their defaults, and the texts of errors.

mod support;

use cluster_member::settings;
use hcl_config::{HclError, Section};
use support::assert_pinned;

/// Settings with every key, each with a value other than its default.
const EVERY_KEY: &str = r#"
installation = "north"
listen = "127.0.0.1:7201"
keeper "1" {
  address = "127.0.0.1:7101"
}
keeper "2" {
  address = "[::1]:7102"
}
keeper "1000000" {
  address = "127.0.0.1:7103"
}
times {
  lease_ms = 3000
  renew_ms = 500
  call_ms = 600
  stay_ms = 2000
  short_ms = 20000
  election_ms = 800
  heartbeat_ms = 100
  skew_ppm = 2000
}
watch {
  every_ms = 2000
  sets = 9
  fails = 3
  holds_ms = 9000
}
cold {
  slots = 4.5
  part = 0.25
  expiry_ms = 700
}
"#;

/// Settings with the required keys only.
const REQUIRED_KEYS: &str = r#"
installation = "north"
listen = "127.0.0.1:7201"
keeper "1" {
  address = "127.0.0.1:7101"
}
keeper "2" {
  address = "127.0.0.1:7102"
}
keeper "3" {
  address = "127.0.0.1:7103"
}
watch {
}
cold {
  slots = 8
}
"#;

/// Returns the values that are read from a text, one per line.
fn values(text: &str) -> Result<String, HclError> {
    let top = Section::parse("member.hcl", text)?;
    let mut lines = vec![
        format!("installation: {}", settings::required_text(&top, "installation")?),
        format!("listen: {}", settings::required_address(&top, "listen")?),
    ];
    for (replica_id, address) in settings::replicas(&top)? {
        lines.push(format!("replica {replica_id}: {address}"));
    }
    let times = settings::timing(&top)?;
    lines.extend([
        format!("lease: {} us", times.lease_duration),
        format!("renew: {} us", times.renewal_interval),
        format!("call: {} us", times.call_timeout),
        format!("stay: {} us", times.stability_period),
        format!("short: {} us", times.short_session_limit),
        format!("election: {} us", times.election_timeout),
        format!("heartbeat: {} us", times.heartbeat_interval),
        format!("skew: {} ppm", times.max_clock_skew_ppm),
    ]);
    if let Some(section) = top.section("watch")? {
        let config = settings::health_check_config(section)?;
        lines.extend([
            format!("sets: {}, zones: {}", config.set_count, config.zone_count),
            format!("probe interval: {} us", config.probe_interval),
            format!("failures: {}", config.failure_threshold),
            format!("holds: {} us", config.report_ttl),
            format!("bug: {}", config.injected_bug.is_some()),
        ]);
    }
    if let Some(section) = top.section("cold")? {
        let quota = settings::quota_config(section, &times)?;
        lines.extend([
            format!("slots: {}", quota.smallest_worker_slots),
            format!("part: {}", quota.grantable_fraction),
            format!("expiry: {} us, delivery timeout: {} us", quota.grant_ttl, quota.delivery_timeout),
            format!("skew: {} ppm", quota.skew_ppm),
        ]);
    }
    top.deny_unknown_keys()?;
    Ok(lines.join("\n") + "\n")
}

#[test]
fn every_key_is_read() {
    assert_pinned("settings_every_key", &values(EVERY_KEY).unwrap());
}

#[test]
fn missing_keys_take_their_defaults() {
    assert_pinned("settings_defaults", &values(REQUIRED_KEYS).unwrap());
}

#[test]
fn errors_name_the_key_and_its_bounds() {
    let changes = [
        ("installation = \"north\"\n", ""),
        ("installation = \"north\"", "installation = \"\""),
        ("installation = \"north\"", "installation = 7"),
        ("listen = \"127.0.0.1:7201\"", "listen = \"localhost:7201\""),
        ("keeper \"1\"", "keeper \"0\""),
        ("keeper \"1\"", "keeper \"one\""),
        ("keeper \"2\"", "keeper \"1\""),
        ("keeper \"1000000\" {\n  address = \"127.0.0.1:7103\"\n}\n", ""),
        ("  address = \"127.0.0.1:7103\"\n", ""),
        ("lease_ms = 3000", "lease_ms = 600001"),
        ("lease_ms = 3000", "lease_ms = 0"),
        ("lease_ms = 3000", "lease_ms = 1400"),
        ("renew_ms = 500", "renew_ms = 0"),
        ("call_ms = 600", "call_ms = 1501"),
        ("stay_ms = 2000", "stay_ms = 499"),
        ("short_ms = 20000", "short_ms = 1999"),
        ("election_ms = 800", "election_ms = 1501"),
        ("heartbeat_ms = 100", "heartbeat_ms = 201"),
        ("skew_ppm = 2000", "skew_ppm = 100001"),
        ("every_ms = 2000", "every_ms = 99"),
        ("sets = 9", "sets = 101"),
        ("fails = 3", "fails = 0"),
        ("holds_ms = 9000", "holds_ms = 199"),
        ("holds_ms = 9000", "holds_ms = 3999"),
        ("slots = 4.5", "slots = 0"),
        ("  slots = 4.5\n", ""),
        ("part = 0.25", "part = 0.6"),
        ("expiry_ms = 700", "expiry_ms = 199"),
        ("lease_ms = 3000", "lease_ms = 3000\n  lesae_ms = 1"),
    ];
    let mut text = String::new();
    for (from, to) in changes {
        let changed = EVERY_KEY.replacen(from, to, 1);
        assert_ne!(changed, EVERY_KEY, "{from}");
        let error = values(&changed).expect_err(to);
        text += &format!("{} -> {}\n    {error}\n", from.trim(), to.trim());
    }
    let long = EVERY_KEY.replacen("north", &"n".repeat(129), 1);
    text += &format!("129 bytes\n    {}\n", values(&long).unwrap_err());
    assert!(values(&EVERY_KEY.replacen("north", &"n".repeat(128), 1)).is_ok());
    assert_pinned("settings_faults", &text.replace("\n\n", "\n"));
}

/// A build for experiments accepts the names of injected bugs; any other build rejects the key.
#[test]
fn only_builds_for_experiments_accept_injected_bugs() {
    let with = |name: &str| values(&EVERY_KEY.replace("sets = 9", &format!("sets = 9\n  flaw = {name:?}")));
    for name in ["no-wait", "trusting", "no-look"] {
        if cfg!(feature = "seeded-bugs") {
            assert!(with(name).unwrap().contains("bug: true"));
        } else {
            assert_eq!(
                with(name).unwrap_err().to_string(),
                "member.hcl:26: watch.flaw: there is no such key here"
            );
        }
    }
    if cfg!(feature = "seeded-bugs") {
        assert_eq!(
            with("other").unwrap_err().to_string(),
            "member.hcl:26: watch.flaw: there is no injected bug \"other\""
        );
    }
}
