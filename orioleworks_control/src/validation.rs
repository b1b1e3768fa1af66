//! Validation of orders before they are proposed.

use orioleworks_log::node::MAX_COMMAND_BYTES;
use orioleworks_proto::inner::{self, command::Kind};
use prost::Message;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Accepted names, for error messages.
pub const ACCEPTED_NAME: &str = "1 to 128 ASCII letters, digits or . _ - : / @ +";
/// Longest deadline of a profile in milliseconds.
const MAX_DEADLINE_MS: u32 = 24 * 60 * 60 * 1000;
const MAX_SHARE: u32 = 1000;
const MAX_STALENESS: u32 = 1_000_000;
const MAX_REASON_BYTES: usize = 1024;

/// Whether a text is a valid name.
pub fn is_name(name: &str) -> bool {
    let accepted = |b: u8| b.is_ascii_alphanumeric() || b"._-:/@+".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(accepted)
}

/// Checks an order.
///
/// # Errors
///
/// Returns which field is wrong and what it accepts.
pub fn check(propose: &inner::Propose) -> Result<(), String> {
    let id = &propose.order_id;
    if id.is_empty() || id.len() > MAX_NAME_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("order_id: accepted are 1 to 128 printable ASCII characters".into());
    }
    let command = propose.command.as_ref().ok_or("command: missing")?;
    if command.encoded_len() > MAX_COMMAND_BYTES {
        return Err(format!("command: accepted are up to {MAX_COMMAND_BYTES} bytes"));
    }
    match command.kind.as_ref().ok_or("command: the kind is missing or unknown")? {
        Kind::Noop(_) | Kind::Membership(_) => {
            Err("command: Noop and Membership are made by the leader only".into())
        }
        Kind::PutProfile(profile) => check_profile(profile),
        Kind::RetireProfile(profile) => check_name("retire_profile", profile),
        Kind::StopUpstream(upstream) => check_name("stop_upstream", upstream),
        Kind::StartUpstream(upstream) => check_name("start_upstream", upstream),
        Kind::PublishVersion(publish) => {
            check_name("model", &publish.model)?;
            check_range("version", publish.version, 1, u64::MAX)
        }
        Kind::OpenRun(open) => {
            check_name("run", &open.run)?;
            check_name("owner", &open.owner)?;
            check_name("owner_address", &open.owner_address)
        }
        Kind::AcquireOrderLease(lease) => {
            check_name("domain", &lease.domain)?;
            check_name("entry", &lease.entry)
        }
        Kind::Claim(claim) => {
            check_name("key", &claim.key)?;
            check_name("profile", &claim.profile)?;
            check_name("entry", &claim.entry)?;
            check_name("attempt_id", &claim.attempt_id)?;
            check_name("fingerprint", &claim.fingerprint)?;
            check_range("issued_ms", claim.issued_ms, 1, u64::MAX)
        }
        Kind::FinishClaim(finish) => check_finish(finish),
        Kind::Quarantine(quarantine) => {
            check_name("fingerprint", &quarantine.fingerprint)?;
            check_name("profile", &quarantine.profile)?;
            check_range("reason length", quarantine.reason.len() as u64, 0, MAX_REASON_BYTES as u64)
        }
        Kind::ReleaseQuarantine(fingerprint) => check_name("release_quarantine", fingerprint),
        Kind::PutBatch(_)
        | Kind::PutScoredBatch(_)
        | Kind::PutOwnedBatch(_)
        | Kind::EndOwnedBatch(_)
        | Kind::RecordUsage(_)
        | Kind::CloseUsageWindow(_)
        | Kind::UsageReported(_)
        | Kind::RecordResults(_)
        | Kind::EndBatch(_)
        | Kind::PutDocument(_)
        | Kind::RetireStore(_) => Err("command: this one is for stores".into()),
    }
}

fn check_profile(profile: &inner::Profile) -> Result<(), String> {
    check_name("name", &profile.name)?;
    check_name("upstream_kind", &profile.upstream_kind)?;
    if !profile.judge_kind.is_empty() {
        check_name("judge_kind", &profile.judge_kind)?;
    }
    match inner::Class::try_from(profile.class) {
        Ok(inner::Class::Lookup | inner::Class::Booking | inner::Class::Rollout) => (),
        _ => return Err("class: accepted are lookup (1), booking (2) and rollout (3)".into()),
    }
    match inner::Objective::try_from(profile.objective) {
        Ok(inner::Objective::Staleness | inner::Objective::Idle) => (),
        // A plain service has no weights, so the objective has no meaning for it.
        Ok(inner::Objective::Unspecified) if !profile.engine => (),
        _ => {
            return Err("objective: accepted are staleness (1) and idle (2), and for a plain service unset (0)".into());
        }
    }
    check_range("deadline_ms", profile.deadline_ms.into(), 1, MAX_DEADLINE_MS.into())?;
    check_range("max_staleness", profile.max_staleness.into(), 0, MAX_STALENESS.into())?;
    check_range("share", profile.share.into(), 1, MAX_SHARE.into())?;
    check_range("second_attempt_permille", profile.second_attempt_permille.into(), 0, 1000)
}

fn check_finish(finish: &inner::FinishClaim) -> Result<(), String> {
    check_name("key", &finish.key)?;
    check_name("attempt_id", &finish.attempt_id)?;
    match inner::ClaimState::try_from(finish.state) {
        Ok(
            inner::ClaimState::Finished | inner::ClaimState::Unknown | inner::ClaimState::Released,
        ) => Ok(()),
        _ => Err("state: accepted are finished (2), unknown (3) and released (4)".into()),
    }
}

fn check_name(field: &str, value: &str) -> Result<(), String> {
    if is_name(value) { Ok(()) } else { Err(format!("{field}: accepted are {ACCEPTED_NAME}")) }
}

fn check_range(field: &str, value: u64, min: u64, max: u64) -> Result<(), String> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(format!("{field}: {value} is outside {min}..={max}"))
    }
}
