use super::write_lines;
use std::io::{self, Write};
use std::sync::mpsc::{Sender, channel, sync_channel};

/// Refuses the first write and passes on the others.
struct FailsOnce {
    has_failed: bool,
    attempts: Sender<Vec<u8>>,
}

impl Write for FailsOnce {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.attempts.send(bytes.to_vec()).expect("received");
        match std::mem::replace(&mut self.has_failed, true) {
            true => Ok(bytes.len()),
            false => Err(io::Error::from(io::ErrorKind::StorageFull)),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a failed write that ends the log of the node for good.
#[test]
fn lines_after_a_failed_write_are_written() {
    let (lines, queue) = sync_channel(8);
    let (attempts, attempted) = channel();
    let output = FailsOnce {
        has_failed: false,
        attempts,
    };
    let writer = std::thread::spawn(move || write_lines(&queue, output));
    lines.send("first".to_owned()).expect("queued");
    assert_eq!(attempted.recv().expect("attempted"), b"first\n");
    lines.send("second".to_owned()).expect("queued");
    assert_eq!(attempted.recv().expect("attempted"), b"second\n");
    drop(lines);
    writer.join().expect("ends with its queue");
}
