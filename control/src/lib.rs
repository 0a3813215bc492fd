//! Replicated change log of the configuration: leader election, log replication, storage on disk,
//! snapshots, membership changes and the audit trail. The protocol is Raft with pre-votes, leader
//! leases and leadership transfer.
//!
//! A [`Replica`] answers a command only after a majority of the replicas has synced it to disk.
//!
//! ```
//! use std::sync::Arc;
//!
//! use laburnumdeal_control::{NoPeers, Replica, ReplicaSettings};
//! use laburnumdeal_model::{Change, Submission, Topology, Verdict, Version, embedded_topology};
//!
//! # let folder = tempfile::tempdir()?;
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let topology = Arc::new(Topology::build(&embedded_topology())?);
//! let me = topology.instance_named("nasr-1").unwrap();
//! let settings = ReplicaSettings::new(me, vec![me], folder.path(), topology);
//! let log = slog::Logger::root(slog::Discard, slog::o!());
//! let replica = Replica::spawn(settings, NoPeers, log).await?;
//! replica.wait_for_leader().await;
//! let committed = replica
//!     .submit(Submission {
//!         command_id: "cap-1".parse()?,
//!         operator: "mona".into(),
//!         base: None,
//!         at_ms: 0,
//!         force: false,
//!         dry_run: false,
//!         change: Change::CapRegion { region: "cairo".into(), requests_per_s: 900 },
//!     })
//!     .await?;
//! assert_eq!(committed.verdict, Verdict::Accepted { version: Version(1) });
//! replica.stop().await;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod answers;
mod append;
mod audit_backfill;
mod audit_trail;
mod auto_membership_settings;
mod boot_clock;
mod bootstrap;
mod call_deduplicator;
mod committed;
mod configuration_read;
mod control_error;
mod core;
mod decider;
mod disk;
mod dispatch;
mod drains;
mod election;
mod encoded_bytes;
mod entry;
mod file_disk;
mod files;
mod folder;
mod frame;
mod header;
mod identity;
mod injected_faults;
mod instance_names;
mod joining;
mod leader_proof;
mod members;
mod peer_link;
mod progress;
mod proposals;
mod recovery;
mod replace_error;
mod replacement;
mod replay;
mod replica;
mod replica_settings;
mod replication;
mod reply;
mod request;
mod role;
mod sent_at;
mod snapshot_install;
mod snapshots;
mod state;
mod status;
mod storage_error;
mod store;
mod submit_error;
mod undo;
mod volatile_state;
mod vote;

pub use audit_trail::AuditRange;
pub use auto_membership_settings::AutoMembershipSettings;
pub use boot_clock::since_boot;
pub use committed::Committed;
pub use configuration_read::ConfigurationRead;
pub use control_error::ControlError;
pub use disk::Disk;
pub use encoded_bytes::encoded_bytes;
pub use entry::{Entry, Payload};
pub use file_disk::FileDisk;
pub use header::Header;
pub use identity::{ClusterId, ReplicaIdentity};
pub use injected_faults::InjectedFaults;
pub use instance_names::InstanceNames;
pub use joining::Candidate;
pub use leader_proof::LeaderProof;
pub use members::{Member, MemberRole, Members};
pub use peer_link::{NoPeers, NoPeersError, PeerLink};
pub use replace_error::ReplaceError;
pub use replay::replay;
pub use replica::Replica;
pub use replica_settings::{ReplicaSettings, unix_now_ms};
pub use reply::ControlReply;
pub use request::ControlRequest;
pub use role::Role;
pub use state::State;
pub use status::{ReplicaStatus, Status};
pub use storage_error::StorageError;
pub use store::{Store, StoreContents};
pub use submit_error::{NotRun, SubmitError};
pub use vote::Vote;
