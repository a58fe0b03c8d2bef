//! A stand-in and a client of it, on one loop.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use comfreyroad_fakes::server::{Fake, Server};
use http::Method;
use serde_json::Value;

/// Runs a test on a loop of its own.
pub(crate) fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// A stand-in that listens, with a client of it.
pub(crate) struct Client {
    pub(crate) server: Server,
    client: cyper::Client,
}

/// An answer read to its end.
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

    /// Nothing comes back when the answer broke off.
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

    /// Posts where the answer may break off.
    pub(crate) async fn try_post(&self, path: &str, body: Value) -> Option<Answer> {
        self.send(Method::POST, path, &[], &body).await
    }
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}
