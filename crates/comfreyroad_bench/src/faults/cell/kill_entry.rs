use crate::Result;
use crate::faults::{Check, Stage};

/// The entry that is killed.
const ENTRY: &str = "entry-2";
/// Its number.
const NUMBER: u8 = 1;

pub(super) async fn run(mut stage: Stage) -> Result<Vec<Check>> {
    let load = stage
        .load(6)
        .with_flag("--bookings", "10")
        .with_flag("--lookups", "10")
        .with_flag("--drafts", "100");
    let fault = async |stage: &mut Stage| {
        stage.at(2.0).await;
        if let Some(entry) = stage.deployment.entries.get_mut(ENTRY) {
            entry.kill()?;
        }
        stage.at(4.0).await;
        stage.deployment.start_entry(NUMBER)
    };
    let trace = stage.under(load, fault).await?;
    let evidence = stage.evidence(trace).await?;
    let mut checks = evidence.usual();
    let is_cut = |code: &String| code == "stream_broken" || code == "no_answer";
    let cut = evidence.lines(|line| line.is_chat() && line.codes.iter().any(is_cut));
    let late = evidence
        .lines(|line| line.is_chat() && !line.is_on_time())
        .len();
    let figures = format!(
        "{} chats cut by the kill and asked again, {late} chats not on time",
        cut.len()
    );
    let is_served = !cut.is_empty() && late == 0;
    checks.push(Check::new(
        "callers are served elsewhere",
        is_served,
        figures,
    ));
    stage.deployment.stop().await?;
    Ok(checks)
}
