//! Handling of the signals that stop the process.

use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::error::RunError;
use crate::inbox::{Inbox, Input};

/// Posts [`Input::Stop`] to the engine at every SIGTERM and SIGINT.
pub(crate) fn watch(inbox: Inbox) -> Result<(), RunError> {
    let failed = |source| RunError::Thread { step: "watch-signals", source };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(failed)?;
    let thread = thread::Builder::new().name("signals".to_owned());
    thread
        .spawn(move || signals.forever().for_each(|_| inbox.post(Input::Stop)))
        .map_err(failed)?;
    Ok(())
}
