//! Tests of the choice of upstreams, while upstreams join, leave, slow down and get overloaded.

mod caller_spread;
mod capacity;
mod choose;
mod cold;
mod completed_requests;
mod connection_checks;
mod crash_evidence;
mod crash_outbox;
mod crash_reports;
mod helpers;
mod idle_reuse;
mod limits;
mod link;
mod load;
mod planned_stop;
mod reach;
mod region_room;
mod region_shares;
mod request_blocks;
mod routes;
mod setup;
mod simulation;
mod speed;
mod unanswered_attempts;
mod waits;
