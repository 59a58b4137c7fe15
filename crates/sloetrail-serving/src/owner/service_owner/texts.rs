//! Keeping texts in the table while they are made.

use super::ServiceOwner;
use crate::owner::committer::CommitRequest;
use sloetrail_batch::{Checkpoint, TranscriptEvent};

/// Bytes of text in one piece.
const KEEP_BYTES: usize = 16 * 1024;

impl ServiceOwner {
    /// Has the new events of every running item committed.
    pub(super) fn keep_texts(&mut self) {
        for (id, open) in &mut self.batches {
            for (index, run) in &mut open.runs {
                let events = first_bytes(run.progress.events_after(run.kept), KEEP_BYTES);
                if events.is_empty() {
                    continue;
                }
                let checkpoint = Checkpoint {
                    index: *index,
                    generation: open.batch.item(*index).generation,
                    offset: run.kept,
                    events,
                };
                run.kept += checkpoint.events.len();
                let request = CommitRequest::SaveCheckpoint {
                    batch: id.clone(),
                    checkpoint,
                };
                // The committer ends only with the term.
                let _ = self.commits.send(request);
            }
        }
    }
}

/// The first events that together hold at most so many bytes, at least one.
fn first_bytes(events: Vec<TranscriptEvent>, bytes: usize) -> Vec<TranscriptEvent> {
    let mut held = 0;
    let fits = |(index, event): &(usize, TranscriptEvent)| {
        held += event.data.len();
        *index == 0 || held <= bytes
    };
    let fitting = events.into_iter().enumerate().take_while(fits);
    fitting.map(|(_, event)| event).collect()
}
