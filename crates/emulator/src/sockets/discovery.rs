//! Discovery of a run over sockets: one agent beside each dispatcher, which serves the endpoint list that it received.

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

/// Interval between the empty lines of a stream while the list does not change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Phase of a worker in the endpoint list.
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
    /// Returns the name of the phase in the discovery protocol.
    fn as_str(self) -> &'static str {
        match self {
            EndpointPhase::InService => "in_service",
            EndpointPhase::Terminating => "terminating",
            EndpointPhase::Terminated => "terminated",
        }
    }
}

/// Publishes a new phase of a worker once `delay` has passed, together with the other changes of the publish period.
/// Each agent receives it after the list delay of its dispatcher.
pub(super) fn publish(
    environment: &SharedEnvironment,
    worker_index: usize,
    phase: EndpointPhase,
    delay: Micros,
) {
    let shared = environment.borrow();
    let period = shared.day.discovery.publish_period.max(1);
    let at = (shared.now() + delay).div_ceil(period) * period;
    let started_at = shared.workers[worker_index].started_at;
    for dispatcher in 0..shared.agents.len() {
        let due = shared.instant(at + shared.day.dispatchers[dispatcher].list_delay);
        let environment = environment.clone();
        spawn_local(async move {
            tokio::time::sleep_until(due).await;
            let agent = &mut environment.borrow_mut().agents[dispatcher];
            agent.revision += 1;
            let revision = agent.revision;
            agent.entries.insert(worker_index, ListEntry { revision, phase, started_at });
            agent.changed.notify_waiters();
        });
    }
}

/// Runs the agent of a dispatcher.
pub(super) async fn serve(environment: SharedEnvironment, dispatcher: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let environment = environment.clone();
        spawn_local(async move {
            // An error ends only this connection: the dispatcher connects again.
            let _ = serve_connection(&environment, dispatcher, stream).await;
        });
    }
}

/// Returns the entries newer than a revision in the format of the discovery protocol; the complete list for revision 0.
pub(super) fn endpoint_list(shared: &Environment, dispatcher: usize, after_revision: u64) -> Value {
    let agent = &shared.agents[dispatcher];
    // The complete list omits removed workers.
    let is_listed = |phase: EndpointPhase| after_revision > 0 || phase != EndpointPhase::Terminated;
    let changed = agent.entries.iter().filter(|(_, entry)| entry.revision > after_revision);
    let listed = changed.filter(|(_, entry)| is_listed(entry.phase));
    let endpoints: Vec<Value> = listed
        .map(|(worker_index, entry)| {
            let plan = &shared.workers[*worker_index].plan;
            json!({
                "id": format!("w-{worker_index}"),
                "host_port": format!("127.0.0.1:{}", shared.ports[*worker_index].get(dispatcher).copied().unwrap_or_default()),
                "locality": format!("zone-{}", plan.zone),
                "flavor": shared.experiment.kinds[plan.kind].name,
                "cell": plan.rack,
                "phase": entry.phase.as_str(),
                "size": 1.0,
                "up_since_ms": entry.started_at.map_or(0, |started_at| shared.unix_ms(started_at)),
            })
        })
        .collect();
    json!({"revision": agent.revision, "complete": after_revision == 0, "members": endpoints})
}

/// Records for the rule checker that the dispatcher is notified of all drains newer than a revision.
fn record_drain_notices(shared: &mut Environment, dispatcher: usize, after_revision: u64) {
    let (incarnation, now) = (shared.incarnation_id(dispatcher), shared.now());
    let changed =
        shared.agents[dispatcher].entries.iter().filter(|(_, entry)| entry.revision > after_revision);
    let draining = changed.filter(|(_, entry)| entry.phase != EndpointPhase::InService);
    let draining: Vec<usize> = draining.map(|(worker_index, _)| *worker_index).collect();
    for worker_index in draining {
        shared.checker.record_drain_notice(incarnation, worker_index as u64, now);
    }
}

/// Serves one request: returns the complete list, or streams the list and its changes.
async fn serve_connection(
    environment: &SharedEnvironment,
    dispatcher: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let Some(head) = http::read_head(&mut stream, &mut buffer, http::MessageKind::Request, || {}).await?
    else {
        return Ok(());
    };
    let _ = http::read_body(&mut stream, &mut buffer, &head).await?;
    let complete_list = endpoint_list(&environment.borrow(), dispatcher, 0).to_string();
    if !head.path.contains("stream=1") {
        record_drain_notices(&mut environment.borrow_mut(), dispatcher, 0);
        let length = complete_list.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{complete_list}");
        return stream.write_all(response.as_bytes()).await;
    }
    let mut revision = environment.borrow().agents[dispatcher].revision;
    record_drain_notices(&mut environment.borrow_mut(), dispatcher, 0);
    stream.write_all(&[CHUNKED_HEAD, chunk(&complete_list).as_slice()].concat()).await?;
    loop {
        let changed = environment.borrow().agents[dispatcher].changed.clone();
        let next_change = changed.notified();
        tokio::pin!(next_change);
        // Registered before the revision is compared, so that no change is missed in between.
        next_change.as_mut().enable();
        if environment.borrow().agents[dispatcher].revision == revision {
            let unchanged = tokio::time::timeout(KEEPALIVE_INTERVAL, next_change).await.is_err();
            if unchanged {
                stream.write_all(&chunk("")).await?;
                continue;
            }
        }
        let changes = endpoint_list(&environment.borrow(), dispatcher, revision).to_string();
        let sent_revision =
            std::mem::replace(&mut revision, environment.borrow().agents[dispatcher].revision);
        record_drain_notices(&mut environment.borrow_mut(), dispatcher, sent_revision);
        stream.write_all(&chunk(&changes)).await?;
    }
}
