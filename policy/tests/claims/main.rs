//! At most once: every case of the pair, memory bounds, hand-over, keys without a token, a model check.

mod claims_bare;
mod claims_hand_over;
mod claims_key;
mod claims_matrix;
mod claims_memory;
mod claims_model;
mod claims_pair;
mod support;
mod world;
