//! Compares readers of the rules with a reference reader that sees every record: at each log prefix that a reader
//! reports as known, both agree, whichever records were skipped, expired, received from peers or read from checkpoints.

#[macro_use]
mod seeded;

use std::sync::Arc;
use std::time::SystemTime;

use comfreyroad::id::{Generation, Offset};
use comfreyroad::record::Record;
use comfreyroad::rules::History;
use quickcheck::TestResult;

/// Number of readers under test.
const READERS: usize = 3;

/// The generation, the text of the rules in force, and the versions on hold.
type State = (Generation, Option<Arc<str>>, Vec<Arc<str>>);

fn state(history: &History) -> State {
    let mut held: Vec<Arc<str>> = history.held().iter().cloned().collect();
    held.sort();
    let text = history.in_force().map(|rules| rules.text.clone());
    (history.generation(), text, held)
}

/// The log, its readers, and the expected state at each offset.
#[derive(Default)]
struct Simulation {
    log: Vec<Record>,
    oldest: usize,
    reference: History,
    expected: Vec<State>,
    readers: [History; READERS],
    newest: [Generation; READERS],
}

impl Simulation {
    fn append(&mut self, record: Record) {
        if self.expected.is_empty() {
            self.expected.push(state(&self.reference));
        }
        let offset = self.log.len() as Offset;
        self.reference.feed(offset, SystemTime::UNIX_EPOCH, &record);
        self.expected.push(state(&self.reference));
        self.log.push(record);
    }

    fn publish(&mut self, choice: u8) {
        // Some publishes follow a generation that is not in force; in others, the record and its text name different
        // generations.
        let generation = self.reference.generation();
        let after = match choice % 8 {
            0 => generation + 1,
            1 => generation.saturating_sub(1),
            _ => generation,
        };
        let after_in_text = if choice.is_multiple_of(11) {
            after + 1
        } else {
            after
        };
        let zone = self.log.len();
        let text = format!(
            "format 1 after {after_in_text} # asked by ada\nzone z{zone} state=in # asked by ada\n"
        );
        let by = "ada".into();
        self.append(Record::Publish {
            by,
            after,
            text: text.into(),
        });
    }

    fn hold(&mut self, choice: u8) {
        let generation = self.reference.generation();
        self.append(Record::Hold {
            version: format!("mona@{}", choice % 3).into(),
            generation: generation.saturating_sub(Generation::from(choice % 4 == 3)),
            reason: "bad answers".into(),
        });
    }

    /// A reader appends a checkpoint of its state, which may be out of date.
    fn checkpoint(&mut self, reader: usize) {
        let snapshot = self.readers[reader].snapshot();
        if let Some(record) = snapshot.and_then(|snapshot| snapshot.to_record()) {
            self.append(record);
        }
    }

    /// A reader reads a page of at most `count` records.
    fn read(&mut self, reader: usize, count: usize) {
        let history = &mut self.readers[reader];
        history.expire(self.oldest as Offset);
        let from = history.next() as usize;
        for offset in (from..self.log.len()).take(count) {
            history.feed(offset as Offset, SystemTime::UNIX_EPOCH, &self.log[offset]);
        }
    }

    /// One reader sends a snapshot of its state to another.
    fn send_snapshot(&mut self, from: usize, to: usize) {
        if let Some(snapshot) = self.readers[from].snapshot() {
            self.readers[to].apply_snapshot(snapshot);
        }
    }

    fn step(&mut self, step: u8, choice: u8) {
        let reader = usize::from(choice) % READERS;
        match step % 10 {
            0..=2 => self.publish(choice),
            3 => self.hold(choice),
            4 => self.checkpoint(reader),
            5 | 6 => self.read(reader, 1 + usize::from(choice / 8)),
            7 => self.send_snapshot(reader, usize::from(choice / 8) % READERS),
            8 => self.oldest = (self.oldest + usize::from(choice % 5)).min(self.log.len()),
            _ => (self.readers[reader], self.newest[reader]) = Default::default(),
        }
    }

    /// Checks that the state of each reader that knows the rules is correct, and that its generation does not decrease.
    fn check(&mut self) -> Result<(), String> {
        for (index, reader) in self.readers.iter().enumerate() {
            if !reader.is_known() {
                continue;
            }
            let next = reader.next() as usize;
            let default = State::default();
            let expected = self.expected.get(next).unwrap_or(&default);
            if *expected != state(reader) {
                return Err(format!(
                    "reader {index} at offset {next}: {:?}, expected {expected:?}",
                    state(reader)
                ));
            }
            if reader.generation() < self.newest[index] {
                return Err(format!(
                    "the generation of reader {index} decreased to {}",
                    reader.generation()
                ));
            }
            self.newest[index] = reader.generation();
        }
        Ok(())
    }
}

seeded! {
    fn every_reader_that_knows_the_rules_is_correct(steps: Vec<(u8, u8)>) -> TestResult {
        let mut simulation = Simulation::default();
        for (step, choice) in steps {
            simulation.step(step, choice);
            if let Err(evidence) = simulation.check() {
                return TestResult::error(evidence);
            }
        }
        TestResult::passed()
    }

    fn every_reader_catches_up_from_a_checkpoint(steps: Vec<(u8, u8)>) -> bool {
        let mut simulation = Simulation::default();
        simulation.publish(7);
        for (step, choice) in steps {
            simulation.step(step, choice);
        }
        // An up-to-date reader appends a checkpoint, and all records before it expire.
        simulation.readers[0] = simulation.reference.clone();
        let oldest = simulation.log.len();
        simulation.checkpoint(0);
        simulation.hold(0);
        simulation.publish(7);
        simulation.oldest = oldest;
        simulation.readers[1] = History::default();
        (0..READERS).for_each(|reader| simulation.read(reader, usize::MAX));
        simulation.readers.iter().all(|reader| reader.is_known() && state(reader) == state(&simulation.reference))
    }
}
