use std::{fmt, sync::Arc};

use crate::core::account::Account;

/// Maximum length of a key and of an account name, bytes.
pub const MAX_KEY_BYTES: usize = 256;
const MAX_NAME_BYTES: usize = 256;

/// Length of the part of a key's digest that is kept, bytes. The probability that two of 100,000 keys share it is 1.5e-29.
const DIGEST_BYTES: usize = 16;

type KeyDigest = [u8; DIGEST_BYTES];

/// The accounts of one version of the configuration, by key and by name.
///
/// It is for 100,000 keys, some of which are looked up by every request, on nodes with 160 MB and a fraction of a core: a
/// key takes 20 bytes, and dropping the table frees one block for all keys. Keys are indexed by a keyed digest and are not
/// kept, so the time of a lookup reveals nothing about them and they cannot appear in any output.
pub struct Accounts {
    digest_key: [u8; 32],
    accounts: Vec<Arc<Account>>,
    /// Indices of `accounts`, by name.
    names: Vec<u32>,
    /// Digests of the keys with the indices of their accounts, by digest.
    keys: Vec<(KeyDigest, u32)>,
}

/// An error that makes all accounts invalid. It names accounts but contains no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    #[error(
        "the name of account number {number} must have 1 to {MAX_NAME_BYTES} bytes, without control characters and without \
         white space at its ends"
    )]
    Name { number: usize },
    #[error("account {account} is listed twice")]
    DuplicateName { account: Arc<str> },
    #[error("account {account}: a key is empty")]
    EmptyKey { account: Arc<str> },
    #[error("accounts {first} and {second} share a key")]
    SharedKey { first: Arc<str>, second: Arc<str> },
}

impl Accounts {
    /// Returns a builder. `digest_key` is random, so that callers cannot predict where their keys are in the table.
    pub fn builder(digest_key: [u8; 32]) -> AccountsBuilder {
        AccountsBuilder {
            digest_key,
            accounts: Vec::new(),
            keys: Vec::new(),
        }
    }

    /// Returns the account to which a key belongs. A key that is too long or not ASCII belongs to none.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        if key.len() > MAX_KEY_BYTES || !key.is_ascii() {
            return None;
        }
        let digest = key_digest(&self.digest_key, key);
        let position = self.keys.binary_search_by_key(&digest, |(other, _)| *other);
        let (_, account) = self.keys[position.ok()?];
        Some(&self.accounts[account as usize])
    }

    /// Returns the account with this name.
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        let account = |index: &u32| &self.accounts[*index as usize];
        let position = self
            .names
            .binary_search_by(|index| (*account(index).name).cmp(name));
        Some(account(&self.names[position.ok()?]))
    }

    /// Returns the accounts, in the order in which they were added.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<Account>> {
        self.accounts.iter()
    }

    /// Returns for each key its account here and in `other`, in no particular order. Returns `None` if the keys of the two tables
    /// are indexed under different digest keys, so that they cannot be compared.
    pub fn compare_keys<'a>(
        &'a self,
        other: &'a Accounts,
    ) -> Option<impl Iterator<Item = (&'a Account, Option<&'a Account>)>> {
        let comparable = self.digest_key == other.digest_key;
        comparable.then(|| {
            self.keys.iter().map(|(digest, account)| {
                let found = other.keys.binary_search_by_key(digest, |(other, _)| *other);
                let found = found.ok().map(|position| other.keys[position].1);
                let account = &*self.accounts[*account as usize];
                (account, found.map(|index| &*other.accounts[index as usize]))
            })
        })
    }

    /// Returns the accounts that have no key, in the order in which they were added.
    pub fn without_keys(&self) -> impl Iterator<Item = &Arc<Account>> {
        let mut has_key = vec![false; self.accounts.len()];
        for (_, account) in &self.keys {
            has_key[*account as usize] = true;
        }
        let accounts = self.accounts.iter().zip(has_key);
        accounts.filter_map(|(account, has_key)| (!has_key).then_some(account))
    }

    /// Returns the number of different keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

impl fmt::Debug for Accounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Accounts")
            .field("accounts", &self.accounts.len())
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}

/// Builds [`Accounts`].
pub struct AccountsBuilder {
    digest_key: [u8; 32],
    accounts: Vec<Arc<Account>>,
    keys: Vec<(KeyDigest, u32)>,
}

impl AccountsBuilder {
    /// Adds an account with its keys. A key may occur several times in one account.
    ///
    /// # Errors
    ///
    /// Fails if the name cannot be sent in a header or a key is empty.
    pub fn add<K: AsRef<[u8]>>(
        &mut self,
        account: Account,
        keys: impl IntoIterator<Item = K>,
    ) -> Result<(), AccountError> {
        let name = &account.name;
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.trim() == &**name
            && !name.contains(char::is_control);
        let index = self.accounts.len();
        if !is_valid {
            return Err(AccountError::Name { number: index + 1 });
        }
        for key in keys {
            let key = key.as_ref();
            if key.is_empty() {
                let account = account.name;
                return Err(AccountError::EmptyKey { account });
            }
            self.keys
                .push((key_digest(&self.digest_key, key), index as u32));
        }
        self.accounts.push(Arc::new(account));
        Ok(())
    }

    /// Builds the table.
    ///
    /// # Errors
    ///
    /// Fails if two accounts share a name or a key.
    pub fn build(self) -> Result<Accounts, AccountError> {
        let Self {
            digest_key,
            mut accounts,
            mut keys,
        } = self;
        let name = |index: u32| &accounts[index as usize].name;
        let mut names: Vec<u32> = (0..accounts.len() as u32).collect();
        names.sort_unstable_by_key(|index| name(*index));
        if let Some(pair) = names.windows(2).find(|pair| name(pair[0]) == name(pair[1])) {
            let account = name(pair[0]).clone();
            return Err(AccountError::DuplicateName { account });
        }
        keys.sort_unstable();
        keys.dedup();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            let [first, second] = [pair[0].1, pair[1].1].map(|index| name(index).clone());
            return Err(AccountError::SharedKey { first, second });
        }
        accounts.shrink_to_fit();
        keys.shrink_to_fit();
        Ok(Accounts {
            digest_key,
            accounts,
            names,
            keys,
        })
    }
}

impl fmt::Debug for AccountsBuilder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AccountsBuilder")
            .field("accounts", &self.accounts.len())
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}

fn key_digest(digest_key: &[u8; 32], key: &[u8]) -> KeyDigest {
    let digest = blake3::keyed_hash(digest_key, key);
    let mut kept = [0; DIGEST_BYTES];
    kept.copy_from_slice(&digest.as_bytes()[..DIGEST_BYTES]);
    kept
}
