use super::Word;
use crate::rules::Fault;

/// Prefix of the comment that each rule must have.
const ASKED_BY: &str = "asked by ";

/// The line of a rule, split into words.
#[derive(Clone, Debug)]
pub(in crate::rules) struct Line {
    pub(in crate::rules) keyword: Word,
    /// Words without `=`, after the keyword.
    pub(in crate::rules) names: Vec<Word>,
    /// Key and value of each word with `=`.
    pub(in crate::rules) fields: Vec<(Word, Word)>,
    /// An empty word at the position after the last word.
    pub(in crate::rules) end: Word,
}

impl Line {
    /// Splits a line into words. Returns `None` if the line has no rule. A line without its comment is split as well,
    /// so that its other faults are found.
    pub(super) fn split(number: usize, text: &str, faults: &mut Vec<Fault>) -> Option<Self> {
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule, Some(comment)),
            None => (text, None),
        };
        let mut words = words(number, rule).into_iter();
        let keyword = words.next()?;
        let (mut names, mut fields) = (Vec::new(), Vec::new());
        for word in words {
            match word.pair() {
                Some(pair) => fields.push(pair),
                None => names.push(word),
            }
        }
        faults.extend(comment_fault(number, rule, comment));
        let column = rule.trim_end().chars().count() + 1;
        Some(Self {
            keyword,
            names,
            fields,
            end: Word::new(number, column, ""),
        })
    }

    /// The name declared by the line, or the keyword if there is no name.
    pub(in crate::rules) fn name(&self) -> &Word {
        self.names.first().unwrap_or(&self.keyword)
    }

    /// The value of a field.
    pub(in crate::rules) fn field(&self, key: &str) -> Option<&Word> {
        let (_, value) = self.fields.iter().find(|(word, _)| word.text == key)?;
        Some(value)
    }

    /// The word at which a fault of a field is reported: its value, or the name of the line if the field is missing.
    pub(in crate::rules) fn word_or_name(&self, key: &str) -> &Word {
        self.field(key).unwrap_or_else(|| self.name())
    }
}

fn words(number: usize, rule: &str) -> Vec<Word> {
    let mut words: Vec<Word> = Vec::new();
    let mut is_inside = false;
    for (index, char) in rule.chars().enumerate() {
        if char.is_whitespace() {
            is_inside = false;
            continue;
        }
        match words.last_mut() {
            Some(word) if is_inside => word.text.push(char),
            _ => words.push(Word::new(number, index + 1, char)),
        }
        is_inside = true;
    }
    words
}

fn comment_fault(number: usize, rule: &str, comment: Option<&str>) -> Option<Fault> {
    let column = rule.chars().count() + 1;
    let expected = "`# asked by WHO` or `# asked by WHO: why`";
    let Some(comment) = comment else {
        let column = rule.trim_end().chars().count() + 1;
        return Some(Word::new(number, column, "").fault(expected));
    };
    let who = comment.trim().strip_prefix(ASKED_BY).unwrap_or_default();
    let who = who.split(':').next().unwrap_or_default().trim();
    if who.is_empty() {
        return Some(Word::new(number, column, format!("#{comment}")).fault(expected));
    }
    None
}
