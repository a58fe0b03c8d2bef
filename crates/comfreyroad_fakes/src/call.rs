//! Requests that the stand-ins receive.

use std::str::FromStr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// A request whose body has been read completely.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Address of the caller.
    pub peer: String,
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Raw query string.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// Reads a request with its whole body.
    pub async fn read(request: Request<Incoming>, peer: String) -> Result<Self> {
        let (head, body) = request.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(source) => return Err(Error::Read { peer, source }),
        };
        Ok(Self {
            peer,
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
        })
    }

    /// Method and path, for matching.
    #[must_use]
    pub fn target(&self) -> (&str, &str) {
        (self.method.as_str(), &self.path)
    }

    /// Value of a header; empty when it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Value of a query parameter; the default of `T` when it is absent or invalid.
    #[must_use]
    pub fn query<T: FromStr + Default>(&self, name: &str) -> T {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}
