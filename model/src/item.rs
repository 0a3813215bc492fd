use derive_more::{Debug, Display, From};
use serde::{Deserialize, Serialize};

use crate::stored_item::{StoredKey, StoredValue};
use crate::{CustomerItem, LimitsItem, RouteItem, ServiceItem};

/// Key of an item of the configuration: its kind, and its name where the kind has several.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "StoredKey", into = "StoredKey")]
pub enum ItemKey {
    /// A route, by name.
    #[display("route {_0}")]
    Route(String),
    /// A customer, by name. Its place in the order of keys is that of its stored form.
    #[display("customer {_0}")]
    Customer(String),
    /// A service, by name.
    #[display("service {_0}")]
    Service(String),
    /// The limits on callers.
    #[display("limits")]
    Limits,
}

/// Contents of an item.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredValue", into = "StoredValue")]
pub enum ItemValue {
    /// A route.
    Route(RouteItem),
    /// A service.
    Service(ServiceItem),
    /// The limits on callers.
    Limits(LimitsItem),
    /// A customer.
    Customer(CustomerItem),
}

/// A version of an item. A removed item keeps its version, so that older versions are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Version that the sender of the item gave it; the highest is in force.
    pub version: u64,
    /// Contents; `None` if the item was removed.
    pub value: Option<ItemValue>,
    /// JSON text of the item, with the numbers as its sender wrote them; returned when the
    /// configuration is read. It may hold keys, so that no log shows it.
    #[debug(skip)]
    pub original: String,
}

impl Item {
    /// Returns whether two items of one version have the same contents. Builds up to 2026-12 stored
    /// each number as the nearest double, so an item that they stored and the same one sent again may
    /// differ in the notation of numbers.
    pub(crate) fn has_same_contents(&self, other: &Self) -> bool {
        self.value == other.value
            && (self.original == other.original
                || reformatted(&self.original).as_ref() == Some(&other.original)
                || reformatted(&other.original).as_ref() == Some(&self.original))
    }
}

/// Returns a JSON text as builds up to 2026-12 stored it.
fn reformatted(text: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_str(text).ok()?;
    Some(value.to_string())
}

/// An item with its key, as part of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedItem {
    /// Key of the item.
    pub key: ItemKey,
    /// Version and contents of the item.
    pub item: Item,
}
