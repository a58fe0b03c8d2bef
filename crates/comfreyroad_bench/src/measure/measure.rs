use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::future::try_join_all;

use super::{Contender, Overhead, Plot, Run, Samples, Table, Timeline};
use crate::binaries::Binaries;
use crate::firm::Firm;
use crate::{Error, Result, folder};

/// Measures all contenders with several seeds.
#[derive(Clone, Debug)]
pub struct Measure {
    /// The firms to measure.
    pub firms: Vec<Firm>,
    /// The first seed.
    pub seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// How long requests arrive in each run.
    pub duration: Duration,
    /// Output folder for tables and plots.
    pub out: PathBuf,
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            firms: vec![Firm::inkwell(), Firm::tahtiaskel()],
            seed: 1,
            seeds: 5,
            duration: Duration::from_secs(34),
            out: "target/measure".into(),
        }
    }
}

impl Measure {
    /// Measures, writes a table and a plot for each firm and returns their paths.
    pub async fn run(&self, binaries: &Binaries) -> Result<Vec<PathBuf>> {
        let out = &self.out;
        std::fs::create_dir_all(out).map_err(|source| Error::File {
            step: "create folder",
            path: out.clone(),
            source,
        })?;
        let mut written = Vec::new();
        for firm in &self.firms {
            written.extend(self.firm(firm, binaries).await?);
        }
        Ok(written)
    }

    async fn firm(&self, firm: &Firm, binaries: &Binaries) -> Result<[PathBuf; 2]> {
        let overhead = Overhead::measure(firm, self.seed, binaries).await?;
        let mut samples = Samples::default();
        for seed in self.seed..self.seed.saturating_add(self.seeds) {
            let runs = Contender::ALL.map(|contender| async move {
                let duration = self.duration;
                let run = Run {
                    firm,
                    contender,
                    seed,
                    duration,
                };
                run.run(binaries).await.map(|sample| (contender, sample))
            });
            // Runs all contenders concurrently, so that other load on the machine affects all of them.
            for (contender, sample) in try_join_all(runs).await? {
                eprintln!(
                    "{} seed {seed} {}: {} requests, {:.1}% on time",
                    firm.name,
                    contender.name(),
                    sample.requests,
                    sample.on_time_percent
                );
                samples.entry(contender).or_default().push(sample);
            }
        }
        let table = Table {
            firm,
            samples: &samples,
            overhead: &overhead,
            setting: self.setting(firm),
        };
        let page = self.out.join(format!("{}.md", firm.name));
        folder::write(&page, &table.markdown())?;
        let picture = self.out.join(format!("{}.svg", firm.name));
        self.draw(&picture, firm, &samples)?;
        Ok([page, picture])
    }

    fn draw(&self, path: &Path, firm: &Firm, samples: &Samples) -> Result<()> {
        let timeline = Timeline::new(std::time::Instant::now(), self.duration);
        Plot::new(firm.name, samples, timeline).draw(path)
    }

    fn setting(&self, firm: &Firm) -> String {
        format!(
            "{} seeds from {}, runs of {} s; all contenders run side by side with the same load on one machine, which others \
             use too. The load begins once a new fleet has divided the cold upstreams ({} s). One-way delays stand before all stand-ins (the zones' distance, also within a zone) and before callers \
             (3 ms), none between entries. Tokens come four times as fast as in production.",
            self.seeds,
            self.seed,
            self.duration.as_secs(),
            firm.plan(self.seed).settling_time().as_secs()
        )
    }
}
