//! Checks that both kinds of file share.

use crate::error::{ConfigError, Source};
use sloetrail_result::ResultCode;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use toml::Spanned;

const NAME_LENGTH_LIMIT: usize = 64;

impl Source<'_> {
    /// The value, or the default where the key is absent; an error outside the range.
    pub(crate) fn bounded(
        &self,
        field: &str,
        value: &Option<Spanned<u64>>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        match value {
            None => Ok(default),
            Some(spanned) => self.in_range(field, spanned, range),
        }
    }

    /// The value; an error outside the range.
    pub(crate) fn in_range(
        &self,
        field: &str,
        spanned: &Spanned<u64>,
        range: RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        let value = *spanned.get_ref();
        if range.contains(&value) {
            return Ok(value);
        }
        let message = format!(
            "{value} is not between {} and {}",
            range.start(),
            range.end()
        );
        Err(self.error(
            spanned.span().start,
            field,
            ResultCode::OutOfBounds,
            message,
        ))
    }

    /// The name, if it is well formed and not yet in `taken`.
    pub(crate) fn unique_name(
        &self,
        field: &str,
        spanned: &Spanned<String>,
        taken: &mut BTreeSet<String>,
    ) -> Result<String, ConfigError> {
        let name = self.well_formed_name(field, spanned)?;
        if taken.insert(name.clone()) {
            return Ok(name);
        }
        let message = format!("the name {name:?} is given twice");
        Err(self.error(
            spanned.span().start,
            field,
            ResultCode::DuplicateName,
            message,
        ))
    }

    /// The name, if it is made of letters, digits, `-`, `_` and `.`.
    pub(crate) fn well_formed_name(
        &self,
        field: &str,
        spanned: &Spanned<String>,
    ) -> Result<String, ConfigError> {
        let name = spanned.get_ref();
        let well_formed = !name.is_empty()
            && name.len() <= NAME_LENGTH_LIMIT
            && name
                .chars()
                .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
        if well_formed {
            return Ok(name.clone());
        }
        let message = format!("{name:?} is not a name of 1 to 64 letters, digits, '-', '_' or '.'");
        Err(self.error(
            spanned.span().start,
            field,
            ResultCode::OutOfBounds,
            message,
        ))
    }
}
