use std::borrow::Cow;

use laburnumdeal_model::RouteItem;

use crate::customers::Customer;

/// What holds for a request by its route and its customer together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerTerms<'a> {
    /// Priority when capacity is short; 0 is the most urgent.
    pub priority: u32,
    /// Regions that may serve the request; empty for all.
    pub regions: Cow<'a, [String]>,
}

impl<'a> CallerTerms<'a> {
    /// Returns the terms of a request. The priority of the customer goes before that of the route;
    /// the regions of both bind. Returns `None` if no region is in both.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::customers::CallerTerms;
    /// # use laburnumdeal_policy::customers::Customer;
    /// # let route = laburnumdeal_model::RouteItem {
    /// #     host: String::new(), path_prefix: "/".into(), idempotent: true, timeout_ms: 1,
    /// #     target_latency_ms: 1, max_attempts: 1, priority: 2, services: Vec::new(),
    /// #     regions: vec!["south".into(), "north".into()], affinity: false, is_public: false,
    /// # };
    /// # let customer = Customer {
    /// #     name: "amma".into(), priority: 1, rate_milli_per_s: 0, burst: 0,
    /// #     regions: vec!["north".into()], is_shown: false,
    /// # };
    ///
    /// let terms = CallerTerms::new(&route, Some(&customer)).unwrap();
    /// assert_eq!((terms.priority, &*terms.regions), (1, &["north".to_owned()][..]));
    /// assert_eq!(CallerTerms::new(&route, None).unwrap().priority, 2);
    /// ```
    pub fn new(route: &'a RouteItem, customer: Option<&'a Customer>) -> Option<Self> {
        let Some(customer) = customer else {
            return Some(Self {
                priority: route.priority,
                regions: Cow::Borrowed(&route.regions),
            });
        };
        let regions = match (route.regions.is_empty(), customer.regions.is_empty()) {
            (_, true) => Cow::Borrowed(&route.regions[..]),
            (true, false) => Cow::Borrowed(&customer.regions[..]),
            (false, false) => {
                let common = route.regions.iter();
                let common = common.filter(|region| customer.regions.contains(region));
                let common: Vec<String> = common.cloned().collect();
                if common.is_empty() {
                    return None;
                }
                Cow::Owned(common)
            }
        };
        Some(Self {
            priority: customer.priority,
            regions,
        })
    }
}
