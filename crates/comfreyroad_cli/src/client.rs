use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::time::timeout_at;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::Error;

/// Longest wait for one answer, so that there is time left to try again.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// HTTP towards the platform and the entries, until a deadline.
#[derive(Clone)]
pub struct Client {
    http: cyper::Client,
    deadline: Instant,
}

impl Client {
    /// A client that gives up at a deadline.
    pub fn new(deadline: Instant) -> Result<Self, Error> {
        let http = cyper::Client::builder().no_proxy().build();
        let http = http.map_err(|error| Error::Start(error.to_string()))?;
        Ok(Self { http, deadline })
    }

    /// When it gives up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Asks for JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = self.http.get(format!("http://{peer}{path}"));
        self.json(step, peer, request).await
    }

    /// Hands over JSON.
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
