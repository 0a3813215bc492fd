//! Sends new crash reports at once, so that they do not wait for the next poll. A report that is lost
//! on the way arrives with the polls, which carry all that the receiver lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::roles::crash_queue::CrashQueue;
use crate::roles::follow_message::Call;
use crate::roles::rpc_client::{RpcClient, RpcError};

/// Minimum interval between messages, so that reports of one crash go together.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a message.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Instance that sends crash reports.
pub(super) trait CrashSource: Send + Sync + 'static {
    /// Reports that wait to be sent.
    fn crash_queue(&self) -> &CrashQueue;

    /// Control instances that get the reports.
    fn receivers(&self) -> Vec<SocketAddr>;

    /// Whether the reports come from other instances.
    fn is_relay(&self) -> bool;

    /// Logs a message that was not received.
    fn log_unsent(&self, to: SocketAddr, error: &RpcError);
}

/// Sends the reports of an instance until the process stops.
pub(super) async fn run<S: CrashSource>(source: Arc<S>, client: RpcClient) {
    let mut sending = JoinSet::new();
    loop {
        let call = Arc::new(Call::Crashes {
            reports: source.crash_queue().take().await,
            is_relayed: source.is_relay(),
        });
        for to in source.receivers() {
            let (source, client, call) = (source.clone(), client.clone(), call.clone());
            sending.spawn(async move {
                if let Err(error) = client.call(to, &call, TIMEOUT).await {
                    source.log_unsent(to, &error);
                }
            });
        }
        while sending.try_join_next().is_some() {}
        sleep(MIN_INTERVAL).await;
    }
}
