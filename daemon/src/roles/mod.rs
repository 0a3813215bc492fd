//! Entry and control instances of a deployment whose instances come and go. Entry instances forward
//! requests; control instances keep the configuration, the list of upstreams and the list of entry
//! instances.

mod buffered_body;
mod configuration_update;
mod control_node;
mod control_record;
mod crash_checks;
mod crash_exchange;
mod crash_file;
mod crash_queue;
mod crash_sender;
mod entry_node;
mod entry_state;
mod fingerprints_text;
mod follow_message;
mod follow_reply;
mod follower;
mod forward_handler;
mod forwarding;
mod header_codec;
mod helper_handler;
mod helper_request;
mod known_controls;
mod known_list;
mod list_changes;
mod list_history;
mod list_refresher;
mod list_update;
mod node_metrics;
mod node_settings;
mod page_handler;
mod presence;
mod rate_limited_log;
mod reach_probes;
mod registry;
mod report_exchange;
mod report_store;
mod rpc_client;
mod rpc_handler;
mod second_opinion;
mod upstream_attempt;
mod upstream_list;

pub use configuration_update::ConfigurationUpdate;
pub use control_node::{ControlHandle, ControlNode, Submitted};
pub use entry_node::EntryNode;
pub use header_codec::HeaderCodec;
pub use list_changes::ListChanges;
pub use node_settings::NodeSettings;
pub use presence::{Presence, PresenceState};
pub use registry::Registry;
pub(crate) use upstream_attempt::{AttemptEnd, InFlightAttempt};
pub use upstream_list::{ListError, ListRead, UpstreamList, UpstreamSource};
