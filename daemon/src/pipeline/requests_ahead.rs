use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use http::Request;
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::http_server::HttpHandler;
use crate::incoming_body::IncomingBody;
use crate::pipeline::arrived_at::ArrivedAt;
use crate::pipeline::read_ahead::{ReadAhead, WaitingHead};
use crate::pipeline::started_request::StartedRequest;

/// Most requests of one connection that run before their turn.
const MAX_STARTED: usize = 8;

/// Requests of one connection that were started before their turn.
#[derive(Debug)]
pub(super) struct RequestsAhead {
    /// Number of requests whose turn has come.
    turns: u64,
    /// Whether the request whose turn it is may be overtaken.
    may_overtake: bool,
    started: VecDeque<StartedRequest>,
    /// Position from which requests have not been considered yet.
    next_index: u64,
    permits: Arc<Semaphore>,
    /// Whether no further request is started before its turn.
    is_stopping: bool,
}

impl RequestsAhead {
    pub fn new(permits: Arc<Semaphore>) -> Self {
        Self {
            turns: 0,
            may_overtake: false,
            started: VecDeque::new(),
            next_index: 0,
            permits,
            is_stopping: false,
        }
    }

    /// Starts no further request before its turn.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether the connection is to be closed.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping
    }

    /// Returns the number of requests whose turn has come.
    pub fn turns(&self) -> u64 {
        self.turns
    }

    /// Returns whether requests run whose turn has not come.
    pub fn has_started(&self) -> bool {
        !self.started.is_empty()
    }

    /// Begins the turn of the next request. Returns its position, and the request if it was started
    /// before.
    pub fn take_turn(
        &mut self,
        request: &Request<Incoming>,
        may_overtake: bool,
    ) -> (u64, Option<StartedRequest>) {
        let index = self.turns;
        self.turns += 1;
        self.may_overtake = may_overtake;
        let passed = self.started.partition_point(|next| next.index <= index);
        let started = self.started.drain(..passed).next_back();
        let started = started.filter(|next| next.index == index && next.is_same(request));
        (index, started)
    }

    /// Starts requests that wait for their turn. A request that must not be repeated, and all behind
    /// it, are left.
    pub fn start<H: HttpHandler>(
        &mut self,
        handler: &Arc<H>,
        peer: SocketAddr,
        read_ahead: &mut ReadAhead,
    ) {
        if !self.may_overtake || self.is_stopping || handler.is_closing() {
            return;
        }
        self.next_index = self.next_index.max(self.turns);
        for waiting in read_ahead.waiting_from(self.next_index) {
            if self.started.len() >= MAX_STARTED || !self.start_one(handler, peer, waiting) {
                return;
            }
        }
    }

    /// Starts a request; returns whether those behind it may be started.
    fn start_one<H: HttpHandler>(
        &mut self,
        handler: &Arc<H>,
        peer: SocketAddr,
        waiting: &mut WaitingHead,
    ) -> bool {
        let may_start =
            |head: &Request<()>| handler.may_run_ahead(head.method(), head.uri(), head.headers());
        let Some(head) = waiting.head.request.take_if(|head| may_start(head)) else {
            self.may_overtake = false;
            return false;
        };
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            waiting.head.request = Some(head);
            return false;
        };
        let mut request = head.clone().map(|()| IncomingBody::Empty);
        request
            .extensions_mut()
            .insert(ArrivedAt(waiting.arrived_at));
        let handler = handler.clone();
        let index = waiting.head.index;
        self.next_index = index + 1;
        self.started.push_back(StartedRequest {
            index,
            head,
            task: tokio::spawn(async move { handler.handle(request, peer).await }),
            _permit: permit,
        });
        true
    }
}
