//! Tests of merging items by their versions.

use laburnumdeal_model::{
    Item, ItemKey, ItemValue, Items, NamedItem, Refusal, RouteItem, ServiceItem,
};

fn service(name: &str, version: u64) -> NamedItem {
    let value = ServiceItem {
        health_path: "/health".into(),
        connections: 330,
        warm_up_ms: 3_000,
        warm_up_milli_per_s: 15_000,
    };
    named(ItemKey::Service(name.into()), version, Some(value.into()))
}

fn route_item(service: &str) -> RouteItem {
    RouteItem {
        host: "shop.example".into(),
        path_prefix: "/cart/".into(),
        idempotent: true,
        timeout_ms: 800,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 1,
        services: vec![(service.into(), 1_000)],
        regions: Vec::new(),
        affinity: true,
        is_public: false,
    }
}

fn route(version: u64, item: RouteItem) -> NamedItem {
    named(ItemKey::Route("cart".into()), version, Some(item.into()))
}

fn named(key: ItemKey, version: u64, value: Option<ItemValue>) -> NamedItem {
    let original = format!("{value:?}");
    let item = Item {
        version,
        value,
        original,
    };
    NamedItem { key, item }
}

fn initial_items() -> Items {
    let changes = [service("catalog", 7), route(7, route_item("catalog"))];
    Items::default().merged(&changes).unwrap()
}

#[test]
fn merged_higher_version_wins_lower_changes_nothing() {
    let items = initial_items().merged(&[service("billing", 3)]).unwrap();
    let newer = items.merged(&[route(9, route_item("billing"))]).unwrap();
    let older = newer.merged(&[route(8, route_item("catalog"))]).unwrap();
    assert_eq!(older, newer);
    assert_eq!(older.routes().next().unwrap().2, &route_item("billing"));
}

#[test]
fn merged_same_version_again_is_accepted() {
    let items = initial_items();
    let again = items.merged(&[route(7, route_item("catalog"))]).unwrap();
    assert_eq!(again, items);
}

// Guards against CONFIG: a change that an older build acknowledged is refused when it is sent again.
#[test]
fn merged_same_version_in_the_notation_of_older_builds_is_accepted() {
    let with_text = |text: &str| {
        let mut route = route(7, route_item("catalog"));
        route.item.original = text.to_owned();
        [service("catalog", 7), route]
    };
    // The second text of each pair is the one that builds up to 2026-12 stored for the first.
    for (sent, stored) in [
        (r#"{"weight":1e2}"#, r#"{"weight":100.0}"#),
        (
            r#"{"weight":0.9211873080859775}"#,
            r#"{"weight":0.9211873080859776}"#,
        ),
    ] {
        for (first, again) in [(sent, stored), (stored, sent)] {
            let items = Items::default().merged(&with_text(first)).unwrap();
            assert_eq!(items.merged(&with_text(again)).unwrap(), items);
        }
    }
    let items = Items::default().merged(&with_text(r#"{"weight":1}"#));
    let refusal = items.unwrap().merged(&with_text(r#"{"weight":2}"#));
    assert!(matches!(refusal, Err(Refusal::ItemConflict { .. })));
}

// Guards against CONFIG: items of version 0 are acknowledged and missing when read back.
#[test]
fn merged_version_0_of_a_missing_item_is_stored() {
    let changes = [service("catalog", 0), route(0, route_item("catalog"))];
    let items = Items::default().merged(&changes).unwrap();
    assert_eq!(items.present().count(), changes.len());
    assert_eq!(items.merged(&changes).unwrap(), items);
    let newer = items.merged(&[service("billing", 0), route(1, route_item("billing"))]);
    let newer = newer.unwrap();
    assert_eq!(newer.routes().next().unwrap().1, 1);
    assert_eq!(newer.merged(&changes).unwrap(), newer);
}

// Guards against CONFIG: other contents under version 0 are taken for the same item.
#[test]
fn merged_version_0_with_other_contents_is_refused() {
    let changes = [service("catalog", 0), route(0, route_item("catalog"))];
    let items = Items::default().merged(&changes).unwrap();
    let refusal = items.merged(&[service("billing", 0), route(0, route_item("billing"))]);
    assert!(matches!(refusal, Err(Refusal::ItemConflict { .. })));
}

// Guards against CONFIG: a removal at version 0 is acknowledged, and the item set again by an older call.
#[test]
fn merged_removal_of_version_0_is_stored() {
    let key = ItemKey::Route("cart".into());
    let removed = Items::default().merged(&[named(key, 0, None)]).unwrap();
    assert!(!removed.is_empty());
    let set = [service("catalog", 0), route(0, route_item("catalog"))];
    assert!(matches!(
        removed.merged(&set),
        Err(Refusal::ItemConflict { .. })
    ));
}

#[test]
fn merged_same_version_with_other_contents_is_refused() {
    let items = initial_items().merged(&[service("billing", 3)]).unwrap();
    let refusal = items.merged(&[route(7, route_item("billing"))]);
    assert!(matches!(refusal, Err(Refusal::ItemConflict { .. })));
}

#[test]
fn merged_after_removal_ignores_older_versions() {
    let key = ItemKey::Route("cart".into());
    let removed = initial_items().merged(&[named(key, 9, None)]).unwrap();
    assert_eq!(removed.routes().count(), 0);
    let with_older = removed.merged(&[route(8, route_item("catalog"))]).unwrap();
    assert_eq!(with_older.routes().count(), 0);
    let with_newer = with_older
        .merged(&[route(10, route_item("catalog"))])
        .unwrap();
    assert_eq!(with_newer.routes().count(), 1);
}

#[test]
fn merged_invalid_item_refuses_the_whole_change() {
    let good = route_item("catalog");
    let cases = [
        RouteItem {
            services: vec![("nowhere".into(), 1_000)],
            ..good.clone()
        },
        RouteItem {
            services: vec![("catalog".into(), 0)],
            ..good.clone()
        },
        RouteItem {
            services: vec![("catalog".into(), 2_000), ("catalog".into(), -1)],
            ..good.clone()
        },
        RouteItem {
            timeout_ms: 0,
            ..good.clone()
        },
        RouteItem {
            max_attempts: 0,
            ..good
        },
    ];
    for case in cases {
        let refusal = initial_items().merged(&[service("extra", 1), route(9, case.clone())]);
        assert!(
            matches!(refusal, Err(Refusal::InvalidItem { .. })),
            "{case:?}"
        );
    }
}

#[test]
fn merged_service_that_a_route_needs_cannot_be_removed() {
    let key = ItemKey::Service("catalog".into());
    assert!(initial_items().merged(&[named(key, 9, None)]).is_err());
}
