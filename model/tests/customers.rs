//! Customers as items: what is valid, and that builds without customers read and keep them.

use std::collections::BTreeMap;

use laburnumdeal_model::{
    Change, CustomerItem, Item, ItemKey, ItemValue, Items, LimitsItem, NamedItem, RouteItem,
    ServiceItem,
};
use serde::{Deserialize, Serialize};

/// Items as builds without customers read and write them.
mod former {
    use super::*;

    #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
    pub enum ItemKey {
        Route(String),
        Service(String),
        Limits,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub enum ItemValue {
        Route(RouteItem),
        Service(ServiceItem),
        Limits(LimitsItem),
    }

    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub struct RouteItem {
        pub host: String,
        pub path_prefix: String,
        pub idempotent: bool,
        pub timeout_ms: u64,
        pub target_latency_ms: u64,
        pub max_attempts: u32,
        pub priority: u32,
        pub services: Vec<(String, i64)>,
        pub regions: Vec<String>,
        pub affinity: bool,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub struct Item {
        pub version: u64,
        pub value: Option<ItemValue>,
        pub original: String,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
    pub struct Items {
        pub map: BTreeMap<ItemKey, Item>,
    }
}

fn named(key: ItemKey, version: u64, value: Option<ItemValue>) -> NamedItem {
    let original = match &value {
        Some(ItemValue::Customer(customer)) => customer.api_keys.join(" "),
        _ => format!("{{\"version\":{version}}}"),
    };
    let item = Item {
        version,
        value,
        original,
    };
    NamedItem { key, item }
}

fn customer(name: &str, version: u64, api_keys: &[&str]) -> NamedItem {
    let item = CustomerItem {
        api_keys: api_keys.iter().map(|key| key.to_string()).collect(),
        priority: 1,
        rate_milli_per_s: 2_500,
        burst: 5,
        regions: vec!["south".into()],
    };
    let key = ItemKey::Customer(name.into());
    named(key, version, Some(item.into()))
}

fn service(name: &str) -> NamedItem {
    let item = ServiceItem {
        health_path: "/health".into(),
        connections: 9,
        warm_up_ms: 3_000,
        warm_up_milli_per_s: 3_200,
    };
    named(ItemKey::Service(name.into()), 1, Some(item.into()))
}

fn route(is_public: bool) -> NamedItem {
    let item = RouteItem {
        host: "shop.example".into(),
        path_prefix: "/cart/".into(),
        idempotent: true,
        timeout_ms: 1_500,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 2,
        services: vec![("catalog".into(), 1_000)],
        regions: Vec::new(),
        affinity: true,
        is_public,
    };
    named(ItemKey::Route("cart".into()), 1, Some(item.into()))
}

fn items_with_customers() -> Items {
    let changes = [
        service("catalog"),
        route(true),
        customer("amma", 3, &["k-1", "k-2"]),
        customer("kofi", 4, &["k-3"]),
        named(ItemKey::Customer("yaw".into()), 9, None),
    ];
    Items::default().merged(&changes).unwrap()
}

/// Passes a value through a build without customers: it reads what this one writes, and writes it.
fn through_former<T: Serialize, Former, U>(value: &T) -> U
where
    Former: Serialize + for<'a> Deserialize<'a>,
    U: for<'a> Deserialize<'a>,
{
    let bytes = rmp_serde::to_vec(value).unwrap();
    let former: Former = rmp_serde::from_slice(&bytes).expect("a former build reads it");
    let written = rmp_serde::to_vec(&former).unwrap();
    assert_eq!(written, bytes, "a former build writes other bytes");
    rmp_serde::from_slice(&written).unwrap()
}

// Guards against: a build without customers cannot read the items, or loses a customer from them.
#[test]
fn read_items_with_customers_by_a_former_build_keeps_them() {
    let items = items_with_customers();
    let kept: Items = through_former::<_, former::Items, _>(&items);
    assert_eq!(kept, items);
    let names: Vec<&str> = kept.customers().map(|(name, _)| name).collect();
    assert_eq!(names, ["amma", "kofi"]);
    assert!(kept.routes().all(|(_, _, route)| route.is_public));
}

// Guards against: a record of the change log with a customer ends a replica of a former build.
#[test]
fn read_change_with_a_customer_by_a_former_build_keeps_it() {
    #[derive(Serialize, Deserialize)]
    struct NamedItem {
        key: former::ItemKey,
        item: former::Item,
    }
    #[derive(Serialize, Deserialize)]
    enum FormerChange {
        Items { items: Vec<NamedItem> },
    }
    let items = vec![customer("amma", 3, &["k-1"]), route(false), route(true)];
    let change = Change::Items { items };
    let kept: Change = through_former::<_, FormerChange, _>(&change);
    assert_eq!(kept, change);
}

// Guards against: a route or a service is stored in other bytes than by former builds.
#[test]
fn write_items_without_customers_has_the_bytes_of_former_builds() {
    let route_item = former::RouteItem {
        host: "shop.example".into(),
        path_prefix: "/cart/".into(),
        idempotent: true,
        timeout_ms: 1_500,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 2,
        services: vec![("catalog".into(), 1_000)],
        regions: Vec::new(),
        affinity: true,
    };
    let former = former::Item {
        version: 1,
        value: Some(former::ItemValue::Route(route_item)),
        original: "{\"version\":1}".into(),
    };
    let written = rmp_serde::to_vec(&route(false).item).unwrap();
    assert_eq!(written, rmp_serde::to_vec(&former).unwrap());
}

#[test]
fn merged_key_that_two_customers_have_is_refused() {
    let items = items_with_customers();
    for (name, keys) in [("kofi", &["k-3", "k-2"][..]), ("esi", &["k-1"][..])] {
        let refusal = items.merged(&[customer(name, 9, keys)]).unwrap_err();
        let text = refusal.to_string();
        assert!(text.contains("has one of its keys"), "{text}");
        assert!(!text.contains("k-1") && !text.contains("k-2"), "{text}");
    }
    // A key may move, as both versions come in one call.
    let moved = [customer("amma", 9, &["k-2"]), customer("esi", 9, &["k-1"])];
    assert!(items.merged(&moved).is_ok());
    // A removed customer has no key any more.
    let removed = named(ItemKey::Customer("amma".into()), 9, None);
    assert!(
        items
            .merged(&[removed, customer("esi", 9, &["k-1"])])
            .is_ok()
    );
}

#[test]
fn merged_customer_with_an_empty_key_is_refused() {
    let refusal = Items::default().merged(&[customer("amma", 1, &["k-1", ""])]);
    assert!(refusal.unwrap_err().to_string().contains("a key is empty"));
}

#[test]
fn merged_service_with_a_reserved_name_is_refused() {
    let refusal = Items::default().merged(&[service("\u{1}customer amma")]);
    assert!(refusal.unwrap_err().to_string().contains("reserved"));
}

#[test]
fn merged_customer_whose_name_fits_no_header_is_refused() {
    for name in ["", "am\nma", "amma ", "\tamma"] {
        let refusal = Items::default().merged(&[customer(name, 1, &["k-1"])]);
        assert!(refusal.unwrap_err().to_string().contains("the name is"));
    }
}

// Guards against: a service whose health path looks like a stored customer is accepted, or ends the replicas
// that read the record of its refusal.
#[test]
fn read_service_with_the_text_of_a_customer_is_the_same() {
    let text = "\u{1}customer ";
    let customer = rmp_serde::to_vec(&customer("amma", 1, &["k-1"]).item).unwrap();
    let customer: former::Item = rmp_serde::from_slice(&customer).unwrap();
    let Some(former::ItemValue::Service(stored)) = customer.value else {
        panic!("a customer is stored as a service");
    };
    for path in [
        text.to_owned(),
        format!("{text}x"),
        format!("{text}{{ }}"),
        stored.health_path.replace(',', ", "),
    ] {
        let mut named = service("catalog");
        let Some(ItemValue::Service(item)) = &mut named.item.value else {
            panic!("it is a service");
        };
        item.health_path = path;
        let bytes = rmp_serde::to_vec(&named).unwrap();
        let read: NamedItem = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read, named);
        assert_eq!(rmp_serde::to_vec(&read).unwrap(), bytes);
        let refusal = Items::default().merged(&[named]).unwrap_err();
        assert!(refusal.to_string().contains("reserved"), "{refusal}");
    }
}

// Guards against: keys reach a log through the debug text of an item.
#[test]
fn debug_customer_leaves_out_its_keys() {
    let text = format!("{:?}", customer("amma", 1, &["k-secret"]));
    assert!(!text.contains("k-secret"), "{text}");
    let change = Change::Items {
        items: vec![customer("amma", 1, &["k-secret"])],
    };
    assert_eq!(change.to_string(), "set customer amma");
}
