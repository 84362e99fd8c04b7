//! What a dispatcher wants done.

use super::ids::{RequestId, Seconds, WorkerId};

/// What the dispatcher wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the worker. Attempts are numbered 0, 1, ... in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Give up after this long; `None` for when the client does.
        timeout: Option<Seconds>,
    },
    /// Final answer: rejected, trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When coming back makes sense.
        retry_after: Option<Seconds>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Wake the dispatcher after this long with [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// From now.
        after: Seconds,
        /// Returned with the event.
        token: u64,
    },
    /// Watch the endpoint list, or end that.
    Watch(bool),
    /// Ask for the whole endpoint list once.
    FetchEndpointList,
    /// Close the idle connections to a worker.
    CloseIdle(WorkerId),
    /// Send a short message to one dispatcher, or to all.
    SendToPeer {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// The bytes.
        data: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}
