//! Runs one command.

use std::time::Duration;

use compio::runtime::Runtime;
use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::{
    codes::exit,
    inner::{self, command::Kind},
};
use serde_json::{Value, json};

use crate::{
    cli::{Command, Explain, Options, OrderOptions},
    config, explain, in_force, live, order, views,
};

/// Longest wait for a revision to be in force; control guarantees it within 9 s.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);
/// Longest wait for one replica's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Output and exit code of a command.
#[derive(Debug)]
pub struct Output {
    /// Standard output.
    pub text: String,
    /// Standard error.
    pub error: String,
    /// Exit code.
    pub code: i32,
}

impl Output {
    fn failed(error: impl Into<String>) -> Self {
        Self { text: String::new(), error: error.into(), code: exit::FAILED }
    }

    fn listing(listing: &views::Listing, json: bool) -> Self {
        let text = if json { pretty_json(&listing.json) } else { listing.table.clone() };
        Self { text, error: String::new(), code: exit::OK }
    }
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

/// Runs a command and prints its output.
pub fn run(options: &Options) -> i32 {
    let output = match (&options.command, Runtime::new()) {
        (Some(Command::Explain(explain)), _) => explain_request(explain),
        (_, Ok(runtime)) => runtime.block_on(execute(options, IN_FORCE_TIMEOUT)),
        (_, Err(e)) => Output::failed(format!("the runtime cannot start: {e}")),
    };
    print!("{}", output.text);
    if !output.error.is_empty() {
        eprintln!("{}", output.error.trim_end());
    }
    output.code
}

/// Runs a command; `in_force_timeout` bounds `--wait`.
pub async fn execute(options: &Options, in_force_timeout: Duration) -> Output {
    if options.version {
        let text = format!("orioleworksctl {}\n", env!("CARGO_PKG_VERSION"));
        return Output { text, error: String::new(), code: exit::OK };
    }
    let addresses = match config::addresses(options) {
        Ok(addresses) => addresses,
        Err(reason) => return Output { code: exit::SETTINGS, ..Output::failed(reason) },
    };
    if options.check {
        let text = "settings are valid\n".into();
        return Output { text, error: String::new(), code: exit::OK };
    }
    let Some(command) = &options.command else {
        let reason = "a command is required; see --help".to_owned();
        return Output { code: exit::SETTINGS, ..Output::failed(reason) };
    };
    let control = ControlClient::new(addresses);
    match command {
        Command::List(list) => match in_force::status(&control).await {
            Ok(status) if list.what == "live" => live_upstreams(&status, options.json).await,
            Ok(status) => match views::list(&list.what, &status) {
                Some(listing) => Output::listing(&listing, options.json),
                None => {
                    Output::failed(format!("cannot list `{}`; one of {}", list.what, views::KINDS))
                }
            },
            Err(reason) => Output::failed(reason),
        },
        Command::Status(_) => cluster_status(&control, options.json).await,
        command => match prepare(command, &control).await {
            Ok((kind, order)) => send(&control, options, kind, order, in_force_timeout).await,
            Err(reason) => Output::failed(reason),
        },
    }
}

fn explain_request(command: &Explain) -> Output {
    match explain::timeline(&command.id, &command.files) {
        Ok(text) => Output { text, error: String::new(), code: exit::OK },
        Err(reason) => Output::failed(reason),
    }
}

async fn live_upstreams(status: &inner::StatusReply, json: bool) -> Output {
    let (listing, unanswered) = live::list(status).await;
    let mut output = Output::listing(&listing, json);
    if !unanswered.is_empty() {
        output.error = format!("no entry answers in {}", unanswered.join(", "));
        output.code = exit::FAILED;
    }
    output
}

/// Converts a command to the log command and the options of its order.
async fn prepare(
    command: &Command,
    control: &ControlClient,
) -> Result<(Kind, OrderOptions), String> {
    let order_options = |order_id: &Option<String>, expect, wait| OrderOptions {
        order_id: order_id.clone(),
        expect,
        wait,
    };
    Ok(match command {
        Command::AddProfile(add) => {
            let mut order = add.order();
            order.expect = order.expect.or(Some(0));
            (Kind::PutProfile(add.partial()?.complete(None)?), order)
        }
        Command::ChangeProfile(change) => {
            let (partial, mut order) = (change.partial()?, change.order());
            let name = partial.name.clone().ok_or("the name of the profile is required")?;
            let config = in_force::status(control).await?.config.unwrap_or_default();
            let is_named = |v: &&inner::VersionedProfile| {
                v.profile.as_ref().is_some_and(|profile| profile.name == name)
            };
            let current = config.profiles.iter().find(is_named);
            let current = current.ok_or_else(|| format!("no profile `{name}` exists"))?;
            // Without an expected revision, the order would undo a change that another operator made in between.
            order.expect = order.expect.or(Some(current.revision));
            (Kind::PutProfile(partial.complete(current.profile.clone())?), order)
        }
        Command::RetireProfile(c) => {
            (Kind::RetireProfile(c.name.clone()), order_options(&c.order_id, c.expect, c.wait))
        }
        Command::StopUpstream(c) => {
            (Kind::StopUpstream(c.name.clone()), order_options(&c.order_id, c.expect, c.wait))
        }
        Command::StartUpstream(c) => {
            (Kind::StartUpstream(c.name.clone()), order_options(&c.order_id, c.expect, c.wait))
        }
        Command::ReleaseQuarantine(c) => {
            (Kind::ReleaseQuarantine(c.name.clone()), order_options(&c.order_id, c.expect, c.wait))
        }
        Command::List(_) | Command::Status(_) | Command::Explain(_) => {
            return Err("the command is not an order".into());
        }
    })
}

async fn send(
    control: &ControlClient,
    options: &Options,
    kind: Kind,
    order: OrderOptions,
    in_force_timeout: Duration,
) -> Output {
    let order_id = order.order_id.unwrap_or_else(order::new_order_id);
    let command = inner::Command { expected_revision: order.expect, kind: Some(kind) };
    // Printed first, so that the order can be resent if this process exits without a reply.
    eprintln!("sending order {order_id}");
    let timeout = Duration::from_millis(options.timeout_ms);
    let result = order::send(control, order_id, command, timeout).await;
    let mut output = Output { text: result.text(), error: String::new(), code: result.exit_code() };
    let mut object = json!(result);
    if order.wait && result.is_accepted() {
        let state = in_force::wait(control, result.revision, in_force_timeout).await;
        if state.in_force {
            output.text += "in force on every live entry\n";
        } else {
            output.code = exit::NOT_IN_FORCE;
            output.text += "not in force\n";
            for missing in &state.missing {
                output.text +=
                    &format!("missing {} at revision {}\n", missing.entry, missing.revision);
            }
            output.error = state.reason.clone();
        }
        object["wait"] = json!(state);
    }
    if options.json {
        output.text = pretty_json(&object);
    }
    output
}

async fn cluster_status(control: &ControlClient, json: bool) -> Output {
    let mut rows = Vec::new();
    let mut responded = false;
    for (i, replica) in control.replicas().iter().enumerate() {
        let status = control.status(i, false, STATUS_TIMEOUT).await;
        responded |= status.is_ok();
        let status = status.as_ref().map_err(ToString::to_string);
        rows.push(views::replica(&replica.address(), status));
    }
    let mut output = Output::listing(&views::replicas(rows), json);
    output.code = if responded { exit::OK } else { exit::FAILED };
    output
}
