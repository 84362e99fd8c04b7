//! Access to the engine for all other tasks.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use super::messages::{Answer, Input, Job};
use dispatch_core::api::RequestId;

/// Sender of inputs to the engine.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Handle {
    /// Creates the queue of inputs. It needs no bound: each connection has at most one open request, so that its length
    /// follows the number of connections.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (Handle { inputs, next_id: Rc::new(Cell::new(1)) }, queue)
    }

    /// Sends an input; one that comes after the end of the engine is dropped.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Submits a job. Dropping the returned value before the answer means that the client disconnected.
    pub fn submit(&self, job: Job) -> PendingJob {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (answer_sender, answer) = oneshot::channel();
        self.send(Input::Submit { id, job: Box::new(job), answer_sender });
        PendingJob { id, answer, answered: false, handle: self.clone() }
    }
}

/// A job that was submitted.
#[derive(Debug)]
pub struct PendingJob {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    handle: Handle,
}

impl PendingJob {
    /// Waits for the final answer; [`Answer::Failed`] if the engine ended.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.answered = true;
        answer.unwrap_or(Answer::Failed)
    }
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        if !self.answered {
            self.handle.send(Input::ClientDisconnected(self.id));
        }
    }
}
