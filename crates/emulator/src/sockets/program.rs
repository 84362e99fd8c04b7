//! Dispatcher processes as children of the emulator: configuration, start, readiness and end.

use std::io;
use std::net::TcpListener as BlockingListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use dispatch_core::api::{Idempotency, KeyScope};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::environment::{DispatcherIncarnation, SharedEnvironment};
use super::{discovery, http};
use crate::day::seconds;
use crate::spec::Arm;
use crate::worker::progress_interval;

/// Memory limit of a dispatcher, that of the smallest machines of the platform.
const MEMORY_LIMIT_MB: u64 = 48;
/// Socket limit of a dispatcher, that of the smallest machines of the platform.
const SOCKET_LIMIT: u64 = 384;

/// Time within which `/healthz` must respond before it is requested again.
const HEALTH_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait between two requests for `/healthz`.
const HEALTH_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Dispatcher process. Dropping it kills the process and removes its files.
pub(super) struct DispatcherProcess {
    /// Path of the dispatcher program.
    program: PathBuf,
    config_file: PathBuf,
    /// Path and content of the file with the local settings.
    local_settings_file: PathBuf,
    local_settings: String,
    /// Index of the dispatcher.
    index: usize,
    /// Settings that the platform hands over in the configuration.
    platform_settings: Value,
    discovery_port: u16,
    child: Option<Child>,
}

impl DispatcherProcess {
    /// Starts the discovery agent of a dispatcher, and chooses the port of the dispatcher.
    pub(super) async fn prepare(
        environment: &SharedEnvironment,
        arm: &Arm,
        index: usize,
        program: &Path,
    ) -> io::Result<DispatcherProcess> {
        let agent = TcpListener::bind("127.0.0.1:0").await?;
        let discovery_port = agent.local_addr()?.port();
        spawn_local(discovery::serve(environment.clone(), index, agent));
        // The listener is closed at once. The port stays free for the dispatcher unless the system assigns it to
        // another process before the dispatcher starts.
        let listen_port = BlockingListener::bind("127.0.0.1:0")?.local_addr()?.port();
        environment.borrow_mut().listen_ports.push(listen_port);
        let file_name = format!("emulator-{}-{listen_port}.json", std::process::id());
        let config_file = std::env::temp_dir().join(file_name);
        let local_settings_file = config_file.with_extension("hcl");
        let local_settings = match arm.capacity_reservation {
            Some(reservation) => format!(
                "room {{\n  from_slots = {}\n  price = {}\n}}\n",
                reservation.min_slots, reservation.price
            ),
            None => "room {\n  hold = false\n}\n".to_owned(),
        };
        Ok(DispatcherProcess {
            program: program.to_owned(),
            config_file,
            local_settings_file,
            local_settings,
            index,
            platform_settings: platform_settings(environment, arm, index),
            discovery_port,
            child: None,
        })
    }

    /// Starts the process, with the endpoint list that its agent has at this time as the saved list.
    pub(super) fn start(&mut self, environment: &SharedEnvironment) -> io::Result<()> {
        let mut shared = environment.borrow_mut();
        let listen = format!("127.0.0.1:{}", shared.listen_ports[self.index]);
        let incarnation = shared.incarnations[self.index].number;
        let seed = shared.day.seed ^ (self.index as u64) << 32 ^ u64::from(incarnation) << 48;
        let config = json!({
            "name": format!("d-{}", self.index),
            "listen": listen,
            "discovery": format!("127.0.0.1:{}", self.discovery_port),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "known": discovery::endpoint_list(&shared, self.index, 0),
            "settings": self.platform_settings,
        });
        std::fs::write(&self.config_file, config.to_string())?;
        std::fs::write(&self.local_settings_file, &self.local_settings)?;
        let child = Command::new(&self.program)
            .arg("serve")
            .arg("--config")
            .arg(&self.config_file)
            .arg("--settings")
            .arg(&self.local_settings_file)
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", self.program.display())))?;
        self.child = Some(child);
        shared.incarnations[self.index].running = true;
        Ok(())
    }

    /// Waits until the process responds to `/healthz` with status 200.
    pub(super) async fn wait_until_ready(
        &self,
        environment: &SharedEnvironment,
        timeout: Duration,
    ) -> io::Result<()> {
        let address = ("127.0.0.1", environment.borrow().listen_ports[self.index]);
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await?;
                let (mut buffer, mut status) = (BytesMut::new(), None);
                let response = http::read_head(&mut stream, &mut buffer, http::MessageKind::Response, || {});
                if let Ok(Ok(Some(head))) = tokio::time::timeout(HEALTH_REQUEST_TIMEOUT, response).await {
                    status = Some(head.status);
                }
                if status == Some(200) {
                    return Ok(());
                }
            }
            tokio::time::sleep(HEALTH_REQUEST_INTERVAL).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("dispatcher {} is not ready", self.index)))
    }

    /// Kills the process and ends its incarnation. Requests that it had accepted need no response.
    pub(super) fn kill(&mut self, environment: &SharedEnvironment) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let incarnation = &mut environment.borrow_mut().incarnations[self.index];
            *incarnation = DispatcherIncarnation { number: incarnation.number + 1, running: false };
        }
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config_file);
        let _ = std::fs::remove_file(&self.local_settings_file);
    }
}

/// Returns the settings in the form in which the platform hands them to a dispatcher.
fn platform_settings(environment: &SharedEnvironment, arm: &Arm, index: usize) -> Value {
    let shared = environment.borrow();
    let (experiment, day) = (&shared.experiment, &shared.day);
    let rules = &experiment.rules;
    let idempotency_and_scope = |idempotency: Idempotency| match idempotency {
        Idempotency::Idempotent => ("free", "all"),
        Idempotency::NotIdempotent => ("single_shot", "all"),
        Idempotency::WithKey(KeyScope::All) => ("guarded", "all"),
        Idempotency::WithKey(KeyScope::Zone) => ("guarded", "zone"),
        Idempotency::WithKey(KeyScope::Cell) => ("guarded", "cell"),
    };
    let classes = &experiment.traffic.classes;
    let profiles = classes.iter().map(|class| {
        let (idempotency, scope) = idempotency_and_scope(class.idempotency);
        json!({
            "name": class.name, "idempotency": idempotency, "key-scope": scope, "window-s": class.retry_window,
            "promise-s": class.latency_objective, "deadline-s": class.timeout, "late-worth": class.late_weight,
        })
    });
    let tenants = experiment.traffic.tenants.iter().zip(&day.quotas);
    let projects = tenants.map(|(tenant, quota)| {
        json!({"name": tenant.name, "share": tenant.share, "quota-per-s": quota * arm.quota})
    });
    json!({
        "azs": (0..experiment.zones).map(|zone| format!("zone-{zone}")).collect::<Vec<_>>(),
        "flavors": experiment.kinds.iter().map(|kind| kind.name.clone()).collect::<Vec<_>>(),
        "balancers": day.dispatchers.len(),
        "slot-no": index,
        "zone": day.dispatchers[index].zone,
        "discovery": "push",
        "resolution-s": 0.005,
        "profiles": profiles.collect::<Vec<_>>(),
        "projects": projects.collect::<Vec<_>>(),
        "caps": {
            "cancel": true, "dial-timeout-s": seconds(day.network.connect_timeout),
            "keepalive-s": seconds(day.network.idle), "max-retry-after-s": experiment.clients.max_retry_after,
            "parallel-tries": arm.hedging, "probes": false, "retry-after": true,
            "send-cap": arm.attempts.unwrap_or(rules.max_attempts),
        },
        "family-info": {
            "tells-start": true, "progress-s": seconds(progress_interval()),
            "class-stretch": classes.iter().map(|class| class.stretch).collect::<Vec<_>>(),
            "class-kind": classes.iter().map(|_| -1).collect::<Vec<_>>(),
        },
        "clients": {"marks-retry": false},
        "obligations": {
            "ask-within-s": 0.0, "cold-share": rules.cold_share, "drain-grace-s": rules.drain_grace,
            "fall-multiple": rules.overload_multiple, "tip-after-s": rules.overload_window, "warm-within-s": rules.warm_up,
        },
        "charges": {"cross-zone": rules.cross_zone_price},
    })
}
