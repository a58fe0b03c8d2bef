use std::{net::SocketAddr, time::Instant};

use comfreyroad_wire::engine as wire;
use http::StatusCode;

use crate::client::{self, Client, Error};

/// Path of both the orders and their state.
const PATH: &str = "/v1/orders";

/// Gives orders to engines.
#[derive(Clone)]
pub struct Orders {
    client: Client,
}

impl Orders {
    /// Gives them by `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    /// Gives an order to the engine at `address`.
    pub async fn send(
        &self,
        address: SocketAddr,
        order: &wire::Order,
        deadline: Instant,
    ) -> Result<(), OrderError> {
        let answer = client::post(&self.client, address, PATH, order, deadline).await?;
        match answer.status() {
            StatusCode::OK => Ok(()),
            StatusCode::CONFLICT => {
                let refused: wire::Rejection = client::parse_body(address, &answer)?;
                Err(OrderError::StaleFence {
                    fence: refused.fence,
                })
            }
            status => Err(Error::status(address, status).into()),
        }
    }

    /// What the engine at `address` says of the orders that it took.
    pub async fn state(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<wire::OrderState, Error> {
        let answer = client::get(&self.client, address, PATH, deadline).await?;
        client::parse(address, &answer)
    }
}

/// An order that was not taken, or of which that is unclear.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a higher fencing number.
    #[error("the engine obeys fencing number {fence}")]
    StaleFence {
        /// Highest number that it has seen.
        fence: u64,
    },
    /// The call failed.
    #[error(transparent)]
    Call(#[from] Error),
}
