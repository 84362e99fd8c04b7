//! Planned drains with coordinator and dispatcher processes: what operators see at a console, and schedules of faults.

use std::time::Duration;

use emulator::cluster::cluster_harness::{Binaries, ClusterHarness};
use emulator::cluster::console::ConsoleResponse;
use emulator::cluster::planned_drains::{run, start_cluster, DrainRule, Plan, ScheduleResult};
use emulator::cluster::violations::Rule;
use rustix::process::Signal;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const BUDGETS: &str = r#"
budget "all" {
  targets  = "dispatchers"
  most_out = "40%"
}
budget "zones" {
  targets  = "dispatchers"
  of       = "each-zone"
  most_out = 1
}
"#;

/// Runs a test with a cluster of six dispatchers under [`BUDGETS`].
fn run_with_cluster<F: std::future::Future<Output = ()>>(test: impl FnOnce(ClusterHarness) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let binaries = Binaries::beside_tests().unwrap();
        test(start_cluster(dir.path(), binaries, &Plan::default(), BUDGETS).await.unwrap()).await;
    });
}

/// Requests a standby of dispatcher `n` until it is granted; returns the body of the last rejection.
async fn granted_standby(cluster: &ClusterHarness, n: usize) -> String {
    let (start, mut last_rejection) = (Instant::now(), String::new());
    loop {
        let ConsoleResponse { status, body, .. } = cluster.console(n, "POST", "/standby").await.unwrap();
        if status == 200 {
            return last_rejection;
        }
        last_rejection = body;
        assert!(start.elapsed() < Duration::from_secs(15), "d{n}: {last_rejection}\n{}", cluster.logs());
        sleep(Duration::from_millis(100)).await;
    }
}

/// Requests a standby of dispatcher `n`, which must be rejected with a time for the retry; returns the body of the
/// rejection.
async fn rejected_standby(cluster: &ClusterHarness, n: usize) -> String {
    let ConsoleResponse { status, retry_after_s, body } =
        cluster.console(n, "POST", "/standby").await.unwrap();
    assert_eq!(status, 503, "{body}");
    assert!(retry_after_s.is_some_and(|seconds| seconds > 0), "Retry-After is missing or zero: {body}");
    body
}

async fn is_in_mode(cluster: &ClusterHarness, n: usize, mode: &str) -> bool {
    let body = cluster.console(n, "GET", "/status").await.unwrap().body;
    body.contains(&format!("\"mode\":\"{mode}\""))
}

/// Dispatchers are assigned to three zones in turn, so d0 and d3 share one. The budget of 40 % allows two of six
/// dispatchers, rounded down. Standbys beyond a budget wait and are granted in the order of the requests.
#[test]
fn a_standby_waits_for_the_budgets_of_its_zone_and_of_the_fleet() {
    run_with_cluster(|cluster| async move {
        granted_standby(&cluster, 0).await;
        // The standby of d0 uses up the budget of the zone, so the permit of d3 waits, and the rejection names that
        // budget.
        sleep(Duration::from_millis(600)).await;
        let rejection = rejected_standby(&cluster, 3).await;
        assert!(rejection.contains("waits for its turn") && rejection.contains("zones"), "{rejection}");
        assert!(is_in_mode(&cluster, 3, "active").await && is_in_mode(&cluster, 0, "standby").await);
        granted_standby(&cluster, 1).await;
        sleep(Duration::from_millis(600)).await;
        let rejection = rejected_standby(&cluster, 2).await;
        assert!(rejection.contains("all"), "{rejection}");
        let account = cluster.run_coordinator_command(1, &["account"]).await.unwrap();
        assert!(account.contains("all: 2 unavailable by plan, 0 otherwise, of 6"), "{account}");
        assert_eq!(cluster.console(0, "POST", "/active").await.unwrap().status, 200);
        // d0 is active again, so the budget of its zone allows a standby of d3. The permit of d3 is granted before that
        // of d2, because d3 requested its standby first.
        granted_standby(&cluster, 3).await;
        assert!(is_in_mode(&cluster, 2, "active").await);
    });
}

/// A lost dispatcher counts against the budget until it is struck off.
///
/// Guards against a strike-off without effect: the observer's member list, which it gets with the renewal of its
/// session, still had d4 about 0.3 s after the end of d4's session. The next observation, 0.1 s after the strike-off,
/// found d4 listed, without readiness reports and absent from the disruption state (`availability=Unavailable
/// incarnation=0`), and added it again permanently, so that d2's permit kept waiting.
#[test]
fn a_loss_counts_against_the_budget_until_it_is_struck_off() {
    run_with_cluster(|mut cluster| async move {
        cluster.kill_dispatcher(4);
        granted_standby(&cluster, 0).await;
        let start = Instant::now();
        while !cluster.run_coordinator_command(1, &["account"]).await.unwrap().contains("1 otherwise") {
            assert!(start.elapsed() < Duration::from_secs(10), "the loss is not counted");
            sleep(Duration::from_millis(100)).await;
        }
        rejected_standby(&cluster, 2).await;
        sleep(Duration::from_millis(600)).await;
        let rejection = rejected_standby(&cluster, 2).await;
        assert!(
            rejection.contains("all"),
            "one planned standby and one loss use up the budget of two: {rejection}"
        );
        // 40 % of the remaining five dispatchers are still two.
        cluster
            .run_coordinator_command(1, &["strike-off", "--target", "dispatcher/d4", "--by", "test"])
            .await
            .unwrap();
        granted_standby(&cluster, 2).await;
        let unknown_target =
            cluster.run_coordinator_command(1, &["strike-off", "--target", "dispatcher/d9"]).await;
        assert!(unknown_target.unwrap_err().to_string().contains("no such target"));
    });
}

/// Without a majority of coordinators, a planned drain is rejected in time, a forced one is carried out and counted as
/// a loss later, and SIGTERM still ends a dispatcher.
#[test]
fn without_a_majority_a_planned_drain_is_rejected_unless_it_is_forced() {
    run_with_cluster(|mut cluster| async move {
        granted_standby(&cluster, 0).await;
        cluster.kill_coordinator(1);
        cluster.kill_coordinator(2);
        let began = Instant::now();
        let rejection = rejected_standby(&cluster, 1).await;
        assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
        assert!(rejection.contains("no majority") && rejection.contains("serving goes on"), "{rejection}");
        assert!(is_in_mode(&cluster, 1, "active").await);
        let ConsoleResponse { status, body, .. } =
            cluster.console(1, "POST", "/standby?force=1").await.unwrap();
        assert_eq!(status, 200, "{body}");
        assert!(is_in_mode(&cluster, 1, "standby").await);
        let metrics = cluster.console(1, "GET", "/status/metrics").await.unwrap().body;
        for metric in ["cairncrank_fleet_standby_forced_total 1", "cairncrank_fleet_standby_denied_total 1"] {
            assert!(metrics.contains(metric), "{metrics}");
        }
        // d0 is still in standby by plan. d1 went into standby without a permit, which must be counted as a loss once
        // the coordinators have a majority again.
        (1..=2).try_for_each(|n| cluster.start_coordinator(n)).unwrap();
        let start = Instant::now();
        let counted = "all: 1 unavailable by plan, 1 otherwise";
        while !cluster.run_coordinator_command(1, &["account"]).await.is_ok_and(|text| text.contains(counted))
        {
            assert!(start.elapsed() < Duration::from_secs(15), "the forced standby is not counted");
            sleep(Duration::from_millis(100)).await;
        }
        cluster.signal_dispatcher(2, Signal::TERM).unwrap();
        let start = Instant::now();
        while cluster.console(2, "GET", "/status").await.is_some() {
            assert!(start.elapsed() < Duration::from_secs(10), "d2 does not exit");
            sleep(Duration::from_millis(100)).await;
        }
    });
}

/// Budgets that could never allow a disruption are rejected, and so are budgets based on an outdated version.
#[test]
fn invalid_and_outdated_budgets_are_rejected() {
    run_with_cluster(|cluster| async move {
        let file = std::env::temp_dir().join(format!("cairncrank-budgets-{}.hcl", std::process::id()));
        let path = file.display().to_string();
        std::fs::write(&file, "budget \"b\" {\n  targets = \"workers\"\n  most_out = \"100%\"\n}\n").unwrap();
        let error =
            cluster.run_coordinator_command(1, &["budgets", "--set", &path]).await.unwrap_err().to_string();
        assert!(
            error.contains(&path) && error.contains("most_out") && error.contains("last target"),
            "{error}"
        );
        std::fs::write(&file, BUDGETS).unwrap();
        let outdated = cluster
            .run_coordinator_command(1, &["budgets", "--set", &path, "--seen", "0"])
            .await
            .unwrap_err()
            .to_string();
        assert!(outdated.contains("changed meanwhile"), "{outdated}");
        cluster.run_coordinator_command(1, &["budgets", "--set", &path]).await.unwrap();
        std::fs::remove_file(&file).unwrap();
    });
}

/// A release of workers requests permits on the command line. With a budget of one per pool, the second worker's permit
/// waits until the first worker has been replaced and is warm.
#[test]
fn permits_for_workers_are_granted_one_at_a_time_per_pool() {
    let budgets = format!(
        "{BUDGETS}budget \"pools\" {{\n  targets = \"workers\"\n  of = \"each-pool\"\n  most_out = 1\n}}\n"
    );
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let dir = tempfile::tempdir().unwrap();
    LocalSet::new().block_on(&runtime, async {
        // Workers reach their full capacity within 2 s.
        let plan = Plan { dispatchers: 3, warm_up_s: 2.0, ..Plan::default() };
        let cluster =
            start_cluster(dir.path(), Binaries::beside_tests().unwrap(), &plan, &budgets).await.unwrap();
        let request_permit = |worker: usize| {
            let (cluster, target) = (&cluster, format!("worker/w-{worker:04}"));
            async move {
                let arguments =
                    ["permit", "ask", "--target", &target, "--by", "the shop", "--reason", "release"];
                cluster.run_coordinator_command(1, &arguments).await
            }
        };
        let until_granted = |worker: usize| {
            let request_permit = &request_permit;
            async move {
                let start = Instant::now();
                loop {
                    match request_permit(worker).await {
                        Ok(output) => break output.split_whitespace().next().unwrap().to_owned(),
                        Err(error) => assert!(start.elapsed() < Duration::from_secs(15), "{error}"),
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        let first = until_granted(0).await;
        cluster.run_coordinator_command(1, &["permit", "begin", "--permit", &first]).await.unwrap();
        request_permit(1).await.unwrap_err();
        sleep(Duration::from_millis(800)).await;
        let rejection = request_permit(1).await.unwrap_err().to_string();
        assert!(rejection.contains("waits for its turn") && rejection.contains("pools"), "{rejection}");
        // The first worker drains, ends, and is back in slow start, so the second permit waits until the first worker
        // is warm.
        for phase in ["terminating", "terminated", "in_service"] {
            cluster.discovery.set_phase(0, phase);
            sleep(Duration::from_millis(400)).await;
        }
        cluster.run_coordinator_command(1, &["permit", "done", "--permit", &first]).await.unwrap();
        let completed_at = Instant::now();
        let second = until_granted(1).await;
        let waited = completed_at.elapsed();
        assert!(second != first && waited > Duration::from_millis(500), "{waited:?}");
        cluster.run_coordinator_command(1, &["permit", "void", "--permit", &second]).await.unwrap();
        let error = cluster
            .run_coordinator_command(1, &["permit", "begin", "--permit", &second])
            .await
            .unwrap_err()
            .to_string();
        assert!(error.contains("no such permit is open"), "{error}");
    });
}

fn run_schedule(plan: &Plan) -> ScheduleResult {
    let dir = tempfile::tempdir().unwrap();
    run(dir.path(), &Binaries::beside_tests().unwrap(), plan).unwrap()
}

/// Guards against a harness that searches for log messages that no log has: it always took d0 for the observer.
#[test]
fn the_harness_finds_the_observer_and_its_successor() {
    run_with_cluster(|mut cluster| async move {
        let observer = cluster.observer().expect("an observer");
        cluster.kill_dispatcher(observer);
        let start = Instant::now();
        while cluster.observer() == Some(observer) {
            assert!(
                start.elapsed() < Duration::from_secs(10),
                "no dispatcher took over as the observer\n{}",
                cluster.logs()
            );
            sleep(Duration::from_millis(10)).await;
        }
    });
}

#[test]
fn drains_stay_within_their_budgets_while_processes_and_links_fail() {
    let results: Vec<ScheduleResult> = std::thread::scope(|scope| {
        let threads: Vec<_> = (1..=3)
            .map(|seed| scope.spawn(move || run_schedule(&Plan { seed, ..Plan::default() })))
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    for result in &results {
        assert!(result.rules.is_empty() && result.drains > 3, "{result:#?}");
    }
}

/// The injected bug closes a begun permit as soon as its target is observed to be available, whatever its incarnation.
#[test]
fn the_checker_finds_permits_that_any_incarnation_closes() {
    let injected_bug = Some("any-process".to_owned());
    let result = run_schedule(&Plan { injected_bug, ..Plan::default() });
    let is_violated = |rule: DrainRule| result.rules.contains_key(rule.text());
    assert!(
        is_violated(DrainRule::WithinBudgets) || is_violated(DrainRule::NoPermitBesideLosses),
        "{result:#?}"
    );
}
