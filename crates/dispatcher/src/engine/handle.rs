//! The way to the engine's queue for all other tasks.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{mpsc, oneshot};

use super::messages::{Answer, Input, Job};
use dispatch_core::api::RequestId;

/// The way to the engine's queue.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
    next_id: Rc<Cell<u64>>,
}

impl Handle {
    /// A queue and the way to it. It is as long as there are connections at the most: each has one request
    /// open, and takes turns with the engine.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (Handle { inputs, next_id: Rc::new(Cell::new(1)) }, queue)
    }

    /// Tells the engine. One that has ended has no more need to know.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Hands in a job. Dropping the ticket tells that the client left.
    pub fn submit(&self, job: Job) -> PendingJob {
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (answer_sender, answer) = oneshot::channel();
        self.send(Input::Submit { id, job: Box::new(job), answer_sender });
        PendingJob { id, answer, answered: false, handle: self.clone() }
    }
}

/// A job that was handed in.
#[derive(Debug)]
pub struct PendingJob {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    handle: Handle,
}

impl PendingJob {
    /// Waits for the final answer.
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
