//! Tests of sessions with an instance that gives scripted answers.

mod audit;
mod client;
mod fake;
