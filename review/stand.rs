//! Runs a case of the third review: `stand CASE FOLDER`. The folder gets `record.txt`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

#[path = "stand_case_parts.rs"]
mod case_parts;
#[path = "stand_case_poison.rs"]
mod case_poison;
#[path = "stand_client.rs"]
mod client;
#[path = "stand_engine.rs"]
mod engine;
#[path = "stand_http.rs"]
mod http;
#[path = "stand_proxy.rs"]
mod proxy;
#[path = "stand_record.rs"]
mod record;
#[path = "stand_store.rs"]
mod store;

use std::path::Path;
use std::process::ExitCode;

use case_poison::Kind;
use record::Record;

/// Exit code for a case that could not run.
const COULD_NOT_RUN: u8 = 2;

/// Whether a rule held.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let files = std::env::temp_dir().join(format!("stand-{}", std::process::id()));
    let (case, shared) = (case.clone(), record.clone());
    let run_files = files.clone();
    let run = std::thread::spawn(move || match &*case {
        "dark" => Some(case_poison::run(
            Kind::Dark,
            &shared,
            &run_files,
            has_trouble,
        )),
        "rare" => Some(case_poison::run(
            Kind::Rare,
            &shared,
            &run_files,
            has_trouble,
        )),
        "parts" => Some(case_parts::run(&shared, &run_files, has_trouble)),
        _ => None,
    });
    let result = run.join();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&files);
    } else {
        println!("logs in {}", files.display());
    }
    match result {
        Ok(Some(Outcome::Held)) => ExitCode::SUCCESS,
        Ok(Some(Outcome::Broken)) => ExitCode::FAILURE,
        _ => {
            record.result("the case could not run");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
