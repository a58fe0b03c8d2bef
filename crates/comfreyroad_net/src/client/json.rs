use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    Client,
    error::{Cause, Error},
    reader::read_all,
};
use crate::body::Body;

/// Maximum length of a JSON response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Sends a `GET` for `path` and reads the complete response.
pub(crate) async fn get(
    client: &Client,
    peer: SocketAddr,
    path: &str,
    deadline: Instant,
) -> Result<Response<Bytes>, Error> {
    let request = Request::builder().uri(path).body(Body::default());
    call(client, peer, request, deadline).await
}

/// Sends `message` as JSON in a `POST` to `path` and reads the complete response.
pub(crate) async fn post(
    client: &Client,
    peer: SocketAddr,
    path: &str,
    message: &impl Serialize,
    deadline: Instant,
) -> Result<Response<Bytes>, Error> {
    let json =
        serde_json::to_vec(message).map_err(|error| Error::request(peer, Cause::Json(error)))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Body::full(json));
    call(client, peer, request, deadline).await
}

/// Parses the JSON body of a response; fails unless its status is 200.
pub(crate) fn parse<T: DeserializeOwned>(
    peer: SocketAddr,
    response: &Response<Bytes>,
) -> Result<T, Error> {
    if response.status() != StatusCode::OK {
        return Err(Error::status(peer, response.status()));
    }
    parse_body(peer, response)
}

/// Parses the JSON body of a response with any status.
pub(crate) fn parse_body<T: DeserializeOwned>(
    peer: SocketAddr,
    response: &Response<Bytes>,
) -> Result<T, Error> {
    serde_json::from_slice(response.body()).map_err(|error| Error::body(peer, Cause::Json(error)))
}

/// Time after which the peer allows a retry, from its `retry-after` header in seconds.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Instant> {
    let seconds = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    Instant::now().checked_add(Duration::from_secs(seconds))
}

async fn call(
    client: &Client,
    peer: SocketAddr,
    request: http::Result<Request<Body>>,
    deadline: Instant,
) -> Result<Response<Bytes>, Error> {
    let request = request.map_err(|error| Error::request(peer, Cause::Request(error)))?;
    let (head, body) = client.call(peer, request, deadline).await?.into_parts();
    let body = read_all(peer, body, MAX_RESPONSE_BYTES, deadline).await?;
    Ok(Response::from_parts(head, body))
}
