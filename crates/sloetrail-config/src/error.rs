//! Errors in files.

use sloetrail_result::{Problem, ResultCode};
use snafu::Snafu;

/// One error in a file: where it is and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{line}: {field}: {message} (code {})", code.number()))]
pub struct ConfigError {
    /// The file's name as the user gave it.
    pub file: String,
    /// The line, counted from one.
    pub line: usize,
    /// The field, or `-` if the error belongs to none.
    pub field: String,
    /// The result code.
    pub code: ResultCode,
    /// What is wrong.
    pub message: String,
}

impl ConfigError {
    /// The error as a problem document.
    pub fn to_problem(&self) -> Problem {
        Problem::new(self.code, self.to_string())
    }
}

/// Finds lines and turns faults into [`ConfigError`]s.
pub(crate) struct Source<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl Source<'_> {
    fn line_of(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        1 + self.text.as_bytes()[..end]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
    }

    pub(crate) fn error(
        &self,
        offset: usize,
        field: &str,
        code: ResultCode,
        message: impl Into<String>,
    ) -> ConfigError {
        ConfigError {
            file: self.file.to_owned(),
            line: self.line_of(offset),
            field: field.to_owned(),
            code,
            message: message.into(),
        }
    }

    /// Parses the text; a fault is classified by what the parser says of it.
    pub(crate) fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(self.text).map_err(|fault| self.classify(&fault))
    }

    fn classify(&self, fault: &toml::de::Error) -> ConfigError {
        let offset = fault.span().map_or(0, |span| span.start);
        let message = fault.message();
        let code = if message.starts_with("unknown field") {
            ResultCode::UnknownField
        } else if message.starts_with("invalid type")
            || message.starts_with("invalid value")
            || message.starts_with("missing field")
            || message.starts_with("unknown variant")
        {
            ResultCode::WrongType
        } else {
            ResultCode::SyntaxError
        };
        let field = quoted_name(message).unwrap_or_else(|| self.key_at(offset));
        self.error(offset, &field, code, message)
    }

    fn key_at(&self, offset: usize) -> String {
        let line = self.line_of(offset);
        let text = self.text.lines().nth(line - 1).unwrap_or("");
        match text.split_once('=') {
            Some((key, _)) => key.trim().to_owned(),
            None => "-".to_owned(),
        }
    }
}

/// The field that a message such as "unknown field `x`, ..." names first.
fn quoted_name(message: &str) -> Option<String> {
    if !message.contains(" field ") {
        return None;
    }
    message.split('`').nth(1).map(str::to_owned)
}
