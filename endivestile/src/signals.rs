//! Signals that ask the process to stop.

use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::error::RunError;
use crate::inbox::{Inbox, Input};

/// Posts every SIGTERM and SIGINT to the engine.
pub(crate) fn watch(inbox: Inbox) -> Result<(), RunError> {
    let failed = |source| RunError::Thread { step: "watch-signals", source };
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(failed)?;
    let thread = thread::Builder::new().name("signals".to_owned());
    thread
        .spawn(move || signals.forever().for_each(|_| inbox.post(Input::Stop)))
        .map_err(failed)?;
    Ok(())
}
