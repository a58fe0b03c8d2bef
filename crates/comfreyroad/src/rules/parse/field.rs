use std::sync::Arc;
use std::time::SystemTime;

use super::{Line, Word, suggest, version};
use crate::request::Class;
use crate::rules::Fault;

/// Reads a line's fields and notes what is wrong with them.
pub(super) struct Fields<'a> {
    line: &'a Line,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(line: &'a Line, faults: &'a mut Vec<Fault>) -> Self {
        Self { line, faults }
    }

    /// Notes a fault.
    pub(super) fn fault(&mut self, word: &Word, expected: impl Into<String>) {
        self.faults.push(word.fault(expected));
    }

    /// The one name after the keyword.
    pub(super) fn name(&mut self, what: &str) -> Option<Arc<str>> {
        let word = self.name_word(&format!("the name of {what}"))?;
        self.plain(word)
    }

    fn name_word(&mut self, what: &str) -> Option<&'a Word> {
        let line = self.line;
        if let Some(word) = line.names.get(1) {
            self.fault(word, "a field as `key=value`");
        }
        let Some(word) = line.names.first() else {
            self.fault(&line.end, what);
            return None;
        };
        Some(word)
    }

    /// The one name after the keyword, as `model@version`: the model and the whole.
    pub(super) fn version_name(&mut self) -> Option<(Arc<str>, Arc<str>)> {
        let word = self.name_word("a version as `model@version`")?;
        let (model, version) = version::split(self, word)?;
        let model = self.plain(&model)?;
        self.plain(&version)?;
        Some((model, word.text.as_str().into()))
    }

    /// Allows no name after the keyword.
    pub(super) fn unnamed(&mut self) {
        let line = self.line;
        if let Some(word) = line.names.first() {
            self.fault(word, "a field as `key=value`");
        }
    }

    /// Allows these fields only, and each once.
    pub(super) fn only(&mut self, known: &[&str]) {
        let line = self.line;
        for (index, (key, _)) in line.fields.iter().enumerate() {
            if !known.contains(&key.text.as_str()) {
                self.fault(key, suggest::among(&key.text, known));
            } else if line.fields[..index]
                .iter()
                .any(|(other, _)| other.text == key.text)
            {
                self.fault(key, "each field once");
            }
        }
    }

    /// A field that may be absent.
    pub(super) fn optional(&self, key: &str) -> Option<&'a Word> {
        self.line.field(key)
    }

    /// A field that has to be there.
    pub(super) fn required(&mut self, key: &str) -> Option<&'a Word> {
        let word = self.line.field(key);
        if word.is_none() {
            self.fault(&self.line.end, format!("`{key}=`"));
        }
        word
    }

    /// A name, as it may stand for a thing.
    pub(super) fn plain(&mut self, word: &Word) -> Option<Arc<str>> {
        let is_plain = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
        if word.text.is_empty() || !word.text.chars().all(is_plain) {
            self.fault(word, "a name of ASCII letters, digits, `-`, `_` and `.`");
            return None;
        }
        Some(word.text.as_str().into())
    }

    /// A required name.
    pub(super) fn plain_field(&mut self, key: &str) -> Option<Arc<str>> {
        let word = self.required(key)?;
        self.plain(word)
    }

    /// A required whole number.
    pub(super) fn number<N: std::str::FromStr>(&mut self, key: &str, what: &str) -> Option<N> {
        let word = self.required(key)?;
        self.number_of(word, what)
    }

    /// A whole number.
    pub(super) fn number_of<N: std::str::FromStr>(&mut self, word: &Word, what: &str) -> Option<N> {
        let number = word.text.parse().ok();
        if number.is_none() {
            self.fault(word, what);
        }
        number
    }

    /// A part of a whole, from 0 to 1; the range is for the check.
    pub(super) fn part_of(&mut self, word: &Word) -> Option<f64> {
        let part = word.text.parse().ok().filter(|part: &f64| part.is_finite());
        if part.is_none() {
            self.fault(word, "a number from 0 to 1");
        }
        part
    }

    /// A time of day in UTC.
    pub(super) fn time(&mut self, key: &str) -> Option<SystemTime> {
        let word = self.required(key)?;
        let time = humantime::parse_rfc3339(&word.text).ok();
        if time.is_none() {
            self.fault(word, "a time as 2031-12-31T00:00:00Z");
        }
        time
    }

    /// One of a few words.
    pub(super) fn one_of<T: Copy>(&mut self, word: &Word, known: &[(&str, T)]) -> Option<T> {
        let found = known.iter().find(|(text, _)| *text == word.text);
        if found.is_none() {
            let words: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
            self.fault(word, suggest::among(&word.text, &words));
        }
        found.map(|(_, value)| *value)
    }

    /// How urgent requests are.
    pub(super) fn class(&mut self) -> Option<Class> {
        let word = self.required("class")?;
        self.one_of(
            word,
            &[
                ("draft", Class::Draft),
                ("interactive", Class::Interactive),
                ("lookup", Class::Lookup),
                ("payment", Class::Payment),
            ],
        )
    }
}
