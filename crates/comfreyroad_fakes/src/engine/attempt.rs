use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;

use super::{Chunk, Decode, Interruption, Prefill, Run, Service, Usage};
use crate::call::Call;
use crate::chat::{Chat, Message};
use crate::reply::{self, Parts, Reply};
use crate::{AttemptId, Error, Result};

/// Factor by which an engine with the role `prefill` is slower at decoding, and one with the role `decode` at prefill.
pub(super) const ROLE_MISMATCH_FACTOR: u32 = 3;

/// One attempt of a chat request on this engine, from its admission to its end.
pub(super) struct Attempt {
    engine: Rc<Service>,
    pub(super) id: AttemptId,
    pub(super) chat: Chat,
    offset: u32,
    usage: Usage,
    running: Cell<bool>,
}

impl Attempt {
    pub(super) fn new(engine: Rc<Service>, call: &Call, chat: Chat) -> Self {
        Self {
            engine,
            id: call.header("x-attempt-id").to_owned(),
            offset: call.header("x-resume-offset").parse().unwrap_or_default(),
            usage: Usage {
                completion_tokens: chat.max_tokens,
                ..Usage::default()
            },
            chat,
            running: Cell::new(false),
        }
    }

    /// Looks up the prompt in the prefix cache and returns the prefill time of the tokens that are not cached.
    pub(super) fn look_up(mut self) -> (Self, Duration) {
        self.running.set(true);
        let prefixes = self.chat.prefixes();
        let total = prefixes.last().map_or(0, |prefix| prefix.tokens);
        let (cached, token_time) = self.engine.look_up(&prefixes);
        self.usage.prompt_tokens = total;
        self.usage.cached_tokens = cached;
        // A resumed answer skips its first tokens; they are prefilled like prompt tokens.
        let prefill = token_time * (total - cached + self.offset);
        (self, prefill)
    }

    pub(super) async fn stream(self, run: Run<Prefill>, mut parts: Parts) {
        match self.send_tokens(run, &mut parts).await {
            Ok(()) => {}
            Err(interruption) => {
                self.record_interruption(interruption);
                let error = Error::Dropped {
                    peer: self.id.clone(),
                };
                send(&mut parts, Err(error)).await.ok();
            }
        }
    }

    async fn send_tokens(&self, run: Run<Prefill>, parts: &mut Parts) -> Result<(), Interruption> {
        let mut run = run.prefill(self.offset).await?;
        while let Some((offset, content)) = run.token().await? {
            self.engine.count_token(&self.chat.model);
            send(parts, Ok(self.chunk(offset, content, None).event())).await?;
        }
        let last = self.chunk(self.chat.max_tokens, String::new(), Some(self.usage));
        send(parts, Ok(last.event())).await?;
        self.finish(&run);
        send(parts, Ok(Chunk::done())).await
    }

    pub(super) async fn whole(self, run: Run<Prefill>, peer: &str) -> Result<Reply> {
        let content = match self.collect(run).await {
            Ok(content) => content,
            Err(interruption) => {
                self.record_interruption(interruption);
                return Err(Error::Dropped {
                    peer: peer.to_owned(),
                });
            }
        };
        let message = json!({ "role": "assistant", "content": content });
        let body = json!({
            "id": self.id, "model": self.chat.model, "usage": self.usage,
            "choices": [{ "index": 0, "message": message, "finish_reason": "stop" }],
        });
        Ok(reply::json(StatusCode::OK, &body))
    }

    async fn collect(&self, run: Run<Prefill>) -> Result<String, Interruption> {
        let mut run = run.prefill(self.offset).await?;
        while run.token().await?.is_some() {
            self.engine.count_token(&self.chat.model);
        }
        self.finish(&run);
        Ok(run.answer().text(self.offset))
    }

    fn chunk(&self, offset: u32, content: String, usage: Option<Usage>) -> Chunk {
        Chunk {
            id: self.id.clone(),
            model: self.chat.model.clone(),
            offset,
            content,
            usage,
        }
    }

    /// Caches the conversation with this answer, since the next turn begins with both.
    fn finish(&self, run: &Run<Decode>) {
        self.running.set(false);
        let mut chat = self.chat.clone();
        chat.messages
            .push(Message::new("assistant", run.answer().text(0)));
        self.engine.record_finished(&chat.prefixes());
    }

    fn record_interruption(&self, interruption: Interruption) {
        self.running.set(false);
        self.engine.record_interruption(interruption);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        // The caller disconnected before the answer was complete.
        if self.running.get() {
            self.engine.record_interruption(Interruption::Cancelled);
        }
        self.engine.remove_attempt(&self.id);
    }
}

/// Sends a part once the channel has room; a closed channel counts as a cancellation.
async fn send(parts: &mut Parts, part: Result<Bytes>) -> Result<(), Interruption> {
    let ready = poll_fn(|cx| parts.poll_ready(cx)).await;
    ready
        .and_then(|()| parts.start_send(part))
        .map_err(|_| Interruption::Cancelled)
}
