//! Roles of instances that come and go: entry instances forward requests, control instances keep
//! the configuration, the list of upstreams and the list of entry instances.

mod configuration_update;
mod control_node;
mod control_record;
mod controls;
mod crash_marks;
mod entry_node;
mod entry_state;
mod event_log;
mod follow_message;
mod follow_reply;
mod follower;
mod forward_handler;
mod forwarding;
mod header_codec;
mod held_body;
mod known_list;
mod list_changes;
mod list_history;
mod list_keeper;
mod list_update;
mod news_board;
mod news_exchange;
mod node_metrics;
mod node_settings;
mod page_handler;
mod presence;
mod registry;
mod rpc_client;
mod rpc_handler;
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
pub use upstream_list::{ListError, ListRead, UpstreamList, UpstreamSource};
