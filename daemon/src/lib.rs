//! One instance of laburnumdeal: answers look-ups, forwards requests to upstreams, exchanges
//! messages with the other instances and serves operators.
//!
//! ```no_run
//! use laburnumdeal_daemon::{Daemon, open_logger};
//! use laburnumdeal_model::Settings;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::open("nasr-1.jsonc".as_ref())?;
//! let (log, _flush) = open_logger(&settings.log_level, &settings.instance);
//! let daemon = Daemon::spawn(settings, log).await?;
//! daemon.stop().await;
//! # Ok(())
//! # }
//! ```

mod answer_body;
mod attempt;
mod body_error;
mod bounded_head_io;
mod byte_meter;
mod caller_handler;
mod claim_outcome;
mod claim_sync;
mod command_runner;
mod configuration_puller;
mod configuration_store;
mod configuration_view;
mod connection;
mod connection_pool;
mod daemon;
mod daemon_error;
mod dialer;
mod exchange;
mod exchange_error;
mod exchange_guard;
mod explain;
mod fault_points;
mod final_outcome;
mod get_json;
mod header;
mod heartbeat;
mod heartbeat_message;
mod hedge;
mod http_server;
mod in_flight_requests;
mod incoming_body;
mod keyed_request;
mod leaving_upstreams;
mod link_faults;
mod link_throttle;
mod load_poller;
mod logger;
mod long_body;
mod lookup_handler;
mod metrics;
mod operator_auth;
mod operator_server;
mod options;
mod ownership_task;
mod packing;
mod peer_client;
mod peer_error;
mod peer_handler;
mod peer_loads;
mod peer_message;
mod peer_proof;
mod pipeline;
mod platform_poller;
mod prepared_request;
mod queueing;
mod readiness;
mod request_body;
mod request_error;
mod request_execution;
mod request_handler;
mod role;
pub mod roles;
mod rollout;
mod send_error;
mod share_borrower;
mod show;
mod state;
mod told_marks;
mod trace;
mod upstream_dispatch;
mod zone_routing;

pub use answer_body::AnswerBody;
pub use connection_pool::ConnectionPool;
pub use daemon::Daemon;
pub use daemon_error::DaemonError;
pub use dialer::Dialer;
pub use fault_points::*;
pub use get_json::{GetJsonError, get_document};
pub use http_server::{HttpHandler, HttpServer};
pub use incoming_body::IncomingBody;
pub use link_faults::*;
pub use logger::{open as open_logger, open_to as open_logger_to};
pub use options::{Options, OptionsError};
pub use packing::{PackingError, pack, unpack};
pub use pipeline::{HeadScanner, ScannedHead};
