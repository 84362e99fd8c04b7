//! The real program as a child process: its configuration, its start, its end.

use std::io;
use std::net::TcpListener as Probe;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use dispatch_core::api::{Idempotency, KeyScope};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::environment::SharedEnvironment;
use super::{discovery, http};
use crate::day::seconds;
use crate::spec::Arm;
use crate::worker::progress_interval;

/// What a dispatcher may use, as on the smallest machines of the platform.
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 384;

/// A health call is answered within this, or asked again.
const HEALTH_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A dispatcher's process. It ends with this value.
pub(super) struct DispatcherProcess {
    path: PathBuf,
    config: PathBuf,
    /// Our own settings, and what stands in them.
    settings_file: PathBuf,
    settings_text: String,
    host: usize,
    settings: Value,
    discovery: u16,
    child: Option<Child>,
}

impl DispatcherProcess {
    /// Opens the agent's listener and picks the address of the dispatcher.
    pub(super) async fn prepare(
        environment: &SharedEnvironment,
        arm: &Arm,
        host: usize,
        path: &Path,
    ) -> io::Result<DispatcherProcess> {
        let agent = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = agent.local_addr()?.port();
        spawn_local(discovery::serve(environment.clone(), host, agent));
        // The port is free now and stays so, unless somebody else is given it in this moment.
        let listen = Probe::bind("127.0.0.1:0")?.local_addr()?.port();
        environment.borrow_mut().listen.push(listen);
        let file = format!("emulator-{}-{listen}.json", std::process::id());
        let config = std::env::temp_dir().join(file);
        let settings = settings(environment, arm, host);
        let own = config.with_extension("hcl");
        let own_text = match arm.capacity_reservation {
            Some(room) => {
                format!("room {{\n  from_slots = {}\n  price = {}\n}}\n", room.min_slots, room.price)
            }
            None => "room {\n  hold = false\n}\n".to_owned(),
        };
        Ok(DispatcherProcess {
            path: path.to_owned(),
            config,
            settings_file: own,
            settings_text: own_text,
            host,
            settings,
            discovery,
            child: None,
        })
    }

    /// Starts the process with the list as its agent has it.
    pub(super) fn start(&mut self, environment: &SharedEnvironment) -> io::Result<()> {
        let mut shared = environment.borrow_mut();
        let listen = format!("127.0.0.1:{}", shared.listen[self.host]);
        let seed =
            shared.day.seed ^ (self.host as u64) << 32 ^ u64::from(shared.incarnations[self.host].0) << 48;
        let config = json!({
            "name": format!("d-{}", self.host),
            "listen": listen,
            "discovery": format!("127.0.0.1:{}", self.discovery),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": discovery::list(&shared, self.host, 0),
            "settings": self.settings,
        });
        std::fs::write(&self.config, config.to_string())?;
        std::fs::write(&self.settings_file, &self.settings_text)?;
        let child = Command::new(&self.path)
            .arg("serve")
            .arg("--config")
            .arg(&self.config)
            .arg("--settings")
            .arg(&self.settings_file)
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", self.path.display())))?;
        self.child = Some(child);
        shared.incarnations[self.host].1 = true;
        Ok(())
    }

    /// Waits until it says that it is ready.
    pub(super) async fn wait_until_ready(
        &self,
        environment: &SharedEnvironment,
        within: Duration,
    ) -> io::Result<()> {
        let address = ("127.0.0.1", environment.borrow().listen[self.host]);
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n").await?;
                let (mut buffer, mut status) = (BytesMut::new(), None);
                let answer = http::read_head(&mut stream, &mut buffer, http::MessageKind::Response, || {});
                if let Ok(Ok(Some(head))) = tokio::time::timeout(HEALTH_CALL_TIMEOUT, answer).await {
                    status = Some(head.status);
                }
                if status == Some(200) {
                    return Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("dispatcher {} is not ready", self.host)))
    }

    /// Kills the process outright; what it had taken is excused.
    pub(super) fn kill(&mut self, environment: &SharedEnvironment) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let life = &mut environment.borrow_mut().incarnations[self.host];
            *life = (life.0 + 1, false);
        }
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

/// The settings as the platform would tell them.
fn settings(environment: &SharedEnvironment, arm: &Arm, host: usize) -> Value {
    let shared = environment.borrow();
    let (experiment, day) = (&shared.experiment, &shared.day);
    let rules = &experiment.rules;
    let repeat = |repeat: Idempotency| match repeat {
        Idempotency::Idempotent => ("free", "all"),
        Idempotency::NotIdempotent => ("single_shot", "all"),
        Idempotency::WithKey(KeyScope::All) => ("guarded", "all"),
        Idempotency::WithKey(KeyScope::Zone) => ("guarded", "zone"),
        Idempotency::WithKey(KeyScope::Cell) => ("guarded", "cell"),
    };
    let classes = &experiment.traffic.classes;
    let profiles = classes.iter().map(|c| {
        let (idempotency, scope) = repeat(c.idempotency);
        json!({
            "name": c.name, "idempotency": idempotency, "key-scope": scope, "window-s": c.retry_window,
            "promise-s": c.latency_objective, "deadline-s": c.timeout, "late-worth": c.late_weight,
        })
    });
    let tenants = experiment.traffic.tenants.iter().zip(&day.quotas);
    let projects =
        tenants.map(|(t, quota)| json!({"name": t.name, "share": t.share, "quota-per-s": quota * arm.quota}));
    json!({
        "azs": (0..experiment.zones).map(|z| format!("zone-{z}")).collect::<Vec<_>>(),
        "flavors": experiment.kinds.iter().map(|k| k.name.clone()).collect::<Vec<_>>(),
        "balancers": day.dispatchers.len(),
        "slot-no": host,
        "zone": day.dispatchers[host].zone,
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
            "class-stretch": classes.iter().map(|c| c.stretch).collect::<Vec<_>>(),
            "class-kind": classes.iter().map(|_| -1).collect::<Vec<_>>(),
        },
        "obligations": {
            "cold-share": rules.cold_share, "drain-grace-s": rules.drain_grace,
            "fall-multiple": rules.overload_multiple, "tip-after-s": rules.overload_window, "warm-within-s": rules.warm_up,
        },
        "charges": {"cross-zone": rules.cross_zone_price},
    })
}
