//! The scripted cases of the review. `standins CASE FOLDER` plays a case, writes `record.txt`
//! into the folder, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With `TROUBLE=0` it plays the case without the disruption.

mod http;
mod json;
mod moved_route;
mod record;
mod sampler;
mod spoilt_stream;
mod store;
mod world;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins moved-route|spoilt-stream FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a writable folder for temporary files");
    let verdict = match case.as_str() {
        "moved-route" => moved_route::play(&scratch, &record, &trouble),
        "spoilt-stream" => spoilt_stream::play(&scratch, &record, &trouble),
        _ => Verdict::CouldNotRun("there is no such case"),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        // The logs of the nodes are not part of the record.
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let (line, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CouldNotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.note(&line);
    println!("{line}");
    ExitCode::from(code)
}
