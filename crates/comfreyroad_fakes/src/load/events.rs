use serde::Deserialize;

/// Reader of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    text: String,
    tokens: u32,
    done: bool,
    disorder: bool,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    offset: Option<u32>,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

impl Events {
    /// Takes the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.event(&String::from_utf8_lossy(&event));
        }
    }

    fn event(&mut self, event: &str) {
        let Some(data) = event.trim().strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            self.disorder = true;
            return;
        };
        let Some(choice) = chunk
            .choices
            .first()
            .filter(|choice| !choice.delta.content.is_empty())
        else {
            return;
        };
        // A token that comes after the end, twice, or too early.
        self.disorder |= self.done || chunk.offset.is_some_and(|offset| offset != self.tokens);
        // A chunk may carry several tokens; each ends with a space.
        self.tokens += choice.delta.content.matches(' ').count() as u32;
        self.text.push_str(&choice.delta.content);
    }

    /// Whether a token has come yet.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens > 0
    }

    /// Whether the stream's last line has come.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The text, if every token came once and in its place.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        (!self.disorder).then_some(&self.text)
    }
}
