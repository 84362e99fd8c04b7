//! Discovery on sockets: the agent beside one dispatcher, which tells what it has been sent.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::environment::{Environment, ListEntry, SharedEnvironment};
use super::http::{self, chunk, CHUNKED_HEAD};
use crate::day::Micros;

/// An empty line comes this often while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Phase of a worker in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointPhase {
    /// Accepts jobs.
    InService,
    /// Drains.
    Terminating,
    /// Is removed.
    Terminated,
}

impl EndpointPhase {
    /// Returns the name of the phase in the protocol of discovery.
    fn as_str(self) -> &'static str {
        match self {
            EndpointPhase::InService => "in_service",
            EndpointPhase::Terminating => "terminating",
            EndpointPhase::Terminated => "terminated",
        }
    }
}

/// Publishes a change of the list with the others of its period, to each dispatcher after its own delay.
pub(super) fn publish(environment: &SharedEnvironment, w: usize, phase: EndpointPhase, after: Micros) {
    let shared = environment.borrow();
    let period = shared.day.discovery.publish_period.max(1);
    let at = (shared.now() + after).div_ceil(period) * period;
    let since = shared.workers[w].started_at;
    for host in 0..shared.agents.len() {
        let due = shared.instant(at + shared.day.dispatchers[host].list_delay);
        let environment = environment.clone();
        spawn_local(async move {
            tokio::time::sleep_until(due).await;
            let agent = &mut environment.borrow_mut().agents[host];
            agent.revision += 1;
            let revision = agent.revision;
            agent.entries.insert(w, ListEntry { revision, phase, started_at: since });
            agent.changed.notify_waiters();
        });
    }
}

/// Serves a dispatcher's agent.
pub(super) async fn serve(environment: SharedEnvironment, host: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let environment = environment.clone();
        spawn_local(async move {
            // A connection that breaks is the other side's matter.
            let _ = connection(&environment, host, stream).await;
        });
    }
}

/// The lines newer than a revision, as discovery words them; what drains counts as told once this is written.
pub(super) fn list(shared: &Environment, host: usize, after: u64) -> Value {
    let agent = &shared.agents[host];
    // Removed workers are listed among changes only.
    let is_listed = |phase: EndpointPhase| after > 0 || phase != EndpointPhase::Terminated;
    let changed = agent.entries.iter().filter(|(_, line)| line.revision > after);
    let lines = changed.filter(|(_, line)| is_listed(line.phase));
    let members: Vec<Value> = lines
        .map(|(w, line)| {
            let plan = &shared.workers[*w].plan;
            json!({
                "id": format!("w-{w}"),
                "host_port": format!("127.0.0.1:{}", shared.ports[*w].get(host).copied().unwrap_or_default()),
                "locality": format!("zone-{}", plan.zone),
                "flavor": shared.experiment.kinds[plan.kind].name,
                "cell": plan.rack,
                "phase": line.phase.as_str(),
                "size": 1.0,
                "up_since_ms": line.started_at.map_or(0, |since| shared.unix_ms(since)),
            })
        })
        .collect();
    json!({"revision": agent.revision, "complete": after == 0, "members": members})
}

fn record_drain_notices(shared: &mut Environment, host: usize, after: u64) {
    let (life, now) = (shared.incarnation_id(host), shared.now());
    let agent = &shared.agents[host];
    let drained =
        agent.entries.iter().filter(|(_, l)| l.revision > after && l.phase != EndpointPhase::InService);
    let drained: Vec<usize> = drained.map(|(w, _)| *w).collect();
    for w in drained {
        shared.checker.record_drain_notice(life, w as u64, now);
    }
}

async fn connection(environment: &SharedEnvironment, host: usize, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let Some(head) = http::read_head(&mut stream, &mut buffer, http::MessageKind::Request, || {}).await?
    else {
        return Ok(());
    };
    let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
    let whole = list(&environment.borrow(), host, 0).to_string();
    if !head.path.contains("stream=1") {
        record_drain_notices(&mut environment.borrow_mut(), host, 0);
        let length = whole.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{whole}");
        return stream.write_all(answer.as_bytes()).await;
    }
    let mut revision = environment.borrow().agents[host].revision;
    record_drain_notices(&mut environment.borrow_mut(), host, 0);
    stream.write_all(&[CHUNKED_HEAD, chunk(&whole).as_slice()].concat()).await?;
    loop {
        let changed = environment.borrow().agents[host].changed.clone();
        let news = changed.notified();
        tokio::pin!(news);
        news.as_mut().enable();
        if environment.borrow().agents[host].revision == revision {
            let quiet = tokio::time::timeout(KEEPALIVE_INTERVAL, news).await.is_err();
            if quiet {
                stream.write_all(&chunk("")).await?;
                continue;
            }
        }
        let line = list(&environment.borrow(), host, revision).to_string();
        let before = std::mem::replace(&mut revision, environment.borrow().agents[host].revision);
        record_drain_notices(&mut environment.borrow_mut(), host, before);
        stream.write_all(&chunk(&line)).await?;
    }
}
