//! Connections of comfreyroad.
//!
//! This crate moves bytes and decides nothing. All of it runs on the one thread that calls [`runtime::run`]: compio
//! waits for the sockets, and hyper speaks HTTP/1.1 over them. Whatever compio would hand to a thread pool (making a
//! socket, shutting one down) is done here by non-blocking calls of our own, in [`stream::Stream`] and
//! [`listener::Listener`]; the pool has no threads, and a call that leans on it panics.
//!
//! - [`server::Server`] answers requests, [`client::Client`] sends them.
//! - [`body::Body`] is what either of them sends. One that is fed by a [`body::Sender`] ends cleanly only when the
//!   sender says so; else the connection breaks, so that nobody takes a part for the whole.
//! - [`platform`] has clients of the platform's services, [`upstream`] of the engines and plain services, [`peer`] of
//!   the other entries.
//! - [`signal`] waits for the signals that end the process.
//!
//! Deadlines are instants that the caller passes in, and they cover everything that a call waits for. An error of a
//! call says at which step it arose, with whom, and whether the peer can have seen some of the request: see
//! [`client::Error`].
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
//!     let answer = Client::default().call(address, request, deadline).await?;
//!     assert!(answer.status().is_success());
//!
//!     handle.stop(deadline);
//!     served.await.expect("the server was not cancelled")?;
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
