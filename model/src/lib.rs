//! Types that the other packages share: keys, settings, topology, configuration, changes of it
//! and the reasons why a change is refused.
//!
//! ```
//! use laburnumdeal_model::{Change, Configuration, Topology, embedded_topology};
//!
//! let topology = Topology::build(&embedded_topology())?;
//! let change = Change::CapShift { service: "catalog".into(), requests_per_s: 50 };
//! let configuration = Configuration::default().apply(&change, &topology, 0, false).unwrap();
//! assert_eq!(configuration.shift_caps["catalog"], 50);
//! # Ok::<(), laburnumdeal_model::TopologyError>(())
//! ```

mod audit_record;
mod boot_id;
mod change;
mod command_id;
mod configuration;
mod customer_item;
mod digest;
mod embedded;
mod group_id;
mod instance;
mod instance_id;
mod item;
mod items;
mod limits_item;
mod link;
mod refusal;
mod region;
mod region_id;
mod route_item;
mod service;
mod service_id;
mod service_item;
mod settings;
mod steering;
mod stored_item;
mod submission;
mod target;
mod term;
mod topology;
mod topology_checks;
mod topology_error;
mod topology_settings;
mod upstream;
mod upstream_id;
mod verdict;
mod version;
mod zone;
mod zone_id;

pub use audit_record::AuditRecord;
pub use boot_id::BootId;
pub use change::Change;
pub use command_id::{CommandId, CommandIdError, MAX_COMMAND_ID_BYTES};
pub use configuration::{Configuration, Drain, WHOLE_PERMILLE};
pub use customer_item::CustomerItem;
pub use digest::Digest;
pub use embedded::{EMBEDDED_TOPOLOGY, embedded_topology};
pub use group_id::GroupId;
pub use instance::Instance;
pub use instance_id::InstanceId;
pub use item::{Item, ItemKey, ItemValue, NamedItem};
pub use items::Items;
pub use limits_item::LimitsItem;
pub use link::Link;
pub use refusal::{NameKind, Refusal};
pub use region::Region;
pub use region_id::RegionId;
pub use route_item::RouteItem;
pub use service::Service;
pub use service_id::ServiceId;
pub use service_item::ServiceItem;
pub use settings::{MIN_SECRET_BYTES, OperatorSettings, Settings, SettingsError};
pub use steering::Steering;
pub use submission::Submission;
pub use target::Target;
pub use term::Term;
pub use topology::Topology;
pub use topology_error::TopologyError;
pub use topology_settings::{
    InstanceSettings, LinkSettings, RegionSettings, ServiceSettings, TopologySettings,
    UpstreamSettings, ZoneSettings,
};
pub use upstream::Upstream;
pub use upstream_id::UpstreamId;
pub use verdict::Verdict;
pub use version::Version;
pub use zone::Zone;
pub use zone_id::ZoneId;
