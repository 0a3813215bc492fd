//! Asks the leader of the change log what is committed, and for shares of customers' quotas: at an
//! interval, and at once when a request waits for a share. A control instance that does not lead
//! passes the question on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::Version;
use slog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use crate::roles::customer_message::{CustomerReply, CustomerRequest};
use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, Reply};
use crate::roles::rpc_client::RpcClient;

/// Interval between questions.
const INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between questions, when requests wait for a share or one failed.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a question. Longer than that of a control instance that passes it on.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which questions go on to the control instance that answered after the nearest failed.
const FAILBACK_DELAY: Duration = Duration::from_secs(10);

/// Asks until the process stops.
pub async fn run(state: Arc<EntryState>, client: RpcClient) {
    let settings = &state.settings;
    let mut position = 0;
    let mut failed_over_at = Instant::now();
    let mut logged = false;
    loop {
        let started_at = Instant::now();
        let mut is_answered = true;
        if state.customers.has_questions() {
            if position != 0 && failed_over_at.elapsed() >= FAILBACK_DELAY {
                position = 0;
            }
            let known = state
                .controls
                .nearest_first(&settings.region, &settings.instance);
            is_answered = ask(&state, &client, known[position % known.len()]).await;
        }
        if !is_answered {
            position += 1;
            failed_over_at = Instant::now();
        }
        log_lease(&state, &mut logged);
        sleep_until(started_at + MIN_INTERVAL).await;
        if is_answered {
            tokio::select! {
                () = state.customers.needed() => {}
                () = sleep(INTERVAL.saturating_sub(started_at.elapsed())) => {}
            }
        }
    }
}

/// Asks one control instance; returns whether the leader answered.
async fn ask(state: &EntryState, client: &RpcClient, target: SocketAddr) -> bool {
    let active = state.active().configuration;
    let version = active.map_or(Version(0), |active| active.version);
    let (asked_at, request) = state.customers.begin_question(version);
    let sequence = request.header.sequence;
    let error = match send(client, target, request).await {
        Ok(reply) => {
            state.customers.apply((asked_at, sequence), &reply);
            return true;
        }
        Err(error) => error,
    };
    if let Some(log) = state.log.limited(true) {
        warn!(log, "no answer on customers"; "control" => target.to_string(), "error" => error);
    }
    false
}

async fn send(
    client: &RpcClient,
    target: SocketAddr,
    request: CustomerRequest,
) -> Result<CustomerReply, String> {
    let call = Call::Customers(request);
    match client.call(target, &call, REPLY_TIMEOUT).await {
        Ok(Reply::Customers(Some(reply))) => Ok(reply),
        Ok(Reply::Customers(None)) => Err("it reaches no leader with a lease".to_owned()),
        Ok(_) => Err("reply of another kind".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Logs when the lease on the customers' keys is lost or regained, and announces it.
fn log_lease(state: &EntryState, logged: &mut bool) {
    let lost = state.key_lease().err();
    if lost.is_some() == *logged {
        return;
    }
    *logged = lost.is_some();
    state.readiness.notify_one();
    match lost {
        Some(lost) => warn!(state.log.unlimited(), "customers' keys may not be used";
            "reason" => %lost),
        None => info!(state.log.unlimited(), "customers' keys may be used again"),
    }
}
