//! Settings files: JSON with comments, checked on load.
//!
//! Every refusal names the file, the line, the key path and what is accepted there, so that an operator can correct the
//! file without reading code. See `docs/operators.md`.

use std::{
    fmt, fs,
    ops::RangeInclusive,
    path::{Path, PathBuf},
};

use displaydoc::Display;
use jsonc_parser::{CollectOptions, ParseOptions, ast};
use serde::de::DeserializeOwned;

/// Why a settings file was refused.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// {file}: cannot be read: {reason}
    Unreadable {
        /// Path as given.
        file: String,
        /// Message of the operating system.
        reason: String,
    },
    /// {file}:{line}: not JSON with comments: {reason}
    Syntax {
        /// Path as given.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// {file}:{line}: key `{key}`: {reason}
    Refused {
        /// Path as given.
        file: String,
        /// Line of the key, or of the object that lacks it, from 1.
        line: usize,
        /// Dotted key path.
        key: String,
        /// What is wrong and what is accepted.
        reason: String,
    },
}

impl std::error::Error for SettingsError {}

/// Collects values that are of the right type but outside their accepted range.
#[derive(Debug, Default)]
pub struct Problems {
    found: Vec<(String, String)>,
}

impl Problems {
    /// Requires a value inside a range; `unit` is part of the message.
    pub fn range<T: PartialOrd + fmt::Display>(
        &mut self,
        key: impl Into<String>,
        value: T,
        accepted: RangeInclusive<T>,
        unit: &str,
    ) {
        if !accepted.contains(&value) {
            let reason =
                format!("{value} is outside {}..={} {unit}", accepted.start(), accepted.end());
            self.found.push((key.into(), reason));
        }
    }

    /// Requires a condition; `accepted` says what the key takes.
    pub fn require(&mut self, key: impl Into<String>, holds: bool, accepted: impl Into<String>) {
        if !holds {
            self.found.push((key.into(), accepted.into()));
        }
    }

    /// First problem, as key path and reason, for values that do not come from a file.
    pub fn into_first(self) -> Option<(String, String)> {
        self.found.into_iter().next()
    }
}

/// Settings that can be checked beyond their types.
pub trait Settings: DeserializeOwned {
    /// Reports every value outside its accepted range.
    fn check(&self, problems: &mut Problems);
}

/// Environment variable that names the settings file when the command line does not.
const PATH_VARIABLE: &str = "ORIOLEWORKS_NODE_FILE";

/// Path of the settings file that the environment names.
pub fn path_from_environment() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns the first problem of the file, with its location.
pub fn load<T: Settings>(path: impl AsRef<Path>) -> Result<T, SettingsError> {
    let path = path.as_ref();
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|e| SettingsError::Unreadable { file: file.clone(), reason: e.to_string() })?;
    parse(&file, &text)
}

/// Parses and checks the text of a settings file; `file` is used in messages only.
///
/// # Errors
///
/// Returns the first problem of the text, with its location.
pub fn parse<T: Settings>(file: &str, text: &str) -> Result<T, SettingsError> {
    let tree = parse_tree(file, text)?;
    let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &options())
        .map_err(|e| syntax_error(file, text, &e))?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|e| {
        let key = e.path().to_string();
        refused_error(file, text, &tree, key, e.inner().to_string())
    })?;
    let mut problems = Problems::default();
    settings.check(&mut problems);
    match problems.found.into_iter().next() {
        Some((key, reason)) => Err(refused_error(file, text, &tree, key, reason)),
        None => Ok(settings),
    }
}

fn options() -> ParseOptions {
    // JSON with comments: comments and trailing commas are allowed, other extensions of JSON are not.
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        ..ParseOptions::default()
    }
}

fn parse_tree<'a>(file: &str, text: &'a str) -> Result<Option<ast::Value<'a>>, SettingsError> {
    jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options())
        .map(|parsed| parsed.value)
        .map_err(|e| syntax_error(file, text, &e))
}

fn syntax_error(file: &str, text: &str, e: &jsonc_parser::errors::ParseError) -> SettingsError {
    let line = line_of(text, e.range().start);
    SettingsError::Syntax { file: file.into(), line, reason: e.kind().to_string() }
}

fn refused_error(
    file: &str,
    text: &str,
    tree: &Option<ast::Value<'_>>,
    key: String,
    reason: String,
) -> SettingsError {
    let offset = tree.as_ref().map_or(0, |tree| offset_of(tree, &key));
    SettingsError::Refused { file: file.into(), line: line_of(text, offset), key, reason }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes().iter().take(offset).filter(|b| **b == b'\n').count() + 1
}

/// Offset of the deepest node on the key path that exists.
fn offset_of(tree: &ast::Value<'_>, key: &str) -> usize {
    let mut node = tree;
    let mut offset = start_of(node);
    for part in key.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
        let next = match node {
            ast::Value::Object(object) => object
                .properties
                .iter()
                .find(|p| p.name.as_str() == part)
                .map(|p| (&p.value, p.range.start)),
            ast::Value::Array(array) => part
                .parse::<usize>()
                .ok()
                .and_then(|i| array.elements.get(i))
                .map(|element| (element, start_of(element))),
            _ => None,
        };
        let Some((value, start)) = next else { break };
        (node, offset) = (value, start);
    }
    offset
}

fn start_of(value: &ast::Value<'_>) -> usize {
    use jsonc_parser::common::Ranged;
    value.range().start
}
