//! Admission limits across all VMs and at each home: rates, queues, slots and open transactions.
//!
//! `rates::limiter::RateLimiter` decides at each proxy whether a workspace is within its rate, in
//! cooperation with the limiters of the other VMs. At a home of a database,
//! `home::queue::HomeQueue` decides which request starts next:
//!
//! ```
//! use oleander_core::ids::WorkspaceId;
//! use oleander_core::time::Span;
//! use oleander_core::time::Time;
//! use oleander_limits::home::queue::Connection;
//! use oleander_limits::home::queue::HomeQueue;
//! use oleander_limits::home::queue::QueueOptions;
//! use oleander_limits::home::request::Class;
//! use oleander_limits::home::request::QueuedRequest;
//! use oleander_limits::home::request::Ticket;
//! use oleander_limits::home::slots::Quota;
//! use oleander_limits::home::slots::Slots;
//!
//! let now = Time(0);
//! let mut slots = Slots::default();
//! slots.set_quotas([Quota { slots: 2, connections: 8 }; 3], now);
//! let mut queue = HomeQueue::new(QueueOptions::default(), slots);
//! let request = QueuedRequest {
//!     ticket: Ticket(1),
//!     workspace: WorkspaceId::from_name("rye"),
//!     weight: 1,
//!     cost: 1,
//!     deadline: now + Span::from_secs(2),
//!     class: Class::Read,
//! };
//! // A refusal has the verdict "not run" and is final: the request never starts.
//! assert!(queue.push(now, request).is_ok());
//! // The closure chooses the instance; `None` leaves the request in the queue.
//! while let Some(start) = queue.pop(now, |_, slots| (0..3).find(|at| slots.is_free(now, *at))) {
//!     // The statement runs on instance `start.ordinal`; its end frees the slot.
//!     queue.finish(start.request.ticket, Span::from_millis(4), Connection::Free);
//! }
//! ```

pub mod home;
pub mod messages;
pub mod rates;
