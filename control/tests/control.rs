//! Tests of the replicated change log.

mod changes;
mod checker;
mod cluster;
mod drains;
mod fake_disk;
mod growth;
mod histories;
mod membership;
mod network;
mod quorum;
mod storage;
