//! Keepers of two versions side by side, as processes: the older one speaks the messages of the version before and knows
//! its entries only.

use std::time::Duration;

use emulator::cluster::cluster_harness::{Binaries, ClusterHarness, ClusterSpec};
use emulator::cluster::emulated_discovery::EmulatedDiscovery;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// Three keepers, of which the third is older, and two dispatchers.
async fn mixed(dir: &std::path::Path) -> ClusterHarness {
    let toy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    let config = serde_json::from_slice(&std::fs::read(toy).unwrap()).unwrap();
    let setup = ClusterSpec {
        coordinators: 3,
        dispatchers: 2,
        cluster_settings: Some("account {\n}\n"),
        discoveries: &[EmulatedDiscovery::new(3)],
        proxy_seed: None,
    };
    let mut fleet =
        ClusterHarness::start(dir, Binaries::beside_tests().unwrap(), config, setup).await.unwrap();
    fleet.kill_coordinator(3);
    fleet.set_coordinator_setting(3, "speaks", "2").unwrap();
    fleet.start_coordinator(3).unwrap();
    fleet.wait_for_workers(3).await.unwrap();
    fleet.wait_for_watches(1).await.unwrap();
    fleet
}

async fn budgets(fleet: &ClusterHarness, dir: &std::path::Path) -> Result<String, String> {
    let file = dir.join("budgets.hcl");
    std::fs::write(&file, "budget \"b\" {\n  targets = \"dispatchers\"\n  most_out = 1\n}\n").unwrap();
    let arguments = ["budgets", "--set", &file.display().to_string()];
    fleet.run_coordinator_command(1, &arguments).await.map_err(|error| error.to_string())
}

/// Sets budgets until what is said is as wanted.
async fn until(
    fleet: &ClusterHarness,
    dir: &std::path::Path,
    wanted: impl Fn(Result<&str, &str>) -> bool,
) -> Result<String, String> {
    let start = Instant::now();
    loop {
        let said = budgets(fleet, dir).await;
        if wanted(said.as_deref().map_err(String::as_str)) {
            return said;
        }
        assert!(start.elapsed() < Duration::from_secs(15), "{said:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

#[test]
fn an_older_keeper_counts_for_a_majority_and_nothing_is_agreed_that_it_does_not_know() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut fleet = mixed(dir.path()).await;
        // The older one and one newer are a majority: whoever of them leads, the duty goes on.
        let lost = if fleet.leader().unwrap() == 1 { 1 } else { 2 };
        fleet.kill_coordinator(lost);
        let owner = fleet.discovery_leader().unwrap();
        fleet.kill_dispatcher(owner);
        let start = Instant::now();
        while fleet.discovery_leader() == Some(owner) {
            assert!(start.elapsed() < Duration::from_secs(12), "nobody took over\n{}", fleet.logs());
            sleep(Duration::from_millis(20)).await;
        }
        fleet.start_dispatcher(owner).unwrap();
        fleet.start_coordinator(lost).unwrap();
        // What only the newer ones know is refused, whoever leads.
        let refused = until(&fleet, dir.path(), |said| said.is_err_and(|why| why.contains("version"))).await;
        assert!(refused.unwrap_err().contains("replica 3 runs a version that does not support permits"));
        assert_eq!(fleet.coordinator_exit_code(3), None, "{}", fleet.coordinator_log(3));
        // Brought to the new version, it knows all that the others do.
        fleet.kill_coordinator(3);
        fleet.set_coordinator_setting(3, "speaks", "3").unwrap();
        fleet.start_coordinator(3).unwrap();
        until(&fleet, dir.path(), |said| said.is_ok()).await.unwrap();
        fleet.wait_for_watches(1).await.unwrap();
    });
}

/// One that was away while something new was agreed on stops with a word rather than skip it, and the others go on.
#[test]
fn an_entry_that_a_keeper_does_not_know_stops_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut fleet = mixed(dir.path()).await;
        (1..=3).for_each(|n| fleet.kill_coordinator(n));
        (1..=2).try_for_each(|n| fleet.start_coordinator(n)).unwrap();
        until(&fleet, dir.path(), |said| said.is_ok()).await.unwrap();
        fleet.start_coordinator(3).unwrap();
        let start = Instant::now();
        let code = loop {
            if let Some(code) = fleet.coordinator_exit_code(3) {
                break code;
            }
            assert!(start.elapsed() < Duration::from_secs(15), "it goes on");
            sleep(Duration::from_millis(50)).await;
        };
        let log = fleet.coordinator_log(3);
        assert!(code == 5 && log.contains("it stops rather than skip a committed entry"), "{code}: {log}");
        fleet.wait_for_watches(1).await.unwrap();
        fleet.run_coordinator_command(1, &["account"]).await.unwrap();
    });
}
