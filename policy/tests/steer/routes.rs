use laburnumdeal_model::{Items, RouteItem};
use laburnumdeal_policy::steer::{RetryBudgetShare, RouteTable};

use crate::setup::{items, named};

fn route(prefix: &str) -> RouteItem {
    let items = items();
    RouteItem {
        path_prefix: prefix.into(),
        ..items.routes().next().unwrap().2.clone()
    }
}

fn table() -> RouteTable {
    let mut items: Items = items();
    for prefix in ["/shop/", "/shop/cart/"] {
        let key = laburnumdeal_model::ItemKey::Route(prefix.into());
        items = items.merged(&[named(key, route(prefix).into())]).unwrap();
    }
    RouteTable::new(&items)
}

#[test]
fn find_longest_prefix_wins() {
    let table = table();
    let prefix = |path: &str| {
        let route = table.find("shop.example", path);
        route.map(|route| route.item.path_prefix.clone())
    };
    assert_eq!(prefix("/shop/cart/3").as_deref(), Some("/shop/cart/"));
    assert_eq!(prefix("/shop/cartoon").as_deref(), Some("/shop/"));
    assert_eq!(prefix("/shop").as_deref(), Some("/"));
}

#[test]
fn find_other_host_has_no_route() {
    assert!(table().find("other.example", "/shop/").is_none());
    assert!(table().find("SHOP.example", "/shop/").is_some());
}

#[test]
fn pick_service_follows_the_weights() {
    let item = RouteItem {
        services: vec![
            ("one".into(), 90_000),
            ("two".into(), 10_000),
            ("no".into(), 0),
        ],
        ..route("/")
    };
    let route = laburnumdeal_policy::steer::Route {
        name: "split".into(),
        version: 1,
        item,
    };
    let picked = (0..1_000).map(|number| route.pick_service(f64::from(number) / 1_000.0));
    let ones = picked.filter(|service| *service == "one").count();
    assert_eq!(ones, 900);
    assert_eq!(route.pick_service(0.999_999_999_999), "two");
}

#[test]
fn withdraw_by_all_instances_stays_within_the_budget() {
    let (ratio, slack, instances) = (0.2, 58.0, 15);
    let mut withdrawn = 0;
    let requests = 4_000;
    for _ in 0..instances {
        let mut share = RetryBudgetShare::new(ratio * 0.75, slack * 0.6 / f64::from(instances));
        for _ in 0..requests / instances {
            share.deposit();
            withdrawn += u32::from(share.withdraw()) + u32::from(share.withdraw());
        }
    }
    assert!(f64::from(withdrawn) <= ratio * f64::from(requests) + slack);
}
