//! The text that an engine generates, which depends on the prompt alone, so that a test can check every answer.

const WORDS: [&str; 16] = [
    "rice", "curry", "van", "island", "noon", "basil", "boat", "guide", "lime", "tide", "grant", "road", "form",
    "plum", "bell", "dawn",
];

/// Returns the seed of an answer: `N` if the prompt contains the marker `[seed:N]`, otherwise a hash of the prompt.
pub fn answer_seed(prompt: &str) -> u64 {
    let marker = prompt
        .rsplit_once("[seed:")
        .and_then(|(_, rest)| rest.split_once(']'))
        .and_then(|(number, _)| number.parse().ok());
    marker.unwrap_or_else(|| prompt.bytes().fold(0, |seed, byte| mix(seed ^ u64::from(byte))))
}

/// Returns the token at `index` of the answer with this seed.
pub fn token_text(seed: u64, index: u32) -> String {
    let mixed = mix(seed ^ mix(u64::from(index)));
    let word = WORDS[(mixed % WORDS.len() as u64) as usize];
    format!("{word}{} ", (mixed >> 32) % 1_000)
}

/// Returns the whole answer to a prompt.
pub fn whole_answer(prompt: &str, tokens: u32) -> String {
    let seed = answer_seed(prompt);
    (0..tokens).map(|index| token_text(seed, index)).collect()
}

/// One step of the `SplitMix64` generator.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
