//! The lease `list` with coordinator and dispatcher processes, and an emulated discovery that counts connections and
//! watches.

use std::path::Path;
use std::time::Duration;

use emulator::cluster::cluster_harness::{Binaries, ClusterHarness, ClusterSpec};
use emulator::cluster::emulated_discovery::EmulatedDiscovery;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const DISPATCHERS: usize = 4;
const WORKERS: usize = 12;

/// Starts a cluster and waits until the dispatchers have the endpoint list; `in_cluster` makes them members with one
/// watch at discovery. The folder is removed when it is dropped.
async fn start(in_cluster: bool) -> (tempfile::TempDir, ClusterHarness) {
    let dir = tempfile::tempdir().unwrap();
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    let config = serde_json::from_slice(&std::fs::read(example).unwrap()).unwrap();
    let binaries = Binaries::beside_tests().unwrap();
    let discovery = EmulatedDiscovery::new(WORKERS);
    let spec = ClusterSpec {
        coordinators: 3,
        dispatchers: DISPATCHERS,
        cluster_settings: in_cluster.then_some(""),
        discoveries: &[discovery],
        proxy_seed: None,
    };
    let cluster = ClusterHarness::start(dir.path(), binaries, config, spec).await.unwrap();
    cluster.wait_for_workers(WORKERS).await.unwrap();
    cluster.wait_for_watches(if in_cluster { 1 } else { DISPATCHERS as u64 }).await.unwrap();
    (dir, cluster)
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// The lease holder alone watches discovery and sends changes to the others. When it is killed, another dispatcher
/// takes over, and the restarted one relies on the new holder.
#[test]
fn one_dispatcher_watches_discovery_for_all_and_is_replaced_when_killed() {
    run(async {
        let (_dir, mut cluster) = start(true).await;
        cluster.discovery.set_unreachable(0, "terminated");
        let propagation_time = cluster.wait_for_workers(WORKERS - 1).await.unwrap();
        println!("all dispatchers had a change from the lease holder after {propagation_time:?}");
        let holder = cluster.discovery_leader().expect("a lease holder");
        cluster.kill_dispatcher(holder);
        let start = Instant::now();
        while cluster.discovery_leader() == Some(holder) {
            assert!(start.elapsed() < Duration::from_secs(10), "no dispatcher took over\n{}", cluster.logs());
            sleep(Duration::from_millis(10)).await;
        }
        cluster.wait_for_watches(1).await.unwrap();
        println!(
            "another dispatcher watches discovery {:?} after the lease holder was killed",
            start.elapsed()
        );
        cluster.discovery.set_unreachable(1, "terminated");
        cluster.wait_for_workers(WORKERS - 2).await.unwrap();
        // The restarted dispatcher relies on the new lease holder.
        cluster.start_dispatcher(holder).unwrap();
        cluster.wait_for_workers(WORKERS - 2).await.unwrap();
        cluster.wait_for_watches(1).await.unwrap();
    });
}

#[test]
fn every_dispatcher_watches_discovery_itself_while_no_coordinator_runs() {
    run(async {
        let (_dir, mut cluster) = start(true).await;
        (1..=3).for_each(|n| cluster.kill_coordinator(n));
        let fallback_time = cluster.wait_for_watches(DISPATCHERS as u64).await.unwrap();
        println!(
            "every dispatcher watches discovery {fallback_time:?} after the last coordinator was killed"
        );
        cluster.discovery.set_unreachable(3, "terminated");
        cluster.wait_for_workers(WORKERS - 1).await.unwrap();
        (1..=3).for_each(|n| cluster.start_coordinator(n).unwrap());
        let recovery_time = cluster.wait_for_watches(1).await.unwrap();
        println!(
            "one dispatcher watches discovery for all {recovery_time:?} after the coordinators were started"
        );
        cluster.discovery.set_unreachable(4, "terminated");
        cluster.wait_for_workers(WORKERS - 2).await.unwrap();
    });
}

/// Discovery accepts requests and sends nothing. Dispatchers that rely on the lease holder must notice and connect
/// themselves.
#[test]
fn every_dispatcher_connects_to_discovery_when_it_stops_responding() {
    run(async {
        let (_dir, cluster) = start(true).await;
        let before = cluster.discovery.connections();
        cluster.discovery.set_unresponsive(true);
        let start = Instant::now();
        while cluster.discovery.connections() < before + DISPATCHERS as u64 {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "not every dispatcher connected to discovery\n{}",
                cluster.logs()
            );
            sleep(Duration::from_millis(10)).await;
        }
        println!("every dispatcher connected {:?} after discovery stopped responding", start.elapsed());
        cluster.discovery.set_unresponsive(false);
        cluster.discovery.set_unreachable(5, "terminated");
        cluster.wait_for_workers(WORKERS - 1).await.unwrap();
        cluster.wait_for_watches(1).await.unwrap();
    });
}

/// A dispatcher that is not the lease holder gets the address of another discovery by a reload. It must use the list of
/// that discovery and ignore the one that the lease holder sends.
#[test]
fn a_dispatcher_with_another_discovery_watches_that_one_itself() {
    run(async {
        let (_dir, cluster) = start(true).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (other, address) = (EmulatedDiscovery::new(5), listener.local_addr().unwrap());
        tokio::task::spawn_local(other.clone().serve(listener));
        let holder = cluster.discovery_leader().expect("a lease holder");
        let moved = (holder + 1) % DISPATCHERS;
        cluster.change_discovery_address(moved, address).unwrap();
        let start = Instant::now();
        while cluster.worker_count(moved).await != Some(5) {
            assert!(start.elapsed() < Duration::from_secs(10), "{}", cluster.logs());
            sleep(Duration::from_millis(20)).await;
        }
        // A change at the first discovery does not reach the dispatcher.
        cluster.discovery.set_unreachable(0, "terminated");
        sleep(Duration::from_millis(500)).await;
        assert_eq!(cluster.worker_count(moved).await, Some(5));
        assert_eq!(cluster.worker_count(holder).await, Some(WORKERS - 1));
        assert_eq!(other.open_watches(), 1);
    });
}

/// A coordinator loses its disk and is replaced by a new one, whose address is in no dispatcher's configuration. The
/// dispatchers keep working, and the new coordinator counts for the majority.
#[test]
fn a_replaced_coordinator_counts_for_the_majority() {
    run(async {
        let (_dir, mut cluster) = start(true).await;
        let leader = cluster.leader().unwrap();
        let lost = (1..=3).find(|replica| *replica != leader).unwrap();
        let address = cluster.replace_coordinator(lost, 4).await.unwrap().to_string();
        let rejected = cluster
            .run_coordinator_command(4, &["replace", "--keeper", "9", "--with", "4", "--address", &address])
            .await;
        assert!(rejected.unwrap_err().to_string().contains("replica 9 is not a voter"));
        let lost = lost.to_string();
        let replace = ["replace", "--keeper", &lost, "--with", "4", "--address", &address];
        let output = cluster.run_coordinator_command(4, &replace).await.unwrap();
        assert!(output.contains("has replaced"), "{output}");
        cluster.run_coordinator_command(4, &replace).await.expect("the repeated command succeeds");
        cluster.wait_for_watches(1).await.unwrap();
        // The new coordinator and one other are the remaining majority, so one of them must lead.
        cluster.kill_coordinator(leader);
        let holder = cluster.discovery_leader().expect("a lease holder");
        cluster.kill_dispatcher(holder);
        let start = Instant::now();
        while cluster.discovery_leader() == Some(holder) {
            assert!(start.elapsed() < Duration::from_secs(12), "no dispatcher took over\n{}", cluster.logs());
            sleep(Duration::from_millis(10)).await;
        }
        println!(
            "another dispatcher watches {:?} after lease holder and leader were killed",
            start.elapsed()
        );
        cluster.wait_for_watches(1).await.unwrap();
        cluster.discovery.set_unreachable(1, "terminated");
        cluster.wait_for_workers(WORKERS - 1).await.unwrap();
    });
}

/// Two of three coordinators lose their disks. They must exit rather than start with empty stores. The third has no
/// majority and reports that, and the dispatchers watch discovery themselves.
#[test]
fn coordinators_that_lost_their_stores_exit() {
    run(async {
        let (_dir, mut cluster) = start(true).await;
        for lost in [1, 2] {
            cluster.lose_disk(lost).unwrap();
            cluster.start_coordinator(lost).unwrap();
        }
        for lost in [1, 2] {
            let start = Instant::now();
            let code = loop {
                if let Some(code) = cluster.coordinator_exit_code(lost) {
                    break code;
                }
                assert!(
                    start.elapsed() < Duration::from_secs(10),
                    "coordinator {lost} keeps running without its store"
                );
                sleep(Duration::from_millis(20)).await;
            };
            assert_eq!(code, 4, "{}", cluster.coordinator_log(lost));
            assert!(cluster.coordinator_log(lost).contains("bootstrap"), "{}", cluster.coordinator_log(lost));
        }
        cluster.wait_for_watches(DISPATCHERS as u64).await.unwrap();
        let error = cluster.run_coordinator_command(3, &["members"]).await.unwrap_err().to_string();
        assert!(error.contains("no replica leads"), "{error}");
        cluster.discovery.set_unreachable(0, "terminated");
        cluster.wait_for_workers(WORKERS - 1).await.unwrap();
    });
}

#[test]
fn dispatchers_without_a_cluster_each_watch_discovery() {
    run(async {
        let (_dir, cluster) = start(false).await;
        sleep(Duration::from_secs(4)).await;
        assert_eq!(cluster.discovery.open_watches(), DISPATCHERS as u64);
    });
}

/// Guards against members that never ended at SIGTERM because all coordinators refused connections immediately.
#[test]
fn a_member_leaves_while_coordinators_refuse_connections() {
    use cluster_member::member::{Member, MemberConfig, MembershipEnd};
    use cluster_member::record::Recorder;
    use coordination::{LeaseClient, Timing};
    run(async {
        let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let settings = MemberConfig {
            installation: "test".into(),
            name: "m".into(),
            zone: String::new(),
            address: unused.to_string(),
            replicas: [(1, unused), (2, unused), (3, unused)].into(),
            local_address: None,
            timing: Timing::default(),
            eligible_leases: Vec::new(),
            seed: 1,
        };
        let member = Member::new(settings, LeaseClient::new(Timing::default()), Recorder::default());
        let leaving = member.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(100)).await;
            leaving.leave();
        });
        let end = tokio::time::timeout(Duration::from_secs(10), member.run()).await;
        assert_eq!(end, Ok(MembershipEnd::Left));
    });
}

/// Guards against a harness that searches for log messages that were reworded: it took the last coordinator for the
/// leader and the first dispatcher for the observer, so that faults mostly hit the wrong process, and no check failed.
#[test]
fn the_harness_finds_the_same_leader_as_the_status_command() {
    run(async {
        let (_dir, mut cluster) = start(true).await;
        for _ in 0..2 {
            let leader = cluster.leader().unwrap();
            let status = cluster.run_coordinator_command(leader, &["status"]).await.unwrap();
            let expected = format!("replica {leader}: leader");
            assert!(status.contains(&expected), "{expected}\n{status}\n{}", cluster.logs());
            cluster.kill_coordinator(leader);
            let start = Instant::now();
            while cluster.leader().is_ok_and(|current| current == leader) {
                assert!(
                    start.elapsed() < Duration::from_secs(10),
                    "no coordinator leads\n{}",
                    cluster.logs()
                );
                sleep(Duration::from_millis(10)).await;
            }
            cluster.start_coordinator(leader).unwrap();
        }
    });
}
