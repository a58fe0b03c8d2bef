use crate::VersionId;
use crate::chat::Message;

/// A conversation of several turns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Session {
    /// Model asked in each of its turns.
    pub model: String,
    /// Token that the first answer brought.
    pub token: Option<String>,
    /// Version of the first answer.
    pub version: Option<VersionId>,
    /// All messages so far.
    pub messages: Vec<Message>,
    /// Turns still to come.
    pub turns: u32,
}

impl Session {
    /// A new conversation of so many turns with a model.
    #[must_use]
    pub fn new(model: &str, messages: Vec<Message>, turns: u32) -> Self {
        Self {
            model: model.to_owned(),
            messages,
            turns,
            ..Self::default()
        }
    }

    /// Notes the version of an answer; true when the session had another one.
    pub fn moved_to(&mut self, version: &str) -> bool {
        if version.is_empty() {
            return false;
        }
        match &self.version {
            Some(kept) => kept != version,
            None => {
                self.version = Some(version.to_owned());
                false
            }
        }
    }
}
