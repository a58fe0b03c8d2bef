use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::time::timeout_at;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::Error;

/// Timeout of one call, shorter than the usual deadline so that there is time to retry.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP client for the platform and the entries; all calls share one deadline.
#[derive(Clone)]
pub struct Client {
    http: cyper::Client,
    deadline: Instant,
}

impl Client {
    /// Creates a client whose calls fail after `deadline`.
    pub fn new(deadline: Instant) -> Result<Self, Error> {
        let http = cyper::Client::builder().no_proxy().build();
        let http = http.map_err(|error| Error::Start(error.to_string()))?;
        Ok(Self { http, deadline })
    }

    /// The time after which calls fail.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends a `GET` request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = self.http.get(format!("http://{peer}{path}"));
        self.json(step, peer, request).await
    }

    /// Sends `body` as JSON in a `POST` request and decodes the JSON response.
    pub async fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, Error> {
        let request = self.http.post(format!("http://{peer}{path}"));
        let request = request.and_then(|request| request.json(body));
        self.json(step, peer, request).await
    }

    async fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: cyper::Result<cyper::RequestBuilder>,
    ) -> Result<T, Error> {
        let failed = |error| Error::Call {
            step,
            peer,
            source: Box::new(error),
        };
        let request = request.map_err(failed)?;
        let deadline = self.deadline.min(Instant::now() + CALL_TIMEOUT);
        let answer = async {
            let response = request.send().await.map_err(failed)?;
            match response.status() {
                StatusCode::OK => response.json().await.map_err(failed),
                status => Err(Error::Status { step, peer, status }),
            }
        };
        let Ok(answer) = timeout_at(deadline, answer).await else {
            return Err(Error::Deadline { step, peer });
        };
        answer
    }
}
