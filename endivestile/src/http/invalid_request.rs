//! Rejections of invalid input.

/// Why a call was rejected, no part of which was accepted.
#[derive(Debug)]
pub(crate) struct InvalidRequest {
    /// HTTP status, 400 to 499.
    pub(crate) status: u16,
    /// Name of the invalid field.
    pub(crate) field: String,
    /// What is wrong with the field, and which values are accepted.
    pub(crate) reason: String,
}

impl InvalidRequest {
    /// Rejects the value of a field.
    pub(crate) fn field(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { status: 400, field: field.into(), reason: reason.into() }
    }

    /// Rejects a body that is longer than `limit` bytes.
    pub(crate) fn body_too_long(limit: usize) -> Self {
        let reason = format!("longer than {limit} bytes");
        Self { status: 413, ..Self::field("body", reason) }
    }

    /// Rejects a body that did not arrive in time.
    pub(crate) fn body_late() -> Self {
        Self { status: 408, ..Self::field("body", "not received in time") }
    }

    /// Rejects an unknown path.
    pub(crate) fn unknown_path(path: &str) -> Self {
        let reason = format!("{path} does not exist");
        Self { status: 404, ..Self::field("path", reason) }
    }

    /// Rejects a method that the path does not support.
    pub(crate) fn unsupported_method(accepted: &str) -> Self {
        Self { status: 405, ..Self::field("method", format!("accepted: {accepted}")) }
    }
}
