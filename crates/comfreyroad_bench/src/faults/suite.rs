use super::{Cell, Outcome};
use crate::Result;
use crate::binaries::Binaries;

/// Fault cells, run one after the other.
#[derive(Clone, Debug)]
pub struct Suite {
    /// The cells to run.
    pub cells: Vec<Cell>,
    /// Seed of the load and the fake services.
    pub seed: u64,
}

impl Default for Suite {
    fn default() -> Self {
        Self {
            cells: Cell::ALL.to_vec(),
            seed: 1,
        }
    }
}

impl Suite {
    /// Runs the cells and prints the outcome of each on one line.
    pub async fn run(&self, binaries: &Binaries) -> Result<Vec<Outcome>> {
        let mut outcomes = Vec::with_capacity(self.cells.len());
        for cell in &self.cells {
            let outcome = cell.run(self.seed, binaries).await?;
            println!("{outcome}");
            outcomes.push(outcome);
        }
        Ok(outcomes)
    }
}
