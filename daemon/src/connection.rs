use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use laburnumdeal_policy::steer::safe_idle;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::bounded_head_io::HeadBudget;
use crate::exchange_error::ExchangeError;
use crate::request_body::RequestBody;
use crate::send_error::SendError;

/// Time since its last answer within which a connection counts as recently active.
const RECENT_ACTIVITY: Duration = Duration::from_millis(250);

/// Most refused requests that a connection remembers; it carries no request after as many.
const MAX_REFUSED: usize = 16;

/// One HTTP/1.1 connection to an upstream or peer. Dropping it closes it, so that an exchange that
/// ended early can never leave its answer to the next one.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    opened_at: Instant,
    active_at: Instant,
    /// Idle time after which the other side closes it, if it has said so.
    stated_idle: Option<Duration>,
    head_budget: HeadBudget,
    /// IDs of the requests that were refused on it.
    refused: Vec<HeaderValue>,
    /// Whether the long body of the last request has been sent; `None` if that had no long body.
    body_has_ended: Option<Arc<AtomicBool>>,
}

impl Connection {
    /// Wraps a connection that was just opened.
    pub fn new(
        sender: SendRequest<RequestBody>,
        driver: JoinHandle<()>,
        head_budget: HeadBudget,
    ) -> Self {
        let now = Instant::now();
        Self {
            sender,
            driver,
            opened_at: now,
            active_at: now,
            stated_idle: None,
            head_budget,
            refused: Vec::new(),
            body_has_ended: None,
        }
    }

    /// Returns when the connection was opened.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Returns when the last answer arrived, or the connection was opened.
    pub fn active_at(&self) -> Instant {
        self.active_at
    }

    /// Returns the time since the last answer, or since the connection was opened.
    pub fn idle_for(&self) -> Duration {
        self.active_at.elapsed()
    }

    /// Returns whether its idle time is below `longest`, and within the part of the time stated by the
    /// other side in which it is safe to use.
    pub fn is_active_within(&self, longest: Duration) -> bool {
        self.idle_for() < longest.min(safe_idle(self.stated_idle))
    }

    /// Records the idle time after which the other side closes the connection.
    pub fn set_stated_idle(&mut self, stated: Duration) {
        self.stated_idle = Some(stated);
    }

    /// Returns whether the last answer arrived a short while ago.
    pub fn is_recently_active(&self) -> bool {
        self.is_active_within(RECENT_ACTIVITY)
    }

    /// Returns whether it may carry another request: neither side is known to have closed, and no
    /// body is being sent whose answer came early.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
            && !self.driver.is_finished()
            && self.refused.len() < MAX_REFUSED
            && !self.is_sending_body()
    }

    fn is_sending_body(&self) -> bool {
        let has_ended = self.body_has_ended.as_ref();
        has_ended.is_some_and(|has_ended| !has_ended.load(Ordering::Relaxed))
    }

    /// Records that the request with this ID was refused.
    pub fn record_refused(&mut self, id: HeaderValue) {
        self.refused.push(id);
    }

    /// Returns whether a request with this ID was refused. It must not be sent again on this
    /// connection, where a second copy of the refusal would be taken for its answer.
    pub fn has_refused(&self, id: &HeaderValue) -> bool {
        self.refused.contains(id)
    }

    /// Records that an answer arrived now.
    pub fn mark_active(&mut self) {
        self.active_at = Instant::now();
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns the request with [`ExchangeError::NotSent`], which proves that no byte was sent; the
    /// other errors do not. An answer with [`ExchangeError::InvalidStatus`] leaves the connection in an
    /// unknown state, so that it must not be used again.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        self.send_and_wait(request, deadline, deadline).await
    }

    /// Sends a request by `send_by`, and returns the head of its answer as [`send`](Self::send)
    /// does if it arrives by `answer_by`.
    ///
    /// # Errors
    ///
    /// The same as those of [`send`](Self::send).
    pub async fn send_and_wait(
        &mut self,
        request: Request<RequestBody>,
        send_by: Instant,
        answer_by: Instant,
    ) -> Result<Response<Incoming>, SendError> {
        match tokio::time::timeout_at(send_by, self.sender.ready()).await {
            Ok(Ok(())) if Instant::now() < send_by => {}
            _ => return Err(SendError::not_sent(ExchangeError::NotSent, request)),
        }
        self.body_has_ended = match request.body() {
            RequestBody::Whole(_) => None,
            RequestBody::Long(body) => Some(body.has_ended()),
        };
        self.head_budget.start();
        let sending = self.sender.try_send_request(request);
        match tokio::time::timeout_at(answer_by, sending).await {
            Ok(Ok(response)) => {
                let status = response.status();
                if !is_final(status) {
                    return Err(ExchangeError::InvalidStatus { status }.into());
                }
                self.head_budget.stop();
                self.mark_active();
                Ok(response)
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(request) => Err(SendError::not_sent(ExchangeError::NotSent, request)),
                None => Err(ExchangeError::Broken(error.into_error()).into()),
            },
            Err(_) => Err(ExchangeError::TimedOut.into()),
        }
    }
}

/// Returns whether a status can be that of a final answer. The HTTP parser accepts up to 999, and passes
/// on 101, which no request asks for.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
