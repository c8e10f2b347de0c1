//! Session consistency: tokens that tell what a session has seen of each database, and the state of
//! sessions that are connections.
//!
//! A session token travels with the caller, so any VM can continue the session and no VM keeps
//! state for it. The entry VM, which receives a request, decodes and merges the request's tokens
//! and passes the log points of the request's database to the home, which runs the request on an
//! instance. It then adds the log point of the answer and encodes the token again:
//!
//! ```
//! use oleander_core::ids::{DatabaseId, WorkspaceId};
//! use oleander_core::terms::{LogPoint, Position, Term};
//! use oleander_session::codec;
//! use oleander_session::token::{SeenPoint, Token};
//!
//! let workspace = WorkspaceId::from_name("rye");
//! let database = DatabaseId::from_name("orders");
//! let mut token = Token::new(workspace);
//! let point = LogPoint { term: Term(1), position: Position(7) };
//! token.observe(database, SeenPoint { point, durable: true })?;
//!
//! let text = codec::encode(&token)?;
//! let back = codec::decode_all(workspace, [text.as_str()])?;
//! assert_eq!(back.seen(database).as_slice(), &[SeenPoint { point, durable: true }]);
//! # Ok::<(), oleander_session::errors::Error>(())
//! ```
//!
//! A home checks with `proof::check_point` whether an instance's history includes a point.
//!
//! A session may also be a connection. Then `command` holds the caller's commands, `state` the
//! state that the entry VM keeps for the connection, and `work` the requests from the entry VM to a
//! home; `report` is what a home tells about an instance in its replies.

pub mod budget;
pub mod codec;
pub mod command;
pub mod errors;
pub mod proof;
pub mod report;
pub mod state;
pub mod token;
pub mod work;
