use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{LimitsItem, RouteItem, ServiceItem};

/// Name of one item of the configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A route.
    #[display("route {_0}")]
    Route(String),
    /// A service.
    #[display("service {_0}")]
    Service(String),
    /// The limits on callers.
    #[display("limits")]
    Limits,
}

/// Contents of one item.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemValue {
    /// A route.
    Route(RouteItem),
    /// A service.
    Service(ServiceItem),
    /// The limits on callers.
    Limits(LimitsItem),
}

/// One version of an item. A removed item keeps its version, so that an older one stays out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Version that its sender gave it; the highest is in force.
    pub version: u64,
    /// Contents; `None` when the item was removed.
    pub value: Option<ItemValue>,
    /// Text of the item as its sender wrote it, given back when the configuration is read.
    pub original: String,
}

/// An item with its name, as a change carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedItem {
    /// Name of the item.
    pub key: ItemKey,
    /// The item.
    pub item: Item,
}
