//! A stand-in with an HTTP client for it, on one event loop.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use comfreyroad_fakes::server::{Fake, Server};
use http::Method;
use serde_json::Value;

/// Runs a test on its own event loop.
pub(crate) fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// A listening stand-in with an HTTP client for it.
pub(crate) struct Client {
    pub(crate) server: Server,
    client: cyper::Client,
}

/// A completely read answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) text: String,
}

impl Client {
    pub(crate) fn start(fake: impl Fake + 'static) -> Self {
        let server = Server::start("127.0.0.1:0", Rc::new(fake), Duration::ZERO).unwrap();
        Self {
            server,
            client: cyper::Client::builder().no_proxy().build().unwrap(),
        }
    }

    pub(crate) fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Sends a request; returns `None` when the connection broke off.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Option<Answer> {
        let url = format!("http://{}{path}", self.server.address);
        let mut request = self
            .client
            .request(method, url)
            .unwrap()
            .json(body)
            .unwrap();
        for (name, value) in headers {
            request = request.header(*name, *value).unwrap();
        }
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some(Answer {
            status,
            text: response.text().await.ok()?,
        })
    }

    pub(crate) async fn get(&self, path: &str) -> Value {
        self.send(Method::GET, path, &[], &Value::Null)
            .await
            .unwrap()
            .json()
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> Answer {
        self.send(Method::POST, path, &[], &body).await.unwrap()
    }

    /// Sends a `POST` request; returns `None` when the connection broke off.
    pub(crate) async fn try_post(&self, path: &str, body: Value) -> Option<Answer> {
        self.send(Method::POST, path, &[], &body).await
    }
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}
