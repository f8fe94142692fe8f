//! Checks what the linter cannot.

/// Runs every check.
pub(crate) fn check() -> Result<String, String> {
    crate::codegen::check()
}
