//! Placement of objects by the room of regions: the weight of a region in the order of each object
//! falls while its upstreams are busy, so that objects move on to other regions. Objects move rather
//! than requests: each stays at few upstreams, whose caches hold it.

mod region_room;

pub use region_room::RegionRoom;
