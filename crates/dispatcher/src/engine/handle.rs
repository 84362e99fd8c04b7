//! Access to the engine for all other tasks.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use super::messages::{FinalResponse, Input, Job};
use dispatch_core::api::RequestId;

/// Sender of inputs to the engine.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Handle {
    /// Creates the input queue. It has no limit of its own, so that a drop guard can always report an end. Its length is
    /// limited by what is open: a request adds its submission and its disconnect, and an attempt its start and its end.
    /// A peer that may add more, with progress reports or endpoint lists, is read on only once the engine has handled
    /// what it sent before ([`Handle::wait_until_handled`]).
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (Handle { inputs, next_id: Rc::new(Cell::new(1)) }, queue)
    }

    /// Sends an input; it is dropped if the engine has ended.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Waits until the engine has handled all inputs that were sent before, or has ended.
    pub async fn wait_until_handled(&self) {
        let (sender, reached) = oneshot::channel();
        self.send(Input::Barrier(sender));
        // Nothing is sent: the receiver is woken when the sender is dropped.
        let _ = reached.await;
    }

    /// Submits a job. Dropping the returned value before the final response means that the client disconnected.
    pub fn submit(&self, job: Job) -> PendingJob {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (response_sender, response) = oneshot::channel();
        self.send(Input::Submit { id, job: Box::new(job), response_sender });
        PendingJob { id, response, answered: false, handle: self.clone() }
    }
}

/// A submitted job whose final response is pending.
#[derive(Debug)]
pub struct PendingJob {
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    answered: bool,
    handle: Handle,
}

impl PendingJob {
    /// Waits for the final response; [`FinalResponse::Failed`] if the engine ended.
    pub async fn final_response(&mut self) -> FinalResponse {
        let response = (&mut self.response).await;
        self.answered = true;
        response.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(Input::ClientDisconnected(self.id));
        }
    }
}
