use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;

use crate::answer_body::AnswerBody;

/// Request that was started before its turn. Dropping it cancels it.
#[derive(Debug)]
pub(super) struct StartedRequest {
    pub index: u64,
    pub head: Request<()>,
    pub task: JoinHandle<Response<AnswerBody>>,
    /// Bounds the answers that are held back.
    pub _permit: OwnedSemaphorePermit,
}

impl StartedRequest {
    /// Returns whether the server has read the same request.
    pub fn is_same(&self, request: &Request<Incoming>) -> bool {
        let head = &self.head;
        head.method() == request.method()
            && head.uri() == request.uri()
            && head.headers() == request.headers()
    }

    /// Waits for the answer; `None` if the task did not end with one.
    pub async fn answer(mut self) -> Option<Response<AnswerBody>> {
        (&mut self.task).await.ok()
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}
