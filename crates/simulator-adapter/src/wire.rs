//! Protocol of the simulator: names of lines and values.

use dispatch_core::api::{ListScope, Outcome, WorkerState};

/// Input line that begins a batch.
pub(crate) const BEGIN_BATCH: &str = "SYNC";
/// Input line that ends a batch.
pub(crate) const END_BATCH: &str = "EOF_BATCH";
/// Input line that selects the instance that the following lines refer to.
pub(crate) const SELECT_INSTANCE: &str = "CONTEXT";
/// Input line that starts the selected instance.
pub(crate) const START_INSTANCE: &str = "INIT";
/// Input line that removes the selected instance.
pub(crate) const REMOVE_INSTANCE: &str = "KILL";
/// Input line that begins an endpoint list.
pub(crate) const BEGIN_LIST: &str = "REGISTER";
/// Input line with an entry of the endpoint list.
pub(crate) const LIST_ENTRY: &str = "WORKER";

/// Reply line that names the instance of the following actions.
pub(crate) const INSTANCE_OF_ACTIONS: &str = "ON_BEHALF";
/// Reply line that ends the reply to a batch.
pub(crate) const END_REPLY: &str = "OK";
/// Action that sends a request to a worker.
pub(crate) const SEND: &str = "PLACE";
/// Action that rejects a request.
pub(crate) const REJECT: &str = "BUSY";
/// Action that fails a request.
pub(crate) const FAIL: &str = "DROP_REQUEST";
/// Action that cancels an attempt.
pub(crate) const CANCEL: &str = "ABANDON";
/// Action that probes a worker.
pub(crate) const PROBE: &str = "SOUND_OUT";
/// Action that closes the idle connections to a worker.
pub(crate) const CLOSE_IDLE: &str = "CLOSE_IDLE";
/// Action that sets a timer.
pub(crate) const SET_TIMER: &str = "SET_TIMER";
/// Action that starts or ends the watch of the endpoint list.
pub(crate) const WATCH: &str = "LISTEN";
/// Action that fetches the endpoint list.
pub(crate) const FETCH_LIST: &str = "READ_LIST";
/// Action that sends a message to other instances.
pub(crate) const SEND_TO_PEER: &str = "MEMO_TO";
/// Action that writes a line to the log.
pub(crate) const LOG: &str = "NOTE_DOWN";

/// Placeholder of an absent value.
pub(crate) const ABSENT: &str = "-";
/// Receiver number of a message to all other instances.
pub(crate) const ALL_PEERS: i64 = -1;

/// Flag of a request that states its expected work.
pub(crate) const FLAG_EXPECTED_WORK: u32 = 1;
/// Flag of a request that is the retry of a client.
pub(crate) const FLAG_RETRY: u32 = 2;

/// Kind of event of a dispatcher, named by an input line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A client sent a request.
    Request,
    /// The response to an attempt began.
    StreamStarted,
    /// An update on a running job.
    Update,
    /// An attempt ended.
    AttemptEnded,
    /// The client of a request disconnected.
    ClientDisconnected,
    /// A timer fired.
    Timer,
    /// A probe ended.
    ProbeEnded,
    /// Another instance sent a message.
    PeerMessage,
    /// An endpoint list arrived.
    EndpointList,
}

impl EventKind {
    /// Returns the kind of event with this name.
    pub(crate) fn from_name(name: &str) -> Option<EventKind> {
        match name {
            "KNOCK" => Some(EventKind::Request),
            "STARTED" => Some(EventKind::StreamStarted),
            "UPDATE_OF" => Some(EventKind::Update),
            "RESPONSE" => Some(EventKind::AttemptEnded),
            "CANCELLED_BY_CLIENT" => Some(EventKind::ClientDisconnected),
            "DEADLINE_HIT" => Some(EventKind::Timer),
            "HEALTH_RESULT" => Some(EventKind::ProbeEnded),
            "WHISPER" => Some(EventKind::PeerMessage),
            "FLEET" => Some(EventKind::EndpointList),
            _ => None,
        }
    }
}

/// Topic of an update on a running job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateTopic {
    /// The worker began to run the job.
    JobStarted,
    /// The worker reports the completed fraction of the job.
    Progress,
}

impl UpdateTopic {
    /// Returns the topic with this number; `None` if dispatchers do not use it.
    pub(crate) fn from_number(number: u32) -> Option<UpdateTopic> {
        match number {
            1 => Some(UpdateTopic::JobStarted),
            2 => Some(UpdateTopic::Progress),
            _ => None,
        }
    }
}

/// Outcome number of a successful attempt and of a probe of a healthy worker.
pub(crate) const OUTCOME_OK: u32 = 0;

/// Returns the outcome with this number.
pub(crate) fn outcome_from_number(number: u32) -> Option<Outcome> {
    match number {
        OUTCOME_OK => Some(Outcome::Ok),
        1 => Some(Outcome::Cancelled),
        4 => Some(Outcome::Timeout),
        8 => Some(Outcome::Overloaded),
        9 => Some(Outcome::NotSent),
        10 => Some(Outcome::Reset),
        13 => Some(Outcome::Error),
        14 => Some(Outcome::ConnectFailed),
        _ => None,
    }
}

/// Names of list scopes, for errors.
pub(crate) const LIST_SCOPES: &str = "INCREMENTAL, FULL, SAVED or FAILED";

/// Returns the list scope with this name.
pub(crate) fn list_scope_from_name(name: &str) -> Option<ListScope> {
    match name {
        "FULL" => Some(ListScope::Full),
        "SAVED" => Some(ListScope::Cached),
        "INCREMENTAL" => Some(ListScope::Incremental),
        "FAILED" => Some(ListScope::Failed),
        _ => None,
    }
}

/// Names of worker states, for errors.
pub(crate) const WORKER_STATES: &str = "SERVING, DRAINING or DELETED";

/// Returns the worker state with this name.
pub(crate) fn worker_state_from_name(name: &str) -> Option<WorkerState> {
    match name {
        "SERVING" => Some(WorkerState::Serving),
        "DRAINING" => Some(WorkerState::Draining),
        "DELETED" => Some(WorkerState::Removed),
        _ => None,
    }
}
