//! Actions of a dispatcher.

use super::ids::{RequestId, Seconds, WorkerId};

/// An action for the caller to carry out, in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the request to the worker. Attempts are numbered 0, 1, ... in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt; `None` for the client's own.
        timeout: Option<Seconds>,
    },
    /// Answers the request for good: rejected, a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which a retry makes sense, where the settings allow a retry-after.
        retry_after: Option<Seconds>,
    },
    /// Answers the request for good: failed, without a promise that a retry is harmless.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancels an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Probes a worker for its load.
    Probe(WorkerId),
    /// Arms the timer, which fires as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now.
        after: Seconds,
        /// Token to return with the event.
        token: u64,
    },
    /// Begins to watch the endpoint list, or ends the watch.
    Watch(bool),
    /// Polls the whole endpoint list once.
    FetchEndpointList,
    /// Closes the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Sends a short message to one dispatcher, or to all.
    SendToPeer {
        /// Number of the dispatcher; `None` for all.
        to: Option<u32>,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(String),
}
