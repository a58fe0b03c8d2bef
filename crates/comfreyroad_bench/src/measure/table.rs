use std::fmt::Write;

use indexmap::IndexMap;

use super::{Contender, Metric, Overhead, Sample, Series};
use crate::firm::Firm;

/// Samples of each contender, in the order of the seeds.
pub type Samples = IndexMap<Contender, Vec<Sample>>;

/// Renders the results of one firm as tables.
pub struct Table<'a> {
    /// The measured firm.
    pub firm: &'a Firm,
    /// The samples of all runs.
    pub samples: &'a Samples,
    /// The overhead of the router itself.
    pub overhead: &'a Overhead,
    /// Description of the conditions of the runs.
    pub setting: String,
}

impl Table<'_> {
    /// The page as Markdown.
    #[must_use]
    pub fn markdown(&self) -> String {
        let mut page = format!("# {}: measures beside simple routers\n\n", self.firm.name);
        page += &self.losses();
        let _ = writeln!(page, "\n{}\n", self.setting);
        page += "Each cell: the median over the seeds (least to greatest). The routers to compare with keep no sessions, make no \
                 claims, bill nothing and hold no version back.\n\n";
        page += &self.values();
        page += "\nRatios of comfreyroad to each router, seed by seed; below 1 is better where less is better, and `-` stands \
                 where the router has 0.\n\n";
        page += &self.ratios();
        let _ = writeln!(page, "\n{}", self.overhead.markdown());
        page
    }

    /// The metrics in which comfreyroad is worse than a baseline router, by the medians.
    fn losses(&self) -> String {
        let mut losses = String::new();
        for metric in Metric::ALL {
            let Some(less_is_better) = metric.less_is_better else {
                continue;
            };
            let own = self.series(Contender::Comfreyroad, metric).median();
            let better = self.baselines().filter_map(|contender| {
                let other = self.series(contender, metric).median();
                let is_worse = if less_is_better {
                    own > other
                } else {
                    own < other
                };
                is_worse.then(|| format!("{} {other:.2}", contender.name()))
            });
            let better: Vec<_> = better.collect();
            if !better.is_empty() {
                let _ = writeln!(
                    losses,
                    "- {}: {own:.2} against {}",
                    metric.name,
                    better.join(", ")
                );
            }
        }
        if losses.is_empty() {
            return "Nothing loses to a router compared with, by the medians.\n".to_owned();
        }
        format!("Loses to a router compared with, by the medians:\n\n{losses}")
    }

    fn values(&self) -> String {
        let names: Vec<_> = self
            .samples
            .keys()
            .map(|contender| contender.name())
            .collect();
        let mut table = head("measure", &names);
        for metric in Metric::ALL {
            let cells = self.samples.keys();
            let cells: Vec<_> = cells
                .map(|contender| self.series(*contender, metric).summary())
                .collect();
            table += &row(metric.name, &cells);
        }
        table
    }

    fn ratios(&self) -> String {
        let names: Vec<_> = self.baselines().map(Contender::name).collect();
        let mut table = head("measure", &names);
        for metric in Metric::ALL
            .iter()
            .filter(|metric| metric.less_is_better.is_some())
        {
            let own = self.series(Contender::Comfreyroad, metric);
            let cells = self.baselines();
            let cells: Vec<_> = cells
                .map(|contender| own.ratio(&self.series(contender, metric)).summary())
                .collect();
            table += &row(metric.name, &cells);
        }
        table
    }

    fn baselines(&self) -> impl Iterator<Item = Contender> {
        let all = self.samples.keys().copied();
        all.filter(|contender| *contender != Contender::Comfreyroad)
    }

    fn series(&self, contender: Contender, metric: &Metric) -> Series {
        let samples = self.samples.get(&contender).into_iter().flatten();
        Series::new(samples.map(metric.value).collect())
    }
}

fn head(first: &str, names: &[&str]) -> String {
    format!(
        "| {first} | {} |\n|---|{}\n",
        names.join(" | "),
        "---|".repeat(names.len())
    )
}

fn row(first: &str, cells: &[String]) -> String {
    format!("| {first} | {} |\n", cells.join(" | "))
}
