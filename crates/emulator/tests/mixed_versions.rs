//! Coordinator processes of two protocol versions in one cluster. The older one uses the previous version of the
//! messages and supports only the log entries of that version.

use std::time::Duration;

use emulator::cluster::cluster_harness::{Binaries, ClusterHarness, ClusterSpec};
use emulator::cluster::emulated_discovery::EmulatedDiscovery;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// Starts three coordinators, the third of the older version, and two dispatchers.
async fn start_mixed_cluster(dir: &std::path::Path) -> ClusterHarness {
    let example = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    let config = serde_json::from_slice(&std::fs::read(example).unwrap()).unwrap();
    let spec = ClusterSpec {
        coordinators: 3,
        dispatchers: 2,
        cluster_settings: Some("account {\n}\n"),
        discoveries: &[EmulatedDiscovery::new(3)],
        proxy_seed: None,
    };
    let mut cluster =
        ClusterHarness::start(dir, Binaries::beside_tests().unwrap(), config, spec).await.unwrap();
    cluster.kill_coordinator(3);
    cluster.set_coordinator_setting(3, "speaks", "2").unwrap();
    cluster.start_coordinator(3).unwrap();
    cluster.wait_for_workers(3).await.unwrap();
    cluster.wait_for_watches(1).await.unwrap();
    cluster
}

/// Sets budgets at the coordinators; returns the output of the command, or its error.
async fn set_budgets(cluster: &ClusterHarness, dir: &std::path::Path) -> Result<String, String> {
    let file = dir.join("budgets.hcl");
    std::fs::write(&file, "budget \"b\" {\n  targets = \"dispatchers\"\n  most_out = 1\n}\n").unwrap();
    let arguments = ["budgets", "--set", &file.display().to_string()];
    cluster.run_coordinator_command(1, &arguments).await.map_err(|error| error.to_string())
}

/// Sets budgets repeatedly until the result is as wanted; returns that result.
async fn set_budgets_until(
    cluster: &ClusterHarness,
    dir: &std::path::Path,
    is_wanted: impl Fn(Result<&str, &str>) -> bool,
) -> Result<String, String> {
    let start = Instant::now();
    loop {
        let result = set_budgets(cluster, dir).await;
        if is_wanted(result.as_deref().map_err(String::as_str)) {
            return result;
        }
        assert!(start.elapsed() < Duration::from_secs(15), "{result:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// The older coordinator and one of the newer ones must be a working majority. Commands that the older version does not
/// support are rejected until it is upgraded.
#[test]
fn an_older_coordinator_counts_for_the_majority_and_unsupported_commands_are_rejected() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut cluster = start_mixed_cluster(dir.path()).await;
        // The older coordinator and one newer one remain. Whichever of the two leads, the lease of a killed holder must
        // be granted to another dispatcher.
        let lost = if cluster.leader().unwrap() == 1 { 1 } else { 2 };
        cluster.kill_coordinator(lost);
        let holder = cluster.discovery_leader().unwrap();
        cluster.kill_dispatcher(holder);
        let start = Instant::now();
        while cluster.discovery_leader() == Some(holder) {
            assert!(start.elapsed() < Duration::from_secs(12), "no dispatcher took over\n{}", cluster.logs());
            sleep(Duration::from_millis(20)).await;
        }
        cluster.start_dispatcher(holder).unwrap();
        cluster.start_coordinator(lost).unwrap();
        // Budgets are not supported by the older version, so they are rejected whichever coordinator leads.
        let rejected = set_budgets_until(&cluster, dir.path(), |result| {
            result.is_err_and(|error| error.contains("version"))
        })
        .await;
        assert!(rejected.unwrap_err().contains("replica 3 runs a version that does not support permits"));
        assert_eq!(cluster.coordinator_exit_code(3), None, "{}", cluster.coordinator_log(3));
        // After its upgrade, all coordinators support budgets.
        cluster.kill_coordinator(3);
        cluster.set_coordinator_setting(3, "speaks", "3").unwrap();
        cluster.start_coordinator(3).unwrap();
        set_budgets_until(&cluster, dir.path(), |result| result.is_ok()).await.unwrap();
        cluster.wait_for_watches(1).await.unwrap();
    });
}

/// While the older coordinator does not run, the others commit an entry that its version does not support. When it is
/// started again, it must log the reason and exit rather than skip the entry, and the others must keep working.
#[test]
fn a_coordinator_exits_at_a_committed_entry_that_it_does_not_support() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut cluster = start_mixed_cluster(dir.path()).await;
        (1..=3).for_each(|n| cluster.kill_coordinator(n));
        (1..=2).try_for_each(|n| cluster.start_coordinator(n)).unwrap();
        set_budgets_until(&cluster, dir.path(), |result| result.is_ok()).await.unwrap();
        cluster.start_coordinator(3).unwrap();
        let start = Instant::now();
        let code = loop {
            if let Some(code) = cluster.coordinator_exit_code(3) {
                break code;
            }
            assert!(start.elapsed() < Duration::from_secs(15), "coordinator 3 keeps running");
            sleep(Duration::from_millis(50)).await;
        };
        let log = cluster.coordinator_log(3);
        assert!(code == 5 && log.contains("it stops rather than skip a committed entry"), "{code}: {log}");
        cluster.wait_for_watches(1).await.unwrap();
        cluster.run_coordinator_command(1, &["account"]).await.unwrap();
    });
}
