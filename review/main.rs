//! Stand-ins of clients, engines and the platform's store for the cases of the review, and the cases themselves.
//!
//! `standins CASE FOLDER` starts the program of the deploy file as a separate process, plays a case on loopback addresses
//! and writes `record.txt` into the folder. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! With `TROUBLE=0` the case is played without its disruption.

mod cases;
mod client;
mod engine;
mod entry;
mod http;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    std::thread::spawn({
        let record = record.clone();
        move || {
            std::thread::sleep(TIME_LIMIT);
            record.line("the case took too long");
            entry::kill_all();
            exit(2);
        }
    });
    record.line(&format!("case {name}, trouble: {trouble}"));
    let played = std::panic::catch_unwind({
        let record = record.clone();
        move || cases::play(&name, trouble, &record)
    });
    entry::kill_all();
    match played {
        Ok(Some(Verdict::Held)) => {
            record.line("result: the rule held");
            exit(0);
        }
        Ok(Some(Verdict::Broken)) => {
            record.line("result: the rule was broken");
            exit(1);
        }
        Ok(None) => record.line("result: there is no such case"),
        Err(_) => record.line("result: the case could not run"),
    }
    exit(2);
}
