//! Operators' files that must be accepted or rejected: the examples, and one file for each error under
//! `test_data/refused`.
//!
//! The first line of a rejected file is a JSON string with the expected error.

use std::path::Path;

use model::OperatorFile;

fn accepted(path: &Path) -> datatest_stable::Result<()> {
    let file: OperatorFile = model::from_json(&std::fs::read(path)?)?;
    let text = serde_json::to_string(&file)?;
    let again: OperatorFile = model::from_json(text.as_bytes())?;
    assert_eq!(file, again, "a file must be equal after it is serialized and parsed again");
    Ok(())
}

fn refused(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let (expected, file) = text.split_once('\n').ok_or("the first line is the expected error")?;
    let expected: String = serde_json::from_str(expected)?;
    match model::from_json::<OperatorFile>(file.as_bytes()) {
        Ok(_) => Err("the file was accepted".into()),
        Err(e) if e.to_string() == expected => Ok(()),
        Err(e) => Err(format!("expected {expected}\n     got {e}").into()),
    }
}

datatest_stable::harness! {
    { test = accepted, root = "../../examples", pattern = r"(tsehay|yonghe)\.json$" },
    { test = refused, root = "test_data/refused", pattern = r"\.json$" },
}
