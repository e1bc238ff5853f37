//! Implementations of the commands.

mod apply;
mod history;
mod review;
mod status;
mod stop;
mod submit;

pub(crate) use status::counters;

use clap::CommandFactory;

use crate::cli::{Cli, Command, CompletionArgs};
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::{explain, load};

/// Program name in completion scripts.
const PROGRAM: &str = "endivectl";

/// Runs a command.
pub(crate) fn run(cli: Cli) -> Result<Exit, CtlError> {
    let context = Context::new(cli.common);
    match cli.command {
        Command::Check(args) => review::check(&context, &args),
        Command::Diff(args) => review::diff(&context, &args),
        Command::Show(args) => review::show(&context, &args),
        Command::Apply(args) => apply::run(&context, &args),
        Command::Status(args) => status::run(&context, &args),
        Command::Stop(args) => stop::stop(&context, &args),
        Command::Resume(args) => stop::resume(&context, &args),
        Command::History(args) => history::run(&context, &args),
        Command::Submit(args) => submit::run(&context, &args),
        Command::Load(args) => load::run(&context, &args),
        Command::Explain(args) => explain::run(&context, &args),
        Command::Completions(args) => Ok(complete(&args)),
    }
}

fn complete(args: &CompletionArgs) -> Exit {
    let mut script = Vec::new();
    clap_complete::generate(args.shell, &mut Cli::command(), PROGRAM, &mut script);
    crate::out::print_bytes(&script);
    Exit::Done
}
