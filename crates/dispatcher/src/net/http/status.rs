//! Status codes and their reason phrases.

/// Status code of a response.
pub type Status = u16;

/// The request was served.
pub const OK: Status = 200;
/// The request is invalid.
pub const BAD_REQUEST: Status = 400;
/// Nothing exists at the path.
pub const NOT_FOUND: Status = 404;
/// The path does not accept the method.
pub const METHOD_NOT_ALLOWED: Status = 405;
/// The request was not complete in time.
pub const REQUEST_TIMEOUT: Status = 408;
/// The request conflicts with another.
pub const CONFLICT: Status = 409;
/// The body is too large.
pub const CONTENT_TOO_LARGE: Status = 413;
/// The client sent too many requests.
pub const TOO_MANY_REQUESTS: Status = 429;
/// The head is too large.
pub const HEADER_FIELDS_TOO_LARGE: Status = 431;
/// An upstream server failed.
pub const BAD_GATEWAY: Status = 502;
/// The server cannot serve the request at the moment.
pub const SERVICE_UNAVAILABLE: Status = 503;
/// An upstream server did not respond in time.
pub const GATEWAY_TIMEOUT: Status = 504;

/// Returns the reason phrase of a status, for the first line of a response.
pub fn reason(status: Status) -> &'static str {
    match status {
        100 => "Continue",
        OK => "OK",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        CONTENT_TOO_LARGE => "Content Too Large",
        HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        BAD_GATEWAY => "Bad Gateway",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        GATEWAY_TIMEOUT => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}
