//! Tests of sessions with an instance that sends scripted replies.

mod audit;
mod client;
mod fake_instance;
