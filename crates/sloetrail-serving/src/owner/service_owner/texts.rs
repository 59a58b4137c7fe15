//! Checkpoints the texts of running items.

use super::ServiceOwner;
use crate::owner::committer::CommitRequest;
use sloetrail_batch::{Checkpoint, TranscriptEvent};

const MAX_CHECKPOINT_BYTES: usize = 16 * 1024;

impl ServiceOwner {
    /// Sends a checkpoint with the new events of each running item to the committer.
    pub(super) fn checkpoint_texts(&mut self) {
        for (id, open) in &mut self.batches {
            for (index, run) in &mut open.runs {
                let events = take_events(
                    run.progress.events_after(run.checkpointed_events),
                    MAX_CHECKPOINT_BYTES,
                );
                if events.is_empty() {
                    continue;
                }
                let checkpoint = Checkpoint {
                    index: *index,
                    generation: open.batch.item(*index).generation,
                    offset: run.checkpointed_events,
                    events,
                };
                run.checkpointed_events += checkpoint.events.len();
                let request = CommitRequest::SaveCheckpoint {
                    batch: id.clone(),
                    checkpoint,
                };
                // The committer stops only when the term ends.
                let _ = self.commits.send(request);
            }
        }
    }
}

/// Returns the leading events with at most `max_bytes` of data in total, but at least one.
fn take_events(events: Vec<TranscriptEvent>, max_bytes: usize) -> Vec<TranscriptEvent> {
    let mut total = 0;
    let fits = |(index, event): &(usize, TranscriptEvent)| {
        total += event.data.len();
        *index == 0 || total <= max_bytes
    };
    let fitting = events.into_iter().enumerate().take_while(fits);
    fitting.map(|(_, event)| event).collect()
}
