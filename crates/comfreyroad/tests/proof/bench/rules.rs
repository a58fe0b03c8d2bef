use std::fmt::Write;

use indexmap::IndexSet;

use comfreyroad::rules::Verdict;

use super::{Bench, ZONES};

/// The configuration that operators want, to be rendered as rules.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// Zones that take no requests.
    pub(crate) zones_out: IndexSet<&'static str>,
    /// Whether `mona@1` is withdrawn.
    pub(crate) is_withdrawn: bool,
    /// Whether customer `author` may no longer use `mona`.
    pub(crate) is_narrowed: bool,
}

impl Plan {
    fn text(&self, after: u64) -> String {
        let mut text = format!("format 1 after {after} # asked by mona\n");
        let mut line = |rule: String| writeln!(text, "{rule} # asked by mona").unwrap_or_default();
        for zone in ZONES {
            let state = if self.zones_out.contains(zone) {
                "out"
            } else {
                "in"
            };
            line(format!("zone {zone} state={state}"));
        }
        let (one, two, state) = match self.is_withdrawn {
            true => (0, 100, "withdrawn"),
            false => (60, 40, "active"),
        };
        let allowed = if self.is_narrowed {
            "lisa@1"
        } else {
            "mona@*,lisa@1"
        };
        let rules = [
            "firm inkwell".into(),
            "firm tahtiaskel".into(),
            "pool drafting kind=engine bears=8 cold=2".into(),
            "pool orders kind=service bears=8 cold=2".into(),
            format!("version mona@1 pool=drafting cost=100 share={one} state={state}"),
            format!("version mona@2 pool=drafting cost=200 share={two}"),
            "version lisa@1 pool=drafting cost=900 share=100".into(),
            "route draft models=mona,lisa class=draft quality=0.9".into(),
            "route plan models=mona,lisa class=draft quality=0.9".into(),
            "service bookings pool=orders path=/bookings class=payment".into(),
            "service lookups pool=orders path=/orders class=lookup".into(),
            format!(
                "customer author firm=inkwell key={} allow={allowed}",
                "01".repeat(32)
            ),
            format!(
                "customer band firm=tahtiaskel key={} allow=mona@2,lisa@1",
                "02".repeat(32)
            ),
        ];
        rules.into_iter().for_each(&mut line);
        text
    }
}

impl Bench {
    /// Changes the plan and publishes it based on the newest generation; returns `None` during a log outage.
    pub(crate) fn edit(&mut self, by: &str, change: impl FnOnce(&mut Plan)) -> Option<Verdict> {
        self.edit_after(self.log.generation(), by, change)
    }

    /// Changes the plan and publishes it based on a generation that may be outdated.
    pub(crate) fn edit_after(
        &mut self,
        after: u64,
        by: &str,
        change: impl FnOnce(&mut Plan),
    ) -> Option<Verdict> {
        let mut plan = self.plan.clone();
        change(&mut plan);
        let (_, verdict) = self.publish(by, after, &plan.text(after))?;
        if matches!(verdict, Verdict::Accepted { .. }) {
            self.plan = plan;
        }
        Some(verdict)
    }
}
