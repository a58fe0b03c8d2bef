//! HTTP client, HTTP server and service clients of comfreyroad.
//!
//! This crate transfers bytes and makes no routing decisions. All of it runs on the one thread that calls
//! [`runtime::run`]: compio waits for the sockets, and hyper implements HTTP/1.1 on them. compio runs some operations
//! on a thread pool, such as creating a socket or shutting one down. [`stream::Stream`] and [`listener::Listener`] do
//! these with non-blocking calls instead. The thread pool has no threads, and an operation that needs it panics.
//!
//! - [`server::Server`] answers requests, and [`client::Client`] sends them.
//! - [`body::Body`] is the body of what either of them sends. A body with a [`body::Sender`] ends cleanly only when the
//!   sender finishes it. Otherwise the connection is reset, so that the peer never mistakes a truncated body for a
//!   complete one.
//! - [`platform`] has clients of the platform's services, [`upstream`] has clients of engines and plain services, and
//!   [`peer`] has a client of other entries.
//! - [`signal`] receives the signals that ask the process to shut down or to reload its settings.
//!
//! A deadline is an instant that the caller passes in, and it covers everything that a call waits for. The error of a
//! call contains the step that failed, the address of the peer, and whether any part of the request may have reached
//! the peer: see [`client::Error`].
//!
//! ```
//! use std::{
//!     error::Error,
//!     time::{Duration, Instant},
//! };
//!
//! use comfreyroad_net::{body::Body, client::Client, listener::Listener, runtime, server::Server};
//! use http::{Request, Response};
//!
//! async fn greet() -> Result<(), Box<dyn Error>> {
//!     let listener = Listener::bind("127.0.0.1:0".parse()?)?;
//!     let address = listener.address();
//!     let server = Server::new(listener);
//!     let handle = server.handle();
//!     let served = compio::runtime::spawn(server.serve(|_, _| async { Response::new(Body::full("hello")) }));
//!
//!     let deadline = Instant::now() + Duration::from_secs(5);
//!     let request = Request::builder().uri("/").body(Body::default())?;
//!     let response = Client::default().call(address, request, deadline).await?;
//!     assert!(response.status().is_success());
//!
//!     handle.stop(deadline);
//!     served.await.expect("the server was not cancelled");
//!     Ok(())
//! }
//!
//! runtime::run(greet()).unwrap().unwrap();
//! ```

pub mod body;
pub mod client;
pub mod listener;
pub mod peer;
pub mod platform;
pub mod runtime;
pub mod server;
pub mod signal;
pub mod stream;
pub mod upstream;
