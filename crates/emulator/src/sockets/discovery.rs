//! Discovery on sockets: the agent beside one dispatcher, which tells what it has been sent.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::http::{self, chunk, CHUNKED};
use super::{Environment, SharedEnvironment};

/// An empty line comes this often while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

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
    let lines = agent.entries.iter().filter(|(_, line)| line.revision > after);
    let members: Vec<Value> = lines
        .map(|(w, line)| {
            let plan = &shared.workers[*w].plan;
            json!({
                "id": format!("w-{w}"),
                "host_port": format!("127.0.0.1:{}", shared.ports[*w].get(host).copied().unwrap_or_default()),
                "locality": format!("zone-{}", plan.zone),
                "flavor": shared.experiment.kinds[plan.kind].name,
                "cell": plan.rack,
                "phase": line.phase,
                "size": 1.0,
                "up_since_ms": line.started_at.map_or(0, |since| shared.unix_ms(since)),
            })
        })
        // What is gone stands among changes only.
        .filter(|member| after > 0 || member["phase"] != "terminated")
        .collect();
    json!({"revision": agent.revision, "complete": after == 0, "members": members})
}

fn record_drain_notices(shared: &mut Environment, host: usize, after: u64) {
    let (life, now) = (shared.incarnation_id(host), shared.now());
    let agent = &shared.agents[host];
    let drained = agent.entries.iter().filter(|(_, l)| l.revision > after && l.phase != "in_service");
    let drained: Vec<usize> = drained.map(|(w, _)| *w).collect();
    for w in drained {
        shared.checker.record_drain_notice(life, w as u64, now);
    }
}

async fn connection(environment: &SharedEnvironment, host: usize, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let Some(head) = http::head(&mut stream, &mut buffer, true, || {}).await? else { return Ok(()) };
    let _ = http::body(&mut stream, &mut buffer, &head).await?;
    let whole = list(&environment.borrow(), host, 0).to_string();
    if !head.path.contains("stream=1") {
        record_drain_notices(&mut environment.borrow_mut(), host, 0);
        let length = whole.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{whole}");
        return stream.write_all(answer.as_bytes()).await;
    }
    let mut revision = environment.borrow().agents[host].revision;
    record_drain_notices(&mut environment.borrow_mut(), host, 0);
    stream.write_all(&[CHUNKED, chunk(&whole).as_slice()].concat()).await?;
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
