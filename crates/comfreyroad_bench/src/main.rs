//! Runs demonstrations, fault cells and measurements with real processes.

use std::pin::pin;
use std::process::ExitCode;

use comfreyroad_bench::binaries::Binaries;
use comfreyroad_bench::options::Command;
use comfreyroad_bench::router::Router;
use comfreyroad_bench::{Error, Result};
use comfreyroad_net::runtime;
use comfreyroad_net::signal::{self, Signal};
use futures_util::future::{Either, select};
use serde_json::json;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("comfreyroad-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &[String]) -> Result<bool> {
    let command = Command::parse(args)?;
    let fail = |source| Error::Program {
        step: "run",
        program: "loop".to_owned(),
        source,
    };
    runtime::run(async {
        let mut signals = signal::Listener::new(&Signal::SHUTDOWN).map_err(fail)?;
        let work = pin!(execute(command));
        let signal = pin!(signals.next());
        // Dropping `work` terminates every process that it has started.
        match select(work, signal).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(Error::Signalled),
        }
    })
    .map_err(fail)?
}

/// Runs a command; returns false when one of its checks fails.
async fn execute(command: Command) -> Result<bool> {
    match command {
        Command::Help(text) => {
            print!("{text}");
            Ok(true)
        }
        Command::Faults(suite) => {
            let outcomes = suite.run(&Binaries::beside_current_exe()?).await?;
            let failed: Vec<_> = outcomes
                .iter()
                .filter(|outcome| !outcome.passed)
                .map(|outcome| outcome.name)
                .collect();
            println!("{}", json!({ "cells": outcomes, "failed": failed }));
            Ok(failed.is_empty())
        }
        Command::Measure(measure) => {
            for file in measure.run(&Binaries::beside_current_exe()?).await? {
                println!("{}", file.display());
            }
            Ok(true)
        }
        Command::Router(settings) => {
            Router::new(settings).run().await?;
            Ok(true)
        }
        Command::Demo(demo) => {
            let report = demo.run(&Binaries::beside_current_exe()?).await?;
            println!("{}", report.to_json()?);
            Ok(report.passes())
        }
    }
}
