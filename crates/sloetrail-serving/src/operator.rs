//! The state set by operator and trainers: the configuration, the published versions and the
//! evacuated zones.
//!
//! Within one incarnation of a node, configuration and versions never go back. An evacuation
//! applies until it is withdrawn.

use crate::dialect::Dialect;
use crate::events::{self, Event};
use crate::follow::{LastApplied, TableView, ViewReceiver};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{RowVersion, WeightVersion, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::watch;

/// Region conflicts logged for one configuration.
const MAX_REPORTED_CONFLICTS: usize = 100;
/// Held numbers logged for one configuration.
const MAX_REPORTED_NUMBERS: usize = 100;

/// The newest published version of each model.
pub type PublishedVersions = BTreeMap<String, WeightVersion>;

/// The evacuated zones. Their back ends receive no new work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    zones: BTreeSet<ZoneName>,
    /// When this node learned of each withdrawal.
    withdrawn_at: BTreeMap<ZoneName, BootInstant>,
}

impl Evacuations {
    /// True if the back ends of the zone must receive no new work.
    pub fn covers(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns when this node learned that the last evacuation of the zone was withdrawn.
    pub fn withdrawn_at(&self, zone: &ZoneName) -> Option<BootInstant> {
        self.withdrawn_at.get(zone).copied()
    }

    pub(crate) fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.iter()
    }

    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Sets the evacuated zones. Returns true if they changed.
    pub(crate) fn replace(&mut self, zones: BTreeSet<ZoneName>) -> bool {
        if zones == self.zones {
            return false;
        }
        for zone in self.zones.difference(&zones) {
            self.withdrawn_at.insert(zone.clone(), BootInstant::now());
        }
        for zone in self.zones.symmetric_difference(&zones) {
            events::emit(&Event::EvacuationChanged {
                zone: zone.as_str(),
                evacuated: zones.contains(zone),
            });
        }
        self.zones = zones;
        true
    }
}

/// The configuration, published versions and evacuations in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// None until the first configuration has been read.
    pub configuration: Option<Arc<ServingConfiguration>>,
    /// The newest published version of each model.
    pub published: Arc<PublishedVersions>,
    pub evacuations: Arc<Evacuations>,
    configuration_row: RowVersion,
}

/// Applies the operator's rows until every receiver is gone. The second receiver yields the
/// request time of the last view whose content the first receiver shows.
pub fn watch_operator(
    mut view: ViewReceiver,
    dialect: Arc<dyn Dialect>,
) -> (watch::Receiver<Arc<InForce>>, LastApplied) {
    let (sender, receiver) = watch::channel(Arc::new(InForce::default()));
    let (applied, applied_at) = watch::channel(view.borrow().requested_at);
    tokio::spawn(async move {
        while view.changed().await.is_ok() && !sender.is_closed() {
            let table = view.borrow_and_update().clone();
            let mut next = InForce::clone(&sender.borrow());
            let configured = apply_configuration(&mut next, &table, &*dialect);
            let published = apply_versions(&mut next, &table, &*dialect);
            let evacuated = apply_evacuations(&mut next, &table, &*dialect);
            if configured || published || evacuated {
                sender.send_replace(Arc::new(next));
            }
            applied.send_replace(table.requested_at);
        }
    });
    (receiver, applied_at)
}

/// Applies a newer configuration. Returns true if there was one.
fn apply_configuration(in_force: &mut InForce, table: &TableView, dialect: &dyn Dialect) -> bool {
    let address = &dialect.sources().configuration;
    let Some(row) = table.rows.get(&address.key) else {
        return false;
    };
    if row.version <= in_force.configuration_row {
        return false;
    }
    in_force.configuration_row = row.version;
    let configuration = match ServingConfiguration::parse(&row.value) {
        Ok(configuration) => configuration,
        Err(error) => {
            telemetry::configuration_refused();
            events::emit(&Event::ConfigurationRefused {
                row_version: row.version.0,
                detail: &error.to_string(),
            });
            return false;
        }
    };
    let current = in_force.configuration.as_ref();
    if current.is_some_and(|current| current.revision >= configuration.revision) {
        return false;
    }
    events::emit(&Event::ConfigurationInForce {
        revision: configuration.revision.0,
        routes: configuration.routes.iter().count(),
    });
    emit_region_conflicts(&configuration);
    emit_held_numbers(&configuration);
    in_force.configuration = Some(Arc::new(configuration));
    true
}

/// Logs the routes and tenants that have no region in common, so that the mistake is found before
/// a request is refused.
fn emit_region_conflicts(configuration: &ServingConfiguration) {
    for (route, tenant) in configuration
        .region_conflicts()
        .take(MAX_REPORTED_CONFLICTS)
    {
        events::emit(&Event::RegionsExclude {
            route: &route.name,
            tenant: tenant.name.as_str(),
            revision: configuration.revision.0,
        });
    }
}

/// Logs the numbers that are not used as the operator wrote them.
fn emit_held_numbers(configuration: &ServingConfiguration) {
    for held in configuration.held_numbers.iter().take(MAX_REPORTED_NUMBERS) {
        events::emit(&Event::ConfigurationNumberHeld {
            field: &held.field,
            given: &held.given,
            used: &held.used,
            revision: configuration.revision.0,
        });
    }
}

/// Applies the evacuated zones. Returns true if they have changed.
fn apply_evacuations(in_force: &mut InForce, table: &TableView, dialect: &dyn Dialect) -> bool {
    let keys = table.rows.keys();
    let zones: BTreeSet<ZoneName> = keys.filter_map(|key| dialect.evacuated_zone(key)).collect();
    if zones == in_force.evacuations.zones {
        return false;
    }
    Arc::make_mut(&mut in_force.evacuations).replace(zones)
}

/// Applies newer published versions. Returns true if there were any.
fn apply_versions(in_force: &mut InForce, table: &TableView, dialect: &dyn Dialect) -> bool {
    let mut changed = false;
    for (key, row) in &table.rows {
        let Some(published) = dialect.published_version(key, &row.value) else {
            continue;
        };
        let known = in_force.published.get(&published.model).copied();
        if known.unwrap_or_default() >= published.version {
            continue;
        }
        events::emit(&Event::VersionPublished {
            model: &published.model,
            version: published.version.0,
        });
        let versions = Arc::make_mut(&mut in_force.published);
        versions.insert(published.model, published.version);
        changed = true;
    }
    changed
}

#[cfg(test)]
mod tests;
