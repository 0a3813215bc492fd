//! Tests of the replicated change log.

mod checker;
mod cluster;
mod fake_disk;
mod histories;
mod network;
mod quorum;
mod storage;
