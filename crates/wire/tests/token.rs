//! Comparison of header values with the access token, and its `Debug` output.
#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use wire::token::AccessToken;

#[test]
fn only_the_exact_token_is_accepted() {
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
fn debug_output_does_not_contain_the_token() {
    assert_eq!(
        format!("{:?}", AccessToken::new("0123456789abcdef")),
        "AccessToken(…)"
    );
}
