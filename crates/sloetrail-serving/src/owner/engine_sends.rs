//! Counts the sends of an owner to one engine.
//!
//! Most sends are counted when an item is dispatched. A run that repeats its request at the same
//! engine counts that as well, since the first request may have arrived.

use parking_lot::{Mutex, MutexGuard};
use sloetrail_balance::{SendBound, SendWindow};
use sloetrail_clock::BootInstant;
use sloetrail_types::{Timestamp, whole_millis};

/// The send window of an owner for one engine, shared with its runs.
#[derive(Debug)]
pub(super) struct EngineSends {
    origin: BootInstant,
    window: Mutex<SendWindow>,
}

impl EngineSends {
    /// An empty window whose timestamps start at `now`.
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            origin: now,
            window: Mutex::default(),
        }
    }

    /// True if the window still counts a send.
    pub(super) fn is_in_use(&self, now: BootInstant) -> bool {
        self.window().is_in_use(self.timestamp(now))
    }

    /// True if the bound allows one more send.
    pub(super) fn has_room(&self, now: BootInstant, bound: SendBound) -> bool {
        self.window().has_room(self.timestamp(now), bound)
    }

    pub(super) fn record(&self, now: BootInstant) {
        self.window().record(self.timestamp(now));
    }

    /// Records a send if the bound allows it. Returns false if the send must not be made.
    pub(super) fn try_record(&self, now: BootInstant, bound: Option<SendBound>) -> bool {
        let at = self.timestamp(now);
        let mut window = self.window();
        let is_allowed = bound.is_none_or(|bound| window.has_room(at, bound));
        if is_allowed {
            window.record(at);
        }
        is_allowed
    }

    fn timestamp(&self, now: BootInstant) -> Timestamp {
        let since = now.saturating_duration_since(self.origin);
        Timestamp(whole_millis(since))
    }

    fn window(&self) -> MutexGuard<'_, SendWindow> {
        self.window.lock()
    }
}
