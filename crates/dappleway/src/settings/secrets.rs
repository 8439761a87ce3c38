//! Secrets that are kept in files of their own.

use std::path::Path;

use operator::{MIN_TOKEN_BYTES, Token};

use super::{Settings, SettingsProblem, problem};

/// Key material of a fleet without a configured secret. Frames are then only checked for damage.
const NO_SECRET: &[u8] = b"no secret";
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads the keys of the exchange between nodes from their files.
    pub fn keys(&self) -> Result<fleet::Keys, Vec<SettingsProblem>> {
        let current = match &self.fleet.key_file {
            Some(path) => read_key("fleet.key_file", path)?,
            None => fleet::Key::new(NO_SECRET),
        };
        let also = match &self.fleet.also_accept_key_file {
            Some(path) => Some(read_key("fleet.also_accept_key_file", path)?),
            None => None,
        };
        Ok(fleet::Keys { current, also_accepted: also })
    }

    /// Reads the token of the operator API from its file.
    pub fn token(&self) -> Result<Option<Token>, Vec<SettingsProblem>> {
        let Some(path) = &self.operator.token_file else { return Ok(None) };
        let key = "operator.token_file";
        let text = std::fs::read_to_string(path).map_err(|it| {
            vec![problem(key, format!("{}: {it}: name a file that can be read", path.display()))]
        })?;
        let token = Token::new(&text);
        let remedy = || format!("{}: write {MIN_TOKEN_BYTES} bytes or more", path.display());
        token.map(Some).ok_or_else(|| vec![problem(key, remedy())])
    }
}

fn read_key(key: &str, path: &Path) -> Result<fleet::Key, Vec<SettingsProblem>> {
    let secret = std::fs::read(path).map_err(|it| {
        vec![problem(key, format!("{}: {it}: name a file that can be read", path.display()))]
    })?;
    if secret.len() < MIN_SECRET_BYTES {
        let remedy = format!("{}: write {MIN_SECRET_BYTES} bytes or more", path.display());
        return Err(vec![problem(key, remedy)]);
    }
    Ok(fleet::Key::new(&secret))
}
