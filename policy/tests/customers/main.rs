//! Tests of what binds customers over all instances, while links are cut and messages are lost.

mod key_lease;
