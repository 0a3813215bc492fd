//! Choice of upstreams while they come and go.

mod choose;
mod cold;
mod load;
mod routes;
mod setup;
mod world;
