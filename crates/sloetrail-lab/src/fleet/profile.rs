//! The deployments of the two users.

use crate::standins::engine::EngineKind;
use clap::ValueEnum;
use clap::builder::PossibleValue;
use sloetrail_types::{RunName, ServiceName, ZoneName};

/// A user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProfileName {
    /// Community television in Lagos.
    Oyelaran,
    /// Meter reading in Iceland.
    Maelir,
}

impl ValueEnum for ProfileName {
    fn value_variants<'a>() -> &'a [Self] {
        &[ProfileName::Oyelaran, ProfileName::Maelir]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            ProfileName::Oyelaran => "oyelaran",
            ProfileName::Maelir => "maelir",
        }))
    }
}

/// A service's back ends.
#[derive(Clone, Debug)]
pub struct ServiceShape {
    /// The service.
    pub service: ServiceName,
    /// What they are.
    pub kind: EngineKind,
    /// How many there are.
    pub count: usize,
}

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The service file.
    pub file: &'static str,
    /// Its text.
    pub text: &'static str,
    /// The zones.
    pub zones: Vec<ZoneName>,
    /// The model service.
    pub model: ServiceShape,
    /// The application service.
    pub application: ServiceShape,
    /// The training run.
    pub run: RunName,
    /// The run's staleness bound.
    pub staleness_bound: u64,
}

impl Profile {
    /// A user's deployment, as in the example files.
    pub fn of(name: ProfileName) -> Self {
        match name {
            ProfileName::Oyelaran => Self {
                file: "examples/oyelaran.toml",
                text: include_str!("../../../../examples/oyelaran.toml"),
                zones: zones(["ikeja-hall", "yaba-hall", "lekki-hall"]),
                model: shape("caption-lm", EngineKind::Model, 8),
                application: shape("guide-app", EngineKind::Application, 3),
                run: RunName::from("captions"),
                staleness_bound: 4,
            },
            ProfileName::Maelir => Self {
                file: "examples/maelir.toml",
                text: include_str!("../../../../examples/maelir.toml"),
                zones: zones(["hfj", "rvk", "kef"]),
                model: shape("vision-lm", EngineKind::Model, 9),
                application: shape("route-api", EngineKind::Application, 4),
                run: RunName::from("dials"),
                staleness_bound: 1,
            },
        }
    }
}

fn zones(names: [&str; 3]) -> Vec<ZoneName> {
    names.into_iter().map(ZoneName::from).collect()
}

fn shape(service: &str, kind: EngineKind, count: usize) -> ServiceShape {
    ServiceShape {
        service: ServiceName::from(service),
        kind,
        count,
    }
}
