//! Requests with a key run at most once: cases of home and mirror, memory limits, hand-over, tokenless
//! keys, and a randomized simulation.

mod claims_hand_over;
mod claims_key;
mod claims_matrix;
mod claims_memory;
mod claims_model;
mod claims_pair;
mod claims_tokenless;
mod simulation;
mod support;
