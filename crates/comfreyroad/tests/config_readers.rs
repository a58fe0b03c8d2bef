//! Readers of the rules against a naive one that sees every record: at each prefix of the log that a reader says it
//! knows, both agree, whatever was missed, expired, told by peers or read from checkpoints.

#[macro_use]
mod seeded;

use std::sync::Arc;
use std::time::SystemTime;

use comfreyroad::id::{Generation, Offset};
use comfreyroad::record::Record;
use comfreyroad::rules::History;
use quickcheck::TestResult;

/// Readers that are compared.
const READERS: usize = 3;

/// What is in force at one moment.
type State = (Generation, Option<Arc<str>>, Vec<Arc<str>>);

fn state(history: &History) -> State {
    let mut held: Vec<Arc<str>> = history.held().iter().cloned().collect();
    held.sort();
    let text = history.in_force().map(|rules| rules.text.clone());
    (history.generation(), text, held)
}

/// The log, those who read it, and what is in force at each offset.
#[derive(Default)]
struct World {
    log: Vec<Record>,
    oldest: usize,
    naive: History,
    truth: Vec<State>,
    readers: [History; READERS],
    newest: [Generation; READERS],
}

impl World {
    fn append(&mut self, record: Record) {
        if self.truth.is_empty() {
            self.truth.push(state(&self.naive));
        }
        let offset = self.log.len() as Offset;
        self.naive.feed(offset, SystemTime::UNIX_EPOCH, &record);
        self.truth.push(state(&self.naive));
        self.log.push(record);
    }

    fn publish(&mut self, choice: u8) {
        // Some follow a generation that is not in force, some say another one than their text does.
        let generation = self.naive.generation();
        let after = match choice % 8 {
            0 => generation + 1,
            1 => generation.saturating_sub(1),
            _ => generation,
        };
        let told = if choice.is_multiple_of(11) {
            after + 1
        } else {
            after
        };
        let zone = self.log.len();
        let text =
            format!("format 1 after {told} # asked by ada\nzone z{zone} state=in # asked by ada\n");
        let by = "ada".into();
        self.append(Record::Publish {
            by,
            after,
            text: text.into(),
        });
    }

    fn hold(&mut self, choice: u8) {
        let generation = self.naive.generation();
        self.append(Record::Hold {
            version: format!("mona@{}", choice % 3).into(),
            generation: generation.saturating_sub(Generation::from(choice % 4 == 3)),
            reason: "bad answers".into(),
        });
    }

    /// A reader writes what it knows, which may be old.
    fn checkpoint(&mut self, reader: usize) {
        let snapshot = self.readers[reader].snapshot();
        if let Some(record) = snapshot.and_then(|snapshot| snapshot.to_record()) {
            self.append(record);
        }
    }

    /// A reader takes a page of some records.
    fn read(&mut self, reader: usize, count: usize) {
        let history = &mut self.readers[reader];
        history.expire(self.oldest as Offset);
        let from = history.next() as usize;
        for offset in (from..self.log.len()).take(count) {
            history.feed(offset as Offset, SystemTime::UNIX_EPOCH, &self.log[offset]);
        }
    }

    /// One reader tells another what it knows.
    fn tell(&mut self, from: usize, to: usize) {
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
            7 => self.tell(reader, usize::from(choice / 8) % READERS),
            8 => self.oldest = (self.oldest + usize::from(choice % 5)).min(self.log.len()),
            _ => (self.readers[reader], self.newest[reader]) = Default::default(),
        }
    }

    /// Whether each reader that knows what is in force is right, and none went back.
    fn holds(&mut self) -> Result<(), String> {
        for (index, reader) in self.readers.iter().enumerate() {
            if !reader.is_known() {
                continue;
            }
            let next = reader.next() as usize;
            let default = State::default();
            let truth = self.truth.get(next).unwrap_or(&default);
            if *truth != state(reader) {
                return Err(format!(
                    "reader {index} at {next}: {:?}, not {truth:?}",
                    state(reader)
                ));
            }
            if reader.generation() < self.newest[index] {
                return Err(format!(
                    "reader {index} went back to {}",
                    reader.generation()
                ));
            }
            self.newest[index] = reader.generation();
        }
        Ok(())
    }
}

seeded! {
    fn every_reader_that_knows_is_right(steps: Vec<(u8, u8)>) -> TestResult {
        let mut world = World::default();
        for (step, choice) in steps {
            world.step(step, choice);
            if let Err(evidence) = world.holds() {
                return TestResult::error(evidence);
            }
        }
        TestResult::passed()
    }

    fn a_checkpoint_lets_every_reader_know(steps: Vec<(u8, u8)>) -> bool {
        let mut world = World::default();
        world.publish(7);
        for (step, choice) in steps {
            world.step(step, choice);
        }
        // Someone who knows everything writes, and only what stands from there on is left.
        world.readers[0] = world.naive.clone();
        let oldest = world.log.len();
        world.checkpoint(0);
        world.hold(0);
        world.publish(7);
        world.oldest = oldest;
        world.readers[1] = History::default();
        (0..READERS).for_each(|reader| world.read(reader, usize::MAX));
        world.readers.iter().all(|reader| reader.is_known() && state(reader) == state(&world.naive))
    }
}
