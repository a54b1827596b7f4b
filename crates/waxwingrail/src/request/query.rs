//! Parsing of query strings.

/// The percent-decoded value of the first parameter with this name. `None` if it is missing or its
/// value cannot be decoded.
pub(crate) fn query_parameter(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = query?.split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    percent_decode(&value.replace('+', " "))
}

/// Decodes `%XX` escapes. `None` if an escape is malformed or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    if !text.contains('%') {
        return Some(text.to_owned());
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let (digits, tail) = tail.split_at_checked(2)?;
        let high = char::from(digits[0]).to_digit(16)?;
        let low = char::from(digits[1]).to_digit(16)?;
        bytes.push(u8::try_from(high * 16 + low).ok()?);
        rest = tail;
    }
    String::from_utf8(bytes).ok()
}
