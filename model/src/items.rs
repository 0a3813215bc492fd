use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::stored_item::is_reserved;
use crate::{
    CustomerItem, Item, ItemKey, ItemValue, LimitsItem, NamedItem, Refusal, RouteItem, ServiceItem,
};

/// Items of the configuration, each with a version of its own. The highest version of an item is
/// in force, whether it sets or removes the item.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Item, ItemKey, Items, LimitsItem, NamedItem};
///
/// let limits = LimitsItem::default();
/// let item = Item { version: 7, value: Some(limits.into()), original: String::new() };
/// let items = Items::default().merged(&[NamedItem { key: ItemKey::Limits, item }]).unwrap();
/// assert_eq!(items.limits(), Some(&limits));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Items {
    map: BTreeMap<ItemKey, Arc<Item>>,
}

impl Items {
    /// Returns the items after a change. An invalid item refuses the whole change.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::InvalidItem`] with the first item that is invalid, and
    /// [`Refusal::ItemConflict`] for an item that differs from the stored one of the same version.
    pub fn merged(&self, changes: &[NamedItem]) -> Result<Self, Refusal> {
        let mut next = self.clone();
        for named in changes {
            self.check_item(named)?;
            next.merge(named);
        }
        for (key, item) in &next.map {
            if let Some(ItemValue::Route(route)) = &item.value {
                next.check_services_exist(key, route)?;
            }
        }
        next.check_keys_differ()?;
        Ok(next)
    }

    /// Stores an item if there is none with its key, or its version is higher than the stored one.
    /// An item of version 0 is older than any other, but not the same as none.
    pub fn merge(&mut self, named: &NamedItem) {
        let stored = self.map.get(&named.key);
        if stored.is_none_or(|stored| named.item.version > stored.version) {
            let item = Arc::new(named.item.clone());
            self.map.insert(named.key.clone(), item);
        }
    }

    /// Returns the name, version and contents of each route that has not been removed, in the order
    /// of names.
    pub fn routes(&self) -> impl Iterator<Item = (&str, u64, &RouteItem)> {
        self.map
            .iter()
            .filter_map(|(key, item)| match (key, &item.value) {
                (ItemKey::Route(name), Some(ItemValue::Route(route))) => {
                    Some((name.as_str(), item.version, route))
                }
                _ => None,
            })
    }

    /// Returns the name and contents of each service that has not been removed, in the order of
    /// names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &ServiceItem)> {
        self.map
            .iter()
            .filter_map(|(key, item)| match (key, &item.value) {
                (ItemKey::Service(name), Some(ItemValue::Service(service))) => {
                    Some((name.as_str(), service))
                }
                _ => None,
            })
    }

    /// Returns the contents of a service; `None` if it was removed or never set.
    pub fn service(&self, name: &str) -> Option<&ServiceItem> {
        match &self.map.get(&ItemKey::Service(name.to_owned()))?.value {
            Some(ItemValue::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns the name and contents of each customer that has not been removed, in the order of
    /// names.
    pub fn customers(&self) -> impl Iterator<Item = (&str, &CustomerItem)> {
        self.map
            .iter()
            .filter_map(|(key, item)| match (key, &item.value) {
                (ItemKey::Customer(name), Some(ItemValue::Customer(customer))) => {
                    Some((name.as_str(), customer))
                }
                _ => None,
            })
    }

    /// Returns the limits on callers, if they are set.
    pub fn limits(&self) -> Option<&LimitsItem> {
        match &self.map.get(&ItemKey::Limits)?.value {
            Some(ItemValue::Limits(limits)) => Some(limits),
            _ => None,
        }
    }

    /// Returns all items that have not been removed.
    pub fn present(&self) -> impl Iterator<Item = (&ItemKey, &Item)> {
        let items = self.map.iter().map(|(key, item)| (key, &**item));
        items.filter(|(_, item)| item.value.is_some())
    }

    /// Returns the items with an empty [`Item::original`], which is needed only to show the
    /// configuration to a reader.
    pub fn without_originals(&self) -> Self {
        let items = self.map.iter().map(|(key, item)| {
            let item = Item {
                original: String::new(),
                ..Item::clone(item)
            };
            (key.clone(), Arc::new(item))
        });
        let map = items.collect();
        Self { map }
    }

    /// Returns whether no item was ever set or removed.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    fn check_item(&self, named: &NamedItem) -> Result<(), Refusal> {
        let reason = match &named.item.value {
            Some(ItemValue::Route(route)) => route.invalid_reason(),
            Some(ItemValue::Customer(customer)) => customer.invalid_reason(),
            Some(ItemValue::Service(service)) if is_reserved(&service.health_path) => {
                Some("the health path is reserved")
            }
            _ => None,
        };
        if let Some(reason) = reason {
            return Err(invalid_item(&named.key, reason));
        }
        match &named.key {
            ItemKey::Service(name) if is_reserved(name) => {
                return Err(invalid_item(&named.key, "the name is reserved"));
            }
            ItemKey::Customer(name) if !is_valid_name(name) => {
                let reason = "the name is empty, or has outer spaces or a control character";
                return Err(invalid_item(&named.key, reason));
            }
            _ => {}
        }
        match self.map.get(&named.key) {
            Some(stored)
                if stored.version == named.item.version
                    && !stored.has_same_contents(&named.item) =>
            {
                Err(Refusal::ItemConflict {
                    item: named.key.to_string(),
                    version: stored.version,
                })
            }
            _ => Ok(()),
        }
    }

    /// Refuses a key that two customers have: it would not tell whose request it is.
    fn check_keys_differ(&self) -> Result<(), Refusal> {
        let mut owners = HashMap::new();
        for (name, customer) in self.customers() {
            for api_key in &customer.api_keys {
                if let Some(owner) = owners.insert(api_key, name)
                    && owner != name
                {
                    let reason = format!("customer {owner:?} has one of its keys");
                    return Err(invalid_item(&ItemKey::Customer(name.to_owned()), &reason));
                }
            }
        }
        Ok(())
    }

    fn check_services_exist(&self, key: &ItemKey, route: &RouteItem) -> Result<(), Refusal> {
        let is_present = |name: &str| {
            let service = self.map.get(&ItemKey::Service(name.to_owned()));
            service.is_some_and(|item| item.value.is_some())
        };
        match route.services.iter().find(|(name, _)| !is_present(name)) {
            Some((name, _)) => Err(invalid_item(
                key,
                &format!("service {name:?} does not exist"),
            )),
            None => Ok(()),
        }
    }
}

/// Returns whether the name of a customer is the same after it was sent in a header.
fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.contains(char::is_control)
}

fn invalid_item(key: &ItemKey, reason: &str) -> Refusal {
    Refusal::InvalidItem {
        item: key.to_string(),
        reason: reason.to_owned(),
    }
}
