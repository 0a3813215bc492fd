//! Forms in which items are stored and sent. Builds that do not know customers read one as a service
//! that no route names, and keep it; they read a public route as one of a low priority.

use serde::{Deserialize, Serialize};

use crate::{CustomerItem, ItemKey, ItemValue, LimitsItem, RouteItem, ServiceItem};

/// Begins the stored name of a customer. No service has such a name.
const CUSTOMER_NAME: &str = "\u{1}customer ";

/// Begins the text that holds a customer in the place of a health path.
const CUSTOMER_TEXT: &str = "\u{1}customer ";

/// Bit of the stored priority that marks a public route.
const PUBLIC_BIT: u32 = 1 << 31;

/// Stored form of an [`ItemKey`].
#[derive(Serialize, Deserialize)]
pub(crate) enum StoredKey {
    Route(String),
    Service(String),
    Limits,
}

/// Stored form of an [`ItemValue`].
#[derive(PartialEq, Serialize, Deserialize)]
pub(crate) enum StoredValue {
    Route(RouteItem),
    Service(ServiceItem),
    Limits(LimitsItem),
}

/// Stored form of a [`RouteItem`].
#[derive(Serialize, Deserialize)]
#[serde(rename = "RouteItem")]
pub(crate) struct StoredRoute {
    host: String,
    path_prefix: String,
    idempotent: bool,
    timeout_ms: u64,
    target_latency_ms: u64,
    max_attempts: u32,
    priority: u32,
    services: Vec<(String, i64)>,
    regions: Vec<String>,
    affinity: bool,
}

/// Returns whether a name, or a health path, is kept for the stored form of other items than
/// services.
pub(crate) fn is_reserved(text: &str) -> bool {
    text.starts_with(CUSTOMER_NAME) || text.starts_with(CUSTOMER_TEXT)
}

impl From<ItemKey> for StoredKey {
    fn from(key: ItemKey) -> Self {
        match key {
            ItemKey::Route(name) => Self::Route(name),
            ItemKey::Service(name) => Self::Service(name),
            ItemKey::Limits => Self::Limits,
            ItemKey::Customer(name) => Self::Service(format!("{CUSTOMER_NAME}{name}")),
        }
    }
}

impl From<StoredKey> for ItemKey {
    fn from(key: StoredKey) -> Self {
        match key {
            StoredKey::Route(name) => Self::Route(name),
            StoredKey::Limits => Self::Limits,
            StoredKey::Service(name) => match name.strip_prefix(CUSTOMER_NAME) {
                Some(customer) => Self::Customer(customer.to_owned()),
                None => Self::Service(name),
            },
        }
    }
}

impl From<ItemValue> for StoredValue {
    fn from(value: ItemValue) -> Self {
        match value {
            ItemValue::Route(route) => Self::Route(route),
            ItemValue::Service(service) => Self::Service(service),
            ItemValue::Limits(limits) => Self::Limits(limits),
            ItemValue::Customer(customer) => {
                let text = serde_json::to_string(&customer).expect("plain data encodes");
                Self::Service(ServiceItem {
                    health_path: format!("{CUSTOMER_TEXT}{text}"),
                    connections: 0,
                    warm_up_ms: 0,
                    warm_up_milli_per_s: 0,
                })
            }
        }
    }
}

impl From<StoredValue> for ItemValue {
    fn from(value: StoredValue) -> Self {
        match value {
            StoredValue::Route(route) => Self::Route(route),
            StoredValue::Limits(limits) => Self::Limits(limits),
            StoredValue::Service(service) => match read_customer(&service) {
                Some(customer) => Self::Customer(customer),
                None => Self::Service(service),
            },
        }
    }
}

/// Returns the customer that a service stands for. Any other text stays that of a service, so that
/// each stored item is read and written as the same bytes.
fn read_customer(service: &ServiceItem) -> Option<CustomerItem> {
    let text = service.health_path.strip_prefix(CUSTOMER_TEXT)?;
    let customer: CustomerItem = serde_json::from_str(text).ok()?;
    let is_same = StoredValue::from(ItemValue::from(customer.clone()))
        == StoredValue::Service(service.clone());
    is_same.then_some(customer)
}

impl From<RouteItem> for StoredRoute {
    fn from(route: RouteItem) -> Self {
        let public_bit = if route.is_public { PUBLIC_BIT } else { 0 };
        Self {
            host: route.host,
            path_prefix: route.path_prefix,
            idempotent: route.idempotent,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            max_attempts: route.max_attempts,
            priority: route.priority & !PUBLIC_BIT | public_bit,
            services: route.services,
            regions: route.regions,
            affinity: route.affinity,
        }
    }
}

impl From<StoredRoute> for RouteItem {
    fn from(route: StoredRoute) -> Self {
        Self {
            host: route.host,
            path_prefix: route.path_prefix,
            idempotent: route.idempotent,
            timeout_ms: route.timeout_ms,
            target_latency_ms: route.target_latency_ms,
            max_attempts: route.max_attempts,
            priority: route.priority & !PUBLIC_BIT,
            services: route.services,
            regions: route.regions,
            affinity: route.affinity,
            is_public: route.priority & PUBLIC_BIT != 0,
        }
    }
}
