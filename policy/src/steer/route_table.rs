use std::collections::HashMap;

use laburnumdeal_model::{Items, LimitsItem, RouteItem};

/// Routes of a configuration by host, sorted by the length of their path prefix, longest first.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::Items;
/// use laburnumdeal_policy::steer::RouteTable;
///
/// let table = RouteTable::new(&Items::default());
/// assert!(table.find("shop.example", "/cart/1").is_none());
/// ```
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Route>>,
    limits: LimitsItem,
}

/// One route with its name and version.
#[derive(Debug)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Version of the route.
    pub version: u64,
    /// Settings of the route.
    pub item: RouteItem,
}

impl RouteTable {
    /// Returns the table of the routes and limits in `items`.
    pub fn new(items: &Items) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for (name, version, item) in items.routes() {
            let route = Route {
                name: name.to_owned(),
                version,
                item: item.clone(),
            };
            let host = item.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.item.path_prefix.len()));
        }
        let limits = items.limits().copied().unwrap_or_default();
        Self { by_host, limits }
    }

    /// Returns the route of a host with the longest prefix of the path. The case of the host does
    /// not matter.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.item.path_prefix))
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> &LimitsItem {
        &self.limits
    }
}

impl Route {
    /// Returns the service for a random number from 0 to 1, with probabilities in proportion to the
    /// weights.
    pub fn pick_service(&self, random: f64) -> &str {
        let total: i64 = self.item.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random * total as f64;
        for (name, weight) in &self.item.services {
            remaining -= *weight as f64;
            if remaining < 0.0 {
                return name;
            }
        }
        let last = self.item.services.iter().rev().find(|(_, w)| *w > 0);
        last.map_or("", |(name, _)| name)
    }
}
