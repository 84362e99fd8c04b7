//! The duty "list" with processes: keepers, dispatchers and a discovery that counts who asks.

use std::path::Path;
use std::time::Duration;

use emulator::cluster::cluster_harness::{Binaries, ClusterHarness, ClusterSpec};
use emulator::cluster::emulated_discovery::EmulatedDiscovery;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const DISPATCHERS: usize = 4;
const WORKERS: usize = 12;

/// A fleet in a folder that goes with it.
async fn start(together: bool) -> (tempfile::TempDir, ClusterHarness) {
    let dir = tempfile::tempdir().unwrap();
    let toy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/config.json");
    let config = serde_json::from_slice(&std::fs::read(toy).unwrap()).unwrap();
    let binaries = Binaries::beside_tests().unwrap();
    let discovery = EmulatedDiscovery::new(WORKERS);
    let setup = ClusterSpec {
        coordinators: 3,
        dispatchers: DISPATCHERS,
        cluster_settings: together.then_some(""),
        discoveries: &[discovery],
        proxy_seed: None,
    };
    let fleet = ClusterHarness::start(dir.path(), binaries, config, setup).await.unwrap();
    fleet.wait_for_workers(WORKERS).await.unwrap();
    fleet.wait_for_watches(if together { 1 } else { DISPATCHERS as u64 }).await.unwrap();
    (dir, fleet)
}

fn play(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn one_dispatcher_asks_for_all_and_its_place_is_taken_when_it_dies() {
    play(async {
        let (_dir, mut fleet) = start(true).await;
        fleet.discovery.set_unreachable(0, "terminated");
        let told = fleet.wait_for_workers(WORKERS - 1).await.unwrap();
        println!("a change told by the owner is known everywhere after {told:?}");
        let owner = fleet.discovery_leader().expect("an owner");
        fleet.kill_dispatcher(owner);
        let start = Instant::now();
        while fleet.discovery_leader() == Some(owner) {
            assert!(start.elapsed() < Duration::from_secs(10), "nobody took over\n{}", fleet.logs());
            sleep(Duration::from_millis(10)).await;
        }
        fleet.wait_for_watches(1).await.unwrap();
        println!("another one asks {:?} after the owner was killed", start.elapsed());
        fleet.discovery.set_unreachable(1, "terminated");
        fleet.wait_for_workers(WORKERS - 2).await.unwrap();
        // Back again, it relies on the new owner.
        fleet.start_dispatcher(owner).unwrap();
        fleet.wait_for_workers(WORKERS - 2).await.unwrap();
        fleet.wait_for_watches(1).await.unwrap();
    });
}

#[test]
fn without_keepers_each_asks_for_itself_again() {
    play(async {
        let (_dir, mut fleet) = start(true).await;
        (1..=3).for_each(|n| fleet.kill_coordinator(n));
        let alone = fleet.wait_for_watches(DISPATCHERS as u64).await.unwrap();
        println!("each asks for itself {alone:?} after the last keeper was killed");
        fleet.discovery.set_unreachable(3, "terminated");
        fleet.wait_for_workers(WORKERS - 1).await.unwrap();
        (1..=3).for_each(|n| fleet.start_coordinator(n).unwrap());
        let again = fleet.wait_for_watches(1).await.unwrap();
        println!("one asks for all {again:?} after the keepers were started");
        fleet.discovery.set_unreachable(4, "terminated");
        fleet.wait_for_workers(WORKERS - 2).await.unwrap();
    });
}

#[test]
fn a_silent_discovery_is_noticed_by_those_who_rely_on_the_owner() {
    play(async {
        let (_dir, fleet) = start(true).await;
        let before = fleet.discovery.connections();
        fleet.discovery.set_silent(true);
        let start = Instant::now();
        while fleet.discovery.connections() < before + DISPATCHERS as u64 {
            assert!(start.elapsed() < Duration::from_secs(10), "not everybody asks\n{}", fleet.logs());
            sleep(Duration::from_millis(10)).await;
        }
        println!("each asks for itself {:?} after discovery fell silent", start.elapsed());
        fleet.discovery.set_silent(false);
        fleet.discovery.set_unreachable(5, "terminated");
        fleet.wait_for_workers(WORKERS - 1).await.unwrap();
        fleet.wait_for_watches(1).await.unwrap();
    });
}

#[test]
fn one_that_relies_on_the_owner_and_is_led_to_another_discovery_asks_there() {
    play(async {
        let (_dir, fleet) = start(true).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (other, at) = (EmulatedDiscovery::new(5), listener.local_addr().unwrap());
        tokio::task::spawn_local(other.clone().serve(listener));
        let owner = fleet.discovery_leader().expect("an owner");
        let moved = (owner + 1) % DISPATCHERS;
        fleet.change_discovery_address(moved, at).unwrap();
        let start = Instant::now();
        while fleet.known_workers(moved).await != Some(5) {
            assert!(start.elapsed() < Duration::from_secs(10), "{}", fleet.logs());
            sleep(Duration::from_millis(20)).await;
        }
        // The list of the other source says nothing to it.
        fleet.discovery.set_unreachable(0, "terminated");
        sleep(Duration::from_millis(500)).await;
        assert_eq!(fleet.known_workers(moved).await, Some(5));
        assert_eq!(fleet.known_workers(owner).await, Some(WORKERS - 1));
        assert_eq!(other.open_watches(), 1);
    });
}

/// A keeper's disk is lost; a new keeper takes its place while the dispatchers go on, and then counts for a majority,
/// though no dispatcher's configuration names it.
#[test]
fn a_lost_keeper_is_replaced_and_the_duty_goes_on() {
    play(async {
        let (_dir, mut fleet) = start(true).await;
        let leader = fleet.leader().unwrap();
        let lost = (1..=3).find(|keeper| *keeper != leader).unwrap();
        let at = fleet.replace_coordinator(lost, 4).await.unwrap().to_string();
        let refused = fleet
            .run_coordinator_command(4, &["replace", "--keeper", "9", "--with", "4", "--address", &at])
            .await;
        assert!(refused.unwrap_err().to_string().contains("replica 9 is not a voter"));
        let lost = lost.to_string();
        let replace = ["replace", "--keeper", &lost, "--with", "4", "--address", &at];
        let said = fleet.run_coordinator_command(4, &replace).await.unwrap();
        assert!(said.contains("has replaced"), "{said}");
        fleet.run_coordinator_command(4, &replace).await.expect("asked again it says that it is done");
        fleet.wait_for_watches(1).await.unwrap();
        // Now the new one and one other are the majority, and one of them leads.
        fleet.kill_coordinator(leader);
        let owner = fleet.discovery_leader().expect("an owner");
        fleet.kill_dispatcher(owner);
        let start = Instant::now();
        while fleet.discovery_leader() == Some(owner) {
            assert!(start.elapsed() < Duration::from_secs(12), "nobody took over\n{}", fleet.logs());
            sleep(Duration::from_millis(10)).await;
        }
        println!("another one asks {:?} after owner and leader were killed", start.elapsed());
        fleet.wait_for_watches(1).await.unwrap();
        fleet.discovery.set_unreachable(1, "terminated");
        fleet.wait_for_workers(WORKERS - 1).await.unwrap();
    });
}

/// Two of three disks are lost: nobody invents what was on them. Those two stop, the third agrees on nothing and says so,
/// and the dispatchers go on by themselves.
#[test]
fn two_of_three_lost_disks_are_a_clear_stop() {
    play(async {
        let (_dir, mut fleet) = start(true).await;
        for lost in [1, 2] {
            fleet.lose_disk(lost).unwrap();
            fleet.start_coordinator(lost).unwrap();
        }
        for lost in [1, 2] {
            let start = Instant::now();
            let code = loop {
                if let Some(code) = fleet.coordinator_exit_code(lost) {
                    break code;
                }
                assert!(start.elapsed() < Duration::from_secs(10), "keeper {lost} goes on without its store");
                sleep(Duration::from_millis(20)).await;
            };
            assert_eq!(code, 4, "{}", fleet.coordinator_log(lost));
            assert!(fleet.coordinator_log(lost).contains("bootstrap"), "{}", fleet.coordinator_log(lost));
        }
        fleet.wait_for_watches(DISPATCHERS as u64).await.unwrap();
        let said = fleet.run_coordinator_command(3, &["members"]).await.unwrap_err().to_string();
        assert!(said.contains("no replica leads"), "{said}");
        fleet.discovery.set_unreachable(0, "terminated");
        fleet.wait_for_workers(WORKERS - 1).await.unwrap();
    });
}

#[test]
fn without_a_fleet_each_asks_for_itself() {
    play(async {
        let (_dir, fleet) = start(false).await;
        sleep(Duration::from_secs(4)).await;
        assert_eq!(fleet.discovery.open_watches(), DISPATCHERS as u64);
    });
}

/// Found when a rig was ended in the middle: members whose keepers refused at once never ended at SIGTERM.
#[test]
fn a_member_without_keepers_ends_when_it_is_told_to() {
    use cluster_member::member::{Member, MemberConfig, MembershipEnd};
    use cluster_member::record::Recorder;
    use coordination::{LeaseClient, Timing};
    play(async {
        let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let settings = MemberConfig {
            installation: "test".into(),
            name: "m".into(),
            zone: String::new(),
            address: nobody.to_string(),
            replicas: [(1, nobody), (2, nobody), (3, nobody)].into(),
            local_address: None,
            timing: Timing::default(),
            eligible_leases: Vec::new(),
            seed: 1,
        };
        let member = Member::new(settings, LeaseClient::new(Timing::default()), Recorder::default());
        let leaver = member.clone();
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(100)).await;
            leaver.leave();
        });
        let ended = tokio::time::timeout(Duration::from_secs(10), member.run()).await;
        assert_eq!(ended, Ok(MembershipEnd::Left));
    });
}

/// What happened: the harness looked for words that the logs had no more since their lines were reworded, and took the
/// last coordinator for the leader and the first dispatcher for the observer. So faults meant for a leader or an observer
/// mostly hit another process, and nothing failed.
#[test]
fn the_harness_finds_the_leader_as_the_coordinators_themselves_name_it() {
    play(async {
        let (_dir, mut fleet) = start(true).await;
        for _ in 0..2 {
            let leader = fleet.leader().unwrap();
            let status = fleet.run_coordinator_command(leader, &["status"]).await.unwrap();
            let leads = format!("replica {leader}: leader");
            assert!(status.contains(&leads), "{leads}\n{status}\n{}", fleet.logs());
            fleet.kill_coordinator(leader);
            let start = Instant::now();
            while fleet.leader().is_ok_and(|present| present == leader) {
                assert!(start.elapsed() < Duration::from_secs(10), "nobody leads\n{}", fleet.logs());
                sleep(Duration::from_millis(10)).await;
            }
            fleet.start_coordinator(leader).unwrap();
        }
    });
}
