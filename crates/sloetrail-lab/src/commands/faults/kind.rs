//! The kinds of faults.

use clap::ValueEnum;
use clap::builder::PossibleValue;

macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// A kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(super) enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        impl FaultKind {
            pub(super) fn all() -> Vec<Self> {
                vec![$(FaultKind::$kind,)*]
            }

            pub(super) fn name(self) -> &'static str {
                match self { $(FaultKind::$kind => $name,)* }
            }
        }
    };
}

fault_kinds! {
    /// SIGKILL of a node; a replacement comes later.
    KillNode = "kill-node",
    /// SIGKILL of an engine; a replacement comes later.
    KillEngine = "kill-engine",
    /// SIGSTOP of a node past its leases, then SIGCONT.
    FreezeNode = "freeze-node",
    /// SIGSTOP of an engine, then SIGCONT.
    FreezeEngine = "freeze-engine",
    /// One zone is cut from the other zones.
    CutZone = "cut-zone",
    /// One zone is cut from the other zones in one direction.
    CutZoneOneWay = "cut-zone-one-way",
    /// One zone is cut from the platform.
    CutPlatform = "cut-platform",
    /// One zone is cut from everything, for longer than its configuration counts.
    IsolateZone = "isolate-zone",
    /// The table and the object store refuse every call.
    StoreDown = "store-down",
    /// The table hangs.
    StoreHang = "store-hang",
    /// The table and the object store are slow.
    StoreSlow = "store-slow",
    /// The table loses answers after the effect.
    LostAnswers = "lost-answers",
    /// Engines fail orders.
    FailingSwaps = "failing-swaps",
    /// Back ends cross answers.
    CrossedAnswers = "crossed-answers",
    /// Back ends cut answers short.
    CutAnswers = "cut-answers",
    /// A node is killed and replaced at once, at another address.
    ReplaceNode = "replace-node",
    /// SIGTERM of a node.
    StopNode = "stop-node",
    /// An engine's machine is about to go: the list says so, and the engine is told.
    DrainEngine = "drain-engine",
    /// An engine's machine is about to go, and only the list says so.
    ListLeaving = "list-leaving",
}

impl ValueEnum for FaultKind {
    fn value_variants<'a>() -> &'a [Self] {
        use std::sync::OnceLock;
        static ALL: OnceLock<Vec<FaultKind>> = OnceLock::new();
        ALL.get_or_init(FaultKind::all)
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.name()))
    }
}
