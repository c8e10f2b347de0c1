//! Session tokens: what a caller's session has seen of each database.
//!
//! The token travels with the caller, so any VM can continue a session and no
//! VM keeps session state. An entry VM decodes and merges the tokens that came
//! with a request, hands the points of the request's database to the home, and
//! adds the point of the answer before it encodes the token again:
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
//! A home asks `proof::check_point` whether an instance's status includes a point.
//!
//! A session may also be a connection: `command` holds what such a caller sends, `state` the
//! state that the entry VM keeps for it, and `work` what the entry VM asks of a home.

pub mod codec;
pub mod command;
pub mod state;
pub mod errors;
pub mod proof;
pub mod token;
pub mod work;
