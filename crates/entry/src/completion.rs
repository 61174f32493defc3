//! Answers of chat completions, in the shapes that common client libraries for this API accept.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use compact_str::CompactString;
use serde::Serialize;

use agatemill_core::id;

/// What all parts of one answer share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Id of the request that began the answer.
    pub id: id::Request,
    /// When it began, in seconds since 1970.
    pub created: u64,
    /// Model that answers.
    pub model: id::Model,
}

/// Number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

#[derive(Serialize)]
struct Answer<'a, C> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a id::Model,
    choices: C,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    message: Text<'a>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Part<'a> {
    index: u32,
    delta: Text<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Text<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl Usage {
    /// Adds up the two numbers.
    #[must_use]
    pub fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

impl Completion {
    /// An answer that begins now.
    #[must_use]
    pub fn new(id: id::Request, model: id::Model) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id,
            created: since.unwrap_or_default().as_secs(),
            model,
        }
    }

    /// The whole answer as JSON.
    ///
    /// # Panics
    ///
    /// Never: all fields are texts and numbers.
    #[must_use]
    pub fn full(&self, text: &str, finish_reason: &'static str, usage: Usage) -> Vec<u8> {
        let choice = Choice {
            index: 0,
            message: Text {
                role: Some("assistant"),
                content: Some(text),
            },
            finish_reason,
        };
        self.json("chat.completion", [choice], Some(usage))
    }

    /// The chunk of one token; the first one of an answer names the role.
    #[must_use]
    pub fn token_chunk(&self, index: u32, text: &str) -> Vec<u8> {
        let part = Part {
            index: 0,
            delta: Text {
                role: (index == 0).then_some("assistant"),
                content: Some(text),
            },
            finish_reason: None,
        };
        self.json("chat.completion.chunk", [part], None)
    }

    /// The chunk that says why the answer ends.
    #[must_use]
    pub fn finish_chunk(&self, finish_reason: &'static str) -> Vec<u8> {
        let part = Part {
            index: 0,
            delta: Text {
                role: None,
                content: None,
            },
            finish_reason: Some(finish_reason),
        };
        self.json("chat.completion.chunk", [part], None)
    }

    /// The chunk with the usage, which has no choices.
    #[must_use]
    pub fn usage_chunk(&self, usage: Usage) -> Vec<u8> {
        let none: [Part<'_>; 0] = [];
        self.json("chat.completion.chunk", none, Some(usage))
    }

    fn json(&self, object: &'static str, choices: impl Serialize, usage: Option<Usage>) -> Vec<u8> {
        let id: CompactString = compact_str::format_compact!("chatcmpl-{}", self.id);
        let answer = Answer {
            id: &id,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        serde_json::to_vec(&answer).expect("an answer is plain JSON")
    }
}
