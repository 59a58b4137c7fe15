//! Monotonic counters.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number, or the last one if there is no next.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

counter_type!(
    /// The term of a lease. Each new holder has a higher epoch.
    Epoch
);
counter_type!(
    /// A revision of the whole configuration.
    Revision
);
counter_type!(
    /// The version that the table service assigns to a row at each write.
    RowVersion
);
counter_type!(
    /// The position of a sample in the delivery order of its run.
    SequenceNumber
);
counter_type!(StepNumber);
counter_type!(
    /// A version of a model's weights. Trainers publish ascending versions.
    WeightVersion
);
