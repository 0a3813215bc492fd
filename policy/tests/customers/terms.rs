use laburnumdeal_model::RouteItem;
use laburnumdeal_policy::customers::{CallerTerms, Customer};

fn route(regions: &[&str]) -> RouteItem {
    RouteItem {
        host: "shop.example".into(),
        path_prefix: "/".into(),
        idempotent: true,
        timeout_ms: 1_000,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 2,
        services: Vec::new(),
        regions: names(regions),
        affinity: true,
        is_public: false,
    }
}

fn customer(regions: &[&str]) -> Customer {
    Customer {
        name: "amma".into(),
        priority: 1,
        rate_milli_per_s: 0,
        burst: 0,
        regions: names(regions),
        is_shown: false,
    }
}

fn names(regions: &[&str]) -> Vec<String> {
    regions.iter().map(|region| region.to_string()).collect()
}

// Guards against HOME: the regions of the route, or of the customer, do not bind.
#[test]
fn new_regions_of_route_and_customer_both_bind() {
    let common = |of_route: &[&str], of_customer: &[&str]| {
        let (route, customer) = (route(of_route), customer(of_customer));
        let terms = CallerTerms::new(&route, Some(&customer));
        terms.map(|terms| terms.regions.into_owned())
    };
    assert_eq!(common(&[], &[]), Some(Vec::new()));
    assert_eq!(common(&["south"], &[]), Some(names(&["south"])));
    assert_eq!(common(&[], &["north"]), Some(names(&["north"])));
    let several = common(&["south", "north"], &["north", "middle"]);
    assert_eq!(several, Some(names(&["north"])));
    // No region would be all regions, if it were an empty list.
    assert_eq!(common(&["south"], &["north"]), None);
}

#[test]
fn new_priority_of_the_customer_goes_before_that_of_the_route() {
    let (route, customer) = (route(&[]), customer(&[]));
    assert_eq!(CallerTerms::new(&route, None).unwrap().priority, 2);
    let terms = CallerTerms::new(&route, Some(&customer)).unwrap();
    assert_eq!(terms.priority, 1);
}
