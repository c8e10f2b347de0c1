//! The HTTP service that injects faults into a platform and reports its state.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use xitca_web::App;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::handler::json::Json;
use xitca_web::handler::state::StateRef;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::route::get;
use xitca_web::route::post;

use crate::http;
use crate::http::RunningServer;
use crate::platform::Platform;
use crate::platform::State;
use crate::platform::Switch;

/// `Admin` is the running service; it serves `GET /v1/state` and `POST /v1/switch` until it is
/// dropped. A switch of an unknown group or instance is answered with status 404.
#[derive(Debug)]
pub struct Admin {
    server: RunningServer,
}

impl Admin {
    /// Starts the service for a platform on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// Returns the error of the operating system if no port can be bound.
    pub fn start(platform: Arc<Platform>) -> io::Result<Self> {
        let app = App::new()
            .with_state(platform)
            .at("/v1/state", get(handler_service(state)))
            .at("/v1/switch", post(handler_service(switch)))
            .finish();
        Ok(Self { server: http::start(app)? })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn state(platform: StateRef<'_, Arc<Platform>>) -> Json<State> {
    Json(platform.state())
}

async fn switch(platform: StateRef<'_, Arc<Platform>>, Json(switch): Json<Switch>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::empty());
    if platform.switch(switch).is_err() {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}
