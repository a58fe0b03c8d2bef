use std::sync::Arc;
use std::time::SystemTime;

use super::{Line, Word, suggest, version};
use crate::request::Class;
use crate::rules::Fault;

/// Reads the fields of a line and collects their faults.
pub(super) struct Fields<'a> {
    line: &'a Line,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(line: &'a Line, faults: &'a mut Vec<Fault>) -> Self {
        Self { line, faults }
    }

    /// Adds a fault.
    pub(super) fn fault(&mut self, word: &Word, expected: impl Into<String>) {
        self.faults.push(word.fault(expected));
    }

    /// Reads the single name after the keyword.
    pub(super) fn name(&mut self, what: &str) -> Option<Arc<str>> {
        let word = self.name_word(&format!("the name of {what}"))?;
        self.identifier(word)
    }

    fn name_word(&mut self, what: &str) -> Option<&'a Word> {
        let line = self.line;
        if let Some(word) = line.names.get(1) {
            self.fault(word, "a field of the form `key=value`");
        }
        let Some(word) = line.names.first() else {
            self.fault(&line.end, what);
            return None;
        };
        Some(word)
    }

    /// Reads the single name after the keyword, in the form `model@version`. Returns the model and the full name.
    pub(super) fn version_name(&mut self) -> Option<(Arc<str>, Arc<str>)> {
        let word = self.name_word("a version of the form `model@version`")?;
        let (model, version) = version::split(self, word)?;
        let model = self.identifier(&model)?;
        self.identifier(&version)?;
        Some((model, word.text.as_str().into()))
    }

    /// Checks that no name follows the keyword.
    pub(super) fn no_name(&mut self) {
        let line = self.line;
        if let Some(word) = line.names.first() {
            self.fault(word, "a field of the form `key=value`");
        }
    }

    /// Checks that the line has no other fields than these, and each at most once.
    pub(super) fn allow_only(&mut self, known: &[&str]) {
        let line = self.line;
        for (index, (key, _)) in line.fields.iter().enumerate() {
            if !known.contains(&key.text.as_str()) {
                self.fault(key, suggest::expected(&key.text, known));
            } else if line.fields[..index]
                .iter()
                .any(|(other, _)| other.text == key.text)
            {
                self.fault(key, "each field at most once");
            }
        }
    }

    /// An optional field.
    pub(super) fn optional(&self, key: &str) -> Option<&'a Word> {
        self.line.field(key)
    }

    /// A required field. Adds a fault if it is missing.
    pub(super) fn required(&mut self, key: &str) -> Option<&'a Word> {
        let word = self.line.field(key);
        if word.is_none() {
            self.fault(&self.line.end, format!("`{key}=`"));
        }
        word
    }

    /// Parses an identifier.
    pub(super) fn identifier(&mut self, word: &Word) -> Option<Arc<str>> {
        let is_identifier_char = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
        if word.text.is_empty() || !word.text.chars().all(is_identifier_char) {
            self.fault(word, "a name of ASCII letters, digits, `-`, `_` and `.`");
            return None;
        }
        Some(word.text.as_str().into())
    }

    /// Reads a required field whose value is an identifier.
    pub(super) fn identifier_field(&mut self, key: &str) -> Option<Arc<str>> {
        let word = self.required(key)?;
        self.identifier(word)
    }

    /// Reads a required field whose value is a whole number.
    pub(super) fn number<N: std::str::FromStr>(&mut self, key: &str, what: &str) -> Option<N> {
        let word = self.required(key)?;
        self.parse_number(word, what)
    }

    /// Parses a whole number.
    pub(super) fn parse_number<N: std::str::FromStr>(
        &mut self,
        word: &Word,
        what: &str,
    ) -> Option<N> {
        let number = word.text.parse().ok();
        if number.is_none() {
            self.fault(word, what);
        }
        number
    }

    /// Parses a fraction. The check verifies later that it is in the range from 0 to 1.
    pub(super) fn fraction(&mut self, word: &Word) -> Option<f64> {
        let fraction = word.text.parse().ok().filter(|part: &f64| part.is_finite());
        if fraction.is_none() {
            self.fault(word, "a number from 0 to 1");
        }
        fraction
    }

    /// Reads a required field whose value is a date and time in UTC.
    pub(super) fn time(&mut self, key: &str) -> Option<SystemTime> {
        let word = self.required(key)?;
        let time = humantime::parse_rfc3339(&word.text).ok();
        if time.is_none() {
            self.fault(word, "a time such as 2031-12-31T00:00:00Z");
        }
        time
    }

    /// Parses one of several known words.
    pub(super) fn choice<T: Copy>(&mut self, word: &Word, known: &[(&str, T)]) -> Option<T> {
        let found = known.iter().find(|(text, _)| *text == word.text);
        if found.is_none() {
            let words: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
            self.fault(word, suggest::expected(&word.text, &words));
        }
        found.map(|(_, value)| *value)
    }

    /// Reads the required field `class`.
    pub(super) fn class(&mut self) -> Option<Class> {
        let word = self.required("class")?;
        self.choice(
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
