use comfreyroad_fakes::answer::Quality;

use crate::Result;
use crate::binaries::Binaries;
use crate::faults::stage::RULES;
use crate::faults::{Check, Stage};
use crate::ledger;

/// The version that turns bad.
const VERSION: &str = "brush@4";
/// Second of the load at which it does.
const BAD_AT: f64 = 2.0;
/// Time after which it must be held, in milliseconds of the load.
const HELD_BY_MS: u64 = 8000;

pub(super) async fn run(seed: u64, binaries: &Binaries) -> Result<Vec<Check>> {
    // Half of the model's new sessions, so that there is something to find.
    let rules = RULES
        .replace("share=95 ", "share=50 ")
        .replace("share=5 ", "share=50 ");
    let mut stage = Stage::start_with(seed, &rules, binaries).await?;
    // Everybody asks for the model itself, of which both versions are in use.
    let load = stage
        .load(11)
        .with_flag("--draft-model", "brush")
        .with_flag("--whole-model", "brush");
    let fault = async |stage: &mut Stage| {
        stage.at(BAD_AT).await;
        stage.set_bad(VERSION, true).await
    };
    let trace = stage.under(load, fault).await?;
    let held = ledger::held(stage.deployment.addresses().log()).await?;
    let evidence = stage.evidence(trace).await?;
    let mut checks = evidence.usual();
    let bad = evidence.lines(|line| line.quality == Some(Quality::Bad));
    let late = bad.iter().filter(|line| line.at_ms > HELD_BY_MS).count();
    let figures = format!(
        "{} bad answers, {late} of them asked for later than 6 s after the turn",
        bad.len()
    );
    checks.push(Check::new(
        "a bad version gets no new work once it is found",
        !bad.is_empty() && late == 0,
        figures,
    ));
    let is_held = held.iter().any(|version| version == VERSION);
    checks.push(Check::new(
        "a bad version is held on the log",
        is_held,
        format!("held: {held:?}"),
    ));
    stage.deployment.stop().await?;
    Ok(checks)
}
