//! The state set by operator and trainers: the configuration, the published versions and the
//! evacuated zones.
//!
//! Within one incarnation of a node, configuration and versions never go back. An evacuation
//! applies until it is withdrawn.

use crate::dialect::Dialect;
use crate::events::{self, Event};
use crate::follow::{LastApplied, TableView, ViewReceiver};
use crate::tasks::{self, Panicked};
use crate::telemetry;
use sloetrail_clock::BootInstant;
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::{RowVersion, WeightVersion, ZoneName, whole_millis};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Region conflicts logged for one configuration; a mistake shows in the first ones.
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
    view: ViewReceiver,
    dialect: Arc<dyn Dialect>,
) -> (watch::Receiver<Arc<InForce>>, LastApplied) {
    let (sender, receiver) = watch::channel(Arc::new(InForce::default()));
    let (applied, applied_at) = watch::channel(view.borrow().requested_at);
    let publisher = Arc::new(InForcePublisher {
        dialect,
        sender,
        applied,
    });
    tasks::spawn_part("operator rows", move || {
        Arc::clone(&publisher).run(view.clone())
    });
    (receiver, applied_at)
}

/// Applies views of the operator's rows and publishes the state in force.
struct InForcePublisher {
    dialect: Arc<dyn Dialect>,
    sender: watch::Sender<Arc<InForce>>,
    /// The request time of the view that was applied last.
    applied: watch::Sender<Option<BootInstant>>,
}

impl InForcePublisher {
    async fn run(self: Arc<Self>, mut view: ViewReceiver) {
        while view.changed().await.is_ok() && !self.sender.is_closed() {
            let table = view.borrow_and_update().clone();
            self.apply(&table);
            self.applied.send_replace(table.requested_at);
        }
    }

    /// Applies configuration, versions and evacuations apart from each other: rows that cannot be
    /// applied keep none of the others out of force.
    fn apply(&self, table: &TableView) {
        let mut next = InForce::clone(&self.sender.borrow());
        let dialect = &*self.dialect;
        let written_within = self.applied.borrow().map(|applied| applied.elapsed());
        let configured = apply_part("configuration", || {
            apply_configuration(&mut next, table, dialect, written_within)
        });
        let published = apply_part("published versions", || {
            apply_versions(&mut next, table, dialect)
        });
        let evacuated = apply_part("evacuations", || {
            apply_evacuations(&mut next, table, dialect)
        });
        if configured || published || evacuated {
            self.sender.send_replace(Arc::new(next));
        }
    }
}

/// Returns whether a part has changed what is in force. After a panic, what it applied before is
/// published.
fn apply_part(name: &'static str, apply: impl FnOnce() -> bool) -> bool {
    tasks::catch_sync(name, apply).unwrap_or(true)
}

/// Applies a newer configuration. Returns true if there was one. `written_within` is the time since
/// the read that did not return it.
fn apply_configuration(
    in_force: &mut InForce,
    table: &TableView,
    dialect: &dyn Dialect,
    written_within: Option<Duration>,
) -> bool {
    let address = &dialect.sources().configuration;
    let Some(row) = table.rows.get(&address.key) else {
        return false;
    };
    if row.version <= in_force.configuration_row {
        return false;
    }
    in_force.configuration_row = row.version;
    let configuration = match parse_configuration(&row.value) {
        Ok(configuration) => configuration,
        Err(detail) => {
            telemetry::configuration_refused();
            events::emit(&Event::ConfigurationRefused {
                row_version: row.version.0,
                detail: &detail,
            });
            return false;
        }
    };
    if let Some(current) = &in_force.configuration
        && current.revision >= configuration.revision
    {
        events::emit(&Event::ConfigurationOutdated {
            revision: configuration.revision.0,
            in_force: current.revision.0,
        });
        return false;
    }
    events::emit(&Event::ConfigurationInForce {
        revision: configuration.revision.0,
        routes: configuration.routes.iter().count(),
        written_within_ms: written_within.map(whole_millis),
    });
    emit_region_conflicts(&configuration);
    emit_held_numbers(&configuration);
    in_force.configuration = Some(Arc::new(configuration));
    true
}

/// Returns the reason if the configuration is refused.
fn parse_configuration(json: &[u8]) -> Result<ServingConfiguration, String> {
    let parsed = tasks::catch_sync("configuration parser", || ServingConfiguration::parse(json));
    match parsed {
        Ok(parsed) => parsed.map_err(|error| error.to_string()),
        Err(Panicked) => Err("the parser panicked".to_owned()),
    }
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
    let decode = |key: &String| {
        let zone = tasks::catch_sync("evacuation", || dialect.evacuated_zone(key));
        zone.unwrap_or(None)
    };
    let zones: BTreeSet<ZoneName> = keys.filter_map(decode).collect();
    if zones == in_force.evacuations.zones {
        return false;
    }
    Arc::make_mut(&mut in_force.evacuations).replace(zones)
}

/// Applies newer published versions. Returns true if there were any.
fn apply_versions(in_force: &mut InForce, table: &TableView, dialect: &dyn Dialect) -> bool {
    let mut changed = false;
    for (key, row) in &table.rows {
        let decode = || dialect.published_version(key, &row.value);
        let Ok(Some(published)) = tasks::catch_sync("published version", decode) else {
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
