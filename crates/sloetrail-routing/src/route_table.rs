//! The choice of a route by host and path.

use crate::Route;
use std::collections::HashMap;
use std::sync::Arc;

/// All routes, by host; within a host the longest prefix goes first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// A table of these routes.
    pub fn new(routes: Vec<Arc<Route>>) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// The route of a host and a path (without a query): of the host's routes the
    /// one with the longest prefix that begins the path. A port in `host` and its
    /// case do not matter.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Every route, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
