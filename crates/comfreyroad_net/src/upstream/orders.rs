use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;
use http::StatusCode;

use crate::client::{self, Client, Error};

/// Path for sending orders and for reading their state.
const PATH: &str = "/v1/orders";

/// Sends orders to engines.
#[derive(Clone)]
pub struct Orders {
    client: Client,
}

impl Orders {
    /// Creates a client that sends its requests through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Sends an order to the engine at `address`.
    pub async fn send(
        &self,
        address: SocketAddr,
        order: &wire::Order,
        deadline: Instant,
    ) -> Result<(), OrderError> {
        let response = client::post(&self.client, address, PATH, order, deadline).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let rejection: wire::Rejection = client::parse_body(address, &response)?;
                Err(OrderError::StaleFence {
                    fence: rejection.fence,
                })
            }
            status => Err(Error::status(address, status).into()),
        }
    }

    /// Reads the state of the engine at `address` after the orders that it accepted.
    pub async fn state(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<wire::OrderState, Error> {
        let response = client::get(&self.client, address, PATH, deadline).await?;
        client::parse(address, &response)
    }
}

/// An order that the engine rejected, or whose outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The engine has received a higher fencing number.
    #[error("order rejected: the engine has fencing number {fence}")]
    StaleFence {
        /// Highest fencing number that the engine has received.
        fence: u64,
    },
    /// The call failed.
    #[error(transparent)]
    Call(#[from] Error),
}
