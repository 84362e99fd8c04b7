//! Clients of a run over sockets: each submits its job at the arrival time, on an idle connection if there is one.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use dispatch_core::api::Idempotency;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::environment::{Environment, SharedEnvironment};
use super::http;
use crate::day::{micros, Micros};
use crate::metrics::JobOutcome;

/// Time after the deadline for which a client waits for a response that is a little late.
const RESPONSE_WAIT_AFTER_DEADLINE: Micros = 60_000;
/// Shortest time left before the deadline in which a client still retries.
const MIN_RETRY_TIME: Micros = 100_000;

/// Idle connections of the clients, by dispatcher.
type ConnectionPool = Rc<RefCell<Vec<Vec<ClientConnection>>>>;

/// Submits all jobs of the day and waits until each has its final outcome.
pub(super) async fn run_clients(environment: SharedEnvironment) {
    let dispatchers = environment.borrow().agents.len();
    let pool: ConnectionPool = Rc::new(RefCell::new((0..dispatchers).map(|_| Vec::new()).collect()));
    let mut open_jobs = JoinSet::new();
    let jobs = environment.borrow().day.jobs.len();
    for job in 0..jobs {
        let due = {
            let shared = environment.borrow();
            shared.instant(shared.day.jobs[job].arrival)
        };
        tokio::time::sleep_until(due).await;
        open_jobs.spawn_local(run_job(environment.clone(), pool.clone(), job as u32));
        while open_jobs.try_join_next().is_some() {}
    }
    while open_jobs.join_next().await.is_some() {}
}

/// How a submission ended for its client.
enum SubmissionOutcome {
    Served,
    /// Rejected, with the seconds of the header `Retry-After` if there is one.
    Rejected(Option<f64>),
    Failed,
    /// The connection could not be opened.
    Unreachable,
    /// The dispatcher was killed.
    DispatcherKilled,
    /// The client disconnected before its deadline.
    ClientLeft,
    /// No response came in time.
    NoResponse,
}

/// How a client behaves with its job.
struct ClientBehavior {
    deadline: Micros,
    leaves_at: Option<Micros>,
    /// Wait before the retry; none for a client that does not retry.
    retry_backoff: Option<Micros>,
    honours_retry_after: bool,
    is_idempotent: bool,
}

/// Runs a client: submits its job, and retries at most once.
async fn run_job(environment: SharedEnvironment, pool: ConnectionPool, job: u32) {
    let client = {
        let shared = environment.borrow();
        let plan = &shared.day.jobs[job as usize];
        let class = &shared.experiment.traffic.classes[plan.class as usize];
        ClientBehavior {
            deadline: plan.arrival + shared.timeout(job),
            leaves_at: plan.client_leaves_at,
            retry_backoff: plan.retry_backoff,
            honours_retry_after: plan.honours_retry_after,
            is_idempotent: class.idempotency == Idempotency::Idempotent,
        }
    };
    let mut is_retry = false;
    loop {
        let submission_outcome = submit(&environment, &pool, job, client.deadline, client.leaves_at).await;
        let now = environment.borrow().now();
        let (outcome, may_retry, retry_after) = match submission_outcome {
            SubmissionOutcome::Served => (JobOutcome::Served(now), false, None),
            SubmissionOutcome::Rejected(retry_after) => (JobOutcome::Rejected(now), true, retry_after),
            SubmissionOutcome::Failed => (JobOutcome::Failed(now), client.is_idempotent, None),
            SubmissionOutcome::Unreachable => (JobOutcome::Failed(now), true, None),
            SubmissionOutcome::DispatcherKilled => (JobOutcome::Failed(now), client.is_idempotent, None),
            SubmissionOutcome::ClientLeft => (JobOutcome::ClientLeft, false, None),
            SubmissionOutcome::NoResponse => (JobOutcome::Failed(now), false, None),
        };
        let backoff = client.retry_backoff.filter(|_| may_retry && !is_retry);
        let requested_wait = retry_after.filter(|_| client.honours_retry_after).map_or(0, micros);
        let retry_at = backoff
            .map(|backoff| now + backoff.max(requested_wait))
            .filter(|retry_at| retry_at + MIN_RETRY_TIME <= client.deadline);
        let Some(retry_at) = retry_at else {
            return environment.borrow_mut().record_outcome(job, outcome);
        };
        let due = environment.borrow().instant(retry_at);
        tokio::time::sleep_until(due).await;
        is_retry = true;
    }
}

/// Submits a job once: on an idle connection, then on a new one if the dispatcher had closed the idle connection.
async fn submit(
    environment: &SharedEnvironment,
    pool: &ConnectionPool,
    job: u32,
    deadline: Micros,
    leaves_at: Option<Micros>,
) -> SubmissionOutcome {
    let dispatcher = environment.borrow().day.jobs[job as usize].dispatcher as usize;
    let id = {
        let mut shared = environment.borrow_mut();
        shared.submissions.push(job);
        shared.submissions.len() as u64
    };
    let submission = Submission { dispatcher, job, id, deadline };
    let waits_until = leaves_at.unwrap_or(Micros::MAX).min(deadline + RESPONSE_WAIT_AFTER_DEADLINE);
    let due = environment.borrow().instant(waits_until);
    let mut recorded_id = None;
    let submitted = tokio::time::timeout_at(due, async {
        let idle = pool.borrow_mut()[dispatcher].pop().filter(|connection| {
            connection.incarnation == environment.borrow().incarnations[dispatcher].number
        });
        if let Some(connection) = idle {
            let incarnation = connection.incarnation;
            match exchange(environment, pool, submission, connection, &mut recorded_id).await {
                Ok(outcome) => return outcome,
                // The dispatcher closed the connection while it was idle: send again on a new one.
                Err(_) if environment.borrow().incarnations[dispatcher].runs_as(incarnation) => {}
                Err(_) => return SubmissionOutcome::DispatcherKilled,
            }
        }
        let (incarnation, port) = {
            let shared = environment.borrow();
            (shared.incarnations[dispatcher].number, shared.listen_ports[dispatcher])
        };
        let Ok(stream) = TcpStream::connect(("127.0.0.1", port)).await else {
            return SubmissionOutcome::Unreachable;
        };
        let connection = ClientConnection { incarnation, stream };
        match exchange(environment, pool, submission, connection, &mut recorded_id).await {
            Ok(outcome) => outcome,
            Err(_) if environment.borrow().incarnations[dispatcher].runs_as(incarnation) => {
                SubmissionOutcome::Failed
            }
            Err(_) => SubmissionOutcome::DispatcherKilled,
        }
    })
    .await;
    let mut shared = environment.borrow_mut();
    let outcome = submitted.unwrap_or(if leaves_at.is_some_and(|at| at < deadline) {
        SubmissionOutcome::ClientLeft
    } else {
        SubmissionOutcome::NoResponse
    });
    if matches!(outcome, SubmissionOutcome::ClientLeft | SubmissionOutcome::DispatcherKilled) {
        shared.checker.waive_response(id);
    }
    if recorded_id.is_some() {
        shared.checker.close_request(id);
    }
    outcome
}

/// Submission of a job to a dispatcher.
#[derive(Clone, Copy)]
struct Submission {
    /// Index of the dispatcher.
    dispatcher: usize,
    job: u32,
    /// Request id: the position of the submission in the run, from 1.
    id: u64,
    deadline: Micros,
}

/// Connection to one incarnation of a dispatcher.
struct ClientConnection {
    incarnation: u32,
    stream: TcpStream,
}

/// Writes a request and reads its response.
///
/// A request counts as accepted once it is written. `recorded_id` holds its id as soon as the rule checker has it, so
/// that a second exchange of the same submission does not record it again.
async fn exchange(
    environment: &SharedEnvironment,
    pool: &ConnectionPool,
    submission: Submission,
    connection: ClientConnection,
    recorded_id: &mut Option<u64>,
) -> io::Result<SubmissionOutcome> {
    let Submission { dispatcher, job, id, deadline } = submission;
    let ClientConnection { incarnation, mut stream } = connection;
    stream.set_nodelay(true)?;
    let message = encode_request(&environment.borrow(), job, id, deadline);
    stream.write_all(message.as_bytes()).await?;
    if recorded_id.replace(id).is_none() {
        let mut shared = environment.borrow_mut();
        let class = &shared.experiment.traffic.classes[shared.day.jobs[job as usize].class as usize];
        let (idempotency, retry_window) = (class.idempotency, micros(class.retry_window));
        shared.checker.record_accepted(id, idempotency, retry_window, deadline);
    }
    let mut buffer = BytesMut::with_capacity(512);
    let Some(head) = http::read_head(&mut stream, &mut buffer, http::MessageKind::Response, || {}).await?
    else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = http::read_body(&mut stream, &mut buffer, &head).await?;
    let is_rejected = matches!(head.status, 429 | 503);
    let mut shared = environment.borrow_mut();
    let now = shared.now();
    shared.checker.record_response(id, is_rejected, now);
    let retry_after = head.get("retry-after").and_then(|value| value.parse().ok());
    if head.get("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        pool.borrow_mut()[dispatcher].push(ClientConnection { incarnation, stream });
    }
    Ok(match head.status {
        // A result that no worker produced for this request is recorded as a second response, which is a violation.
        200 if body.starts_with(format!("{id:016x} by ").as_bytes()) => SubmissionOutcome::Served,
        200 => {
            shared.checker.record_response(id, false, now);
            SubmissionOutcome::Failed
        }
        _ if is_rejected => SubmissionOutcome::Rejected(retry_after),
        _ => SubmissionOutcome::Failed,
    })
}

/// Encodes the request of a submission, which has no body.
fn encode_request(shared: &Environment, job: u32, id: u64, deadline: Micros) -> String {
    let plan = &shared.day.jobs[job as usize];
    let class = &shared.experiment.traffic.classes[plan.class as usize];
    let tenant =
        shared.experiment.traffic.tenants.get(plan.tenant as usize).map_or("", |tenant| &tenant.name);
    let timeout_ms = (shared.seconds_left(deadline) * 1e3) as u64;
    let key = match class.idempotency {
        Idempotency::WithKey(_) => format!("Idempotency-Key: {:032x}\r\n", u128::from(job) + 1),
        _ => String::new(),
    };
    format!(
        "POST /{} HTTP/1.1\r\nHost: lab\r\nRequest-Id: {id:016x}\r\nTenant: {tenant}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\
         Request-Info: slots={}\r\n{key}Content-Length: 0\r\n\r\n",
        class.name, plan.slots
    )
}
