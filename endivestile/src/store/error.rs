//! Errors of calls to the store.

use quick_error::quick_error;

quick_error! {
    /// Why a call to the store failed.
    // The macro supports neither doc comments on fields nor `pub(crate)`.
    #[allow(missing_docs, unreachable_pub)]
    #[derive(Debug)]
    pub enum StoreError {
        /// The store returned an error, or the connection failed.
        Status { step: &'static str, peer: String, reason: String } {
            display("step={step} peer={peer} error={reason:?}")
        }
        /// No answer arrived within the timeout.
        Timeout { step: &'static str, peer: String } {
            display("step={step} peer={peer} error=timeout")
        }
        /// The watch has ended.
        Closed { step: &'static str } {
            display("step={step} error=closed")
        }
        /// A later incarnation of this host is registered.
        Superseded { incarnation: u64 } {
            display("step=register error=superseded birth={incarnation:x}")
        }
    }
}
