//! Who is admitted by a token.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use wire::token::AccessToken;

#[test]
fn only_the_whole_token_is_admitted() {
    let token = AccessToken::new("0123456789abcdef");
    let admits = |value: &str| token.admits(Some(value.as_bytes()));
    assert!(admits("Bearer 0123456789abcdef"));
    for bad in [
        "",
        "Bearer ",
        "0123456789abcdef",
        "Bearer 0123456789abcdeg",
        "Bearer 0123456789abcdef ",
    ] {
        assert!(!admits(bad), "{bad:?}");
    }
    assert!(!token.admits(None));
}

#[test]
fn a_token_is_not_shown() {
    assert_eq!(
        format!("{:?}", AccessToken::new("0123456789abcdef")),
        "AccessToken(…)"
    );
}
