use super::{Cell, Outcome};
use crate::Result;
use crate::binaries::Binaries;

/// Cells to run, one after the other.
#[derive(Clone, Debug)]
pub struct Suite {
    /// The cells.
    pub cells: Vec<Cell>,
    /// Seed of the load and the stand-ins.
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
    /// Runs the cells and prints a line for each.
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
