use serde::Deserialize;

/// Incremental parser of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct Events {
    buffer: Vec<u8>,
    text: String,
    tokens: u32,
    done: bool,
    out_of_order: bool,
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
    /// Parses the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.parse_event(&String::from_utf8_lossy(&event));
        }
    }

    fn parse_event(&mut self, event: &str) {
        let Some(data) = event.trim().strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            self.out_of_order = true;
            return;
        };
        let Some(choice) = chunk
            .choices
            .first()
            .filter(|choice| !choice.delta.content.is_empty())
        else {
            return;
        };
        // A token after the end marker, a duplicate or a gap.
        self.out_of_order |= self.done || chunk.offset.is_some_and(|offset| offset != self.tokens);
        // A chunk may contain several tokens; each ends with a space.
        self.tokens += choice.delta.content.matches(' ').count() as u32;
        self.text.push_str(&choice.delta.content);
    }

    /// Whether a token has arrived.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens > 0
    }

    /// Whether the end marker has arrived.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The text, if every token arrived exactly once and in order.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        (!self.out_of_order).then_some(&self.text)
    }
}
