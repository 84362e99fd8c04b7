//! The actions that a dispatcher returns to its caller.

use super::ids::{RequestId, Seconds, WorkerId};

/// An action for the caller to carry out. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the request to the worker. Attempts are numbered 0, 1, ... in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout of the attempt; `None` for the timeout of the client.
        timeout: Option<Seconds>,
    },
    /// Sends the final response "rejected", which tells the client that a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which a retry may succeed; `None` if the settings do not allow a retry-after.
        retry_after: Option<Seconds>,
    },
    /// Sends the final response "failed": the job may have run, so a retry may run it twice.
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
    /// Probes a worker for its load; the result returns as [`Event::ProbeEnded`](super::Event::ProbeEnded).
    Probe(WorkerId),
    /// Arms the timer, which fires as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now.
        after: Seconds,
        /// Token to return with the event.
        token: u64,
    },
    /// Opens a watch on the endpoint list (`true`), or closes it (`false`).
    Watch(bool),
    /// Requests the whole endpoint list once, without a watch.
    FetchEndpointList,
    /// Closes the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Sends a short message to one other dispatcher, or to all of them.
    SendToPeer {
        /// Instance number of the receiver; `None` for all.
        to: Option<u32>,
        /// Content of the message.
        data: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(String),
}
