//! Route lookup by host and path.

use crate::Route;
use std::collections::HashMap;
use std::sync::Arc;

/// All routes by host.
///
/// Invariant: the routes of a host are sorted by descending length of their prefixes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
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

    /// Finds the host's route with the longest prefix of `path`, which must not include a
    /// query. Ignores the case of `host` and a port in it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Iterates over all routes in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
