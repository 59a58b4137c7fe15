//! String identifiers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a string as this kind of name.
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

name_type!(
    /// A service that callers address, such as `caption-lm`.
    ServiceName
);
name_type!(
    /// A training run, which submits and pulls samples.
    RunName
);
name_type!(
    /// One life of a node process; a replacement has another id.
    NodeId
);
name_type!(
    /// One life of an engine process.
    EngineId
);
name_type!(
    /// A failure zone.
    ZoneName
);
name_type!(
    /// A region: zones that are near one another.
    RegionName
);
name_type!(
    /// A trainer's name for a sample, unique within its run.
    SampleId
);
name_type!(
    /// One attempt at a request, named by the node that sends it.
    RequestId
);
name_type!(
    /// One configuration apply, named by the operator's client.
    ApplyId
);
name_type!(
    /// A tenant of the operators, to which callers belong.
    TenantName
);
name_type!(
    /// One transaction on the table service, named by its writer.
    TransactionId
);

impl EngineId {
    /// The life of an engine that calls itself `instance`, which began at `started_ms` by its own
    /// wall clock. An engine that does not tell when it started has another name each time.
    pub fn of_incarnation(instance: &str, started_ms: Option<u64>) -> Self {
        match started_ms {
            Some(started_ms) => Self(format!("{instance}@{started_ms}")),
            None => Self(instance.to_owned()),
        }
    }
}
