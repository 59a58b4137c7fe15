//! What an owner has sent one engine, counted where it is sent.
//!
//! Most sends are counted when an item is given to an engine. A run that opens itself anew at
//! the same engine counts that too, for the first opening may have arrived.

use sloetrail_balance::{SendBound, SendWindow};
use sloetrail_clock::BootInstant;
use sloetrail_types::Timestamp;
use std::sync::{Mutex, MutexGuard};

/// The last sends of an owner to an engine.
#[derive(Debug)]
pub(super) struct EngineSends {
    counted_from: BootInstant,
    window: Mutex<SendWindow>,
}

impl EngineSends {
    /// None so far, on a clock that begins now and counts a freeze.
    pub(super) fn new(now: BootInstant) -> Self {
        Self {
            counted_from: now,
            window: Mutex::default(),
        }
    }

    /// True if the engine was sent something so lately that it still counts.
    pub(super) fn is_in_use(&self, now: BootInstant) -> bool {
        self.window().is_in_use(self.timestamp(now))
    }

    /// True if one more send keeps the bound.
    pub(super) fn has_room(&self, now: BootInstant, bound: SendBound) -> bool {
        self.window().has_room(self.timestamp(now), bound)
    }

    /// Takes in a send.
    pub(super) fn record(&self, now: BootInstant) {
        self.window().note(self.timestamp(now));
    }

    /// Takes in a send if it keeps the bound; false if it does not and may not be made.
    pub(super) fn try_record(&self, now: BootInstant, bound: Option<SendBound>) -> bool {
        let at = self.timestamp(now);
        let mut window = self.window();
        let is_allowed = bound.is_none_or(|bound| window.has_room(at, bound));
        if is_allowed {
            window.note(at);
        }
        is_allowed
    }

    fn timestamp(&self, now: BootInstant) -> Timestamp {
        let since = now.saturating_duration_since(self.counted_from);
        Timestamp(since.as_millis() as u64)
    }

    fn window(&self) -> MutexGuard<'_, SendWindow> {
        self.window.lock().expect("not poisoned")
    }
}
