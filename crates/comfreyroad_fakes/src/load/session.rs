use crate::VersionId;
use crate::chat::Message;

/// A conversation of several turns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Session {
    /// Model requested in each turn.
    pub model: String,
    /// Session token from the latest answer that carried one.
    pub token: Option<String>,
    /// Version that gave the first whole answer.
    pub version: Option<VersionId>,
    /// All messages so far.
    pub messages: Vec<Message>,
    /// Number of remaining turns.
    pub turns: u32,
}

impl Session {
    /// Creates a conversation of `turns` turns with a model.
    #[must_use]
    pub fn new(model: &str, messages: Vec<Message>, turns: u32) -> Self {
        Self {
            model: model.to_owned(),
            messages,
            turns,
            ..Self::default()
        }
    }

    /// Records the version of an answer; returns true when it differs from that of the first answer.
    pub fn record_version(&mut self, version: &str) -> bool {
        if version.is_empty() {
            return false;
        }
        match &self.version {
            Some(first) => first != version,
            None => {
                self.version = Some(version.to_owned());
                false
            }
        }
    }
}
