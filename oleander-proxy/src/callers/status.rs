//! The HTTP status code of each refusal.

use oleander_core::verdict::RefusalCode;
use xitca_web::http::StatusCode;

/// Returns the HTTP status code for a refusal code.
pub fn http_status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::BadRequest | RefusalCode::BadToken | RefusalCode::UnknownStatement => {
            StatusCode::BAD_REQUEST
        }
        RefusalCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalCode::KeyMissing | RefusalCode::KeyRejected => StatusCode::UNAUTHORIZED,
        RefusalCode::RouteForbidden => StatusCode::FORBIDDEN,
        RefusalCode::UnknownRoute => StatusCode::NOT_FOUND,
        RefusalCode::TransactionGone => StatusCode::GONE,
        RefusalCode::HistoryLost => StatusCode::CONFLICT,
        RefusalCode::UpstreamError => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::RateLimited | RefusalCode::TooManyTransactions => {
            StatusCode::TOO_MANY_REQUESTS
        }
        RefusalCode::UpstreamLost | RefusalCode::AnswerTooLarge => StatusCode::BAD_GATEWAY,
        RefusalCode::QueueFull
        | RefusalCode::DeadlineExceeded
        | RefusalCode::HomeUnreachable
        | RefusalCode::UpstreamUnavailable
        | RefusalCode::NotCurrent
        | RefusalCode::ReplicaBehind
        | RefusalCode::NotPrimary
        | RefusalCode::Draining => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::Timeout | RefusalCode::NotReplicated => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
